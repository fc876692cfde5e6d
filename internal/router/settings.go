package router

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/lease"
	"github.com/tillerfall/tillerfall/internal/settings"
)

// Settings holds a router's settings. The field comments are rendered as the reference.
type Settings struct {
	// Node tells where the router runs and on which address it listens.
	Node settings.Node `yaml:"node"`
	// Advertise is the numeric HOST:PORT at which others reach the router, if
	// that isn't the address it listens on.
	Advertise fleet.Address `yaml:"advertise" validate:"omitempty,address"`
	// Logging says what is logged.
	Logging settings.Logging `yaml:"logging"`
	// Memory bounds what the process takes.
	Memory settings.Memory `yaml:"memory"`
	// Platform says how the platform is reached.
	Platform settings.Platform `yaml:"platform"`
	// Peers lists the numeric HOST:PORT of routers to join through. Those in the
	// platform's list of machines are added.
	Peers []fleet.Address `yaml:"peers" validate:"dive,address"`
	// IndexReplicas is the number of routers that index one engine; 0 means all.
	IndexReplicas int `yaml:"index_replicas" validate:"gte=0,lte=16"`
	// StatusInterval is the mean time between two polls of an engine's status.
	StatusInterval settings.Duration `yaml:"status_interval" validate:"gt=0"`
	// EventWait bounds one long poll for an engine's cache events.
	EventWait settings.Duration `yaml:"event_wait" validate:"gt=0"`
	// EventPause is the pause between the answer to one long poll for cache events
	// and the next. Events that come meanwhile share an answer, which spares
	// calls under load; they are known that much later.
	EventPause settings.Duration `yaml:"event_pause" validate:"gte=0"`
	// MachineInterval is the mean time between two reads of the list of machines.
	// Three routers of each region read it; the others ask one of these for
	// changes, twice as often.
	MachineInterval settings.Duration `yaml:"machine_interval" validate:"gt=0"`
	// ConfigurationInterval is the mean time between two reads of the
	// configuration's head in the table service.
	ConfigurationInterval settings.Duration `yaml:"configuration_interval" validate:"gt=0"`
	// LeaseDuration is how long the router that orders engines may rely on one
	// renewal of its lease. After its death no engine gets orders for about as
	// long.
	LeaseDuration settings.Duration `yaml:"lease_duration" validate:"gt=0"`
	// LeaseMargin covers the differences between the rates of the machines'
	// clocks; it is less than half of the duration.
	LeaseMargin settings.Duration `yaml:"lease_margin" validate:"gt=0"`
	// CommandTimeout bounds one operator's command.
	CommandTimeout settings.Duration `yaml:"command_timeout" validate:"gt=0"`
	// StopTimeout bounds a planned stop; open calls are cut after it.
	StopTimeout settings.Duration `yaml:"stop_timeout" validate:"gt=0"`
	// MaxBodyBytes bounds a message from an agent, peer or operator.
	MaxBodyBytes int64 `yaml:"max_body_bytes" validate:"gte=65536"`
	// MaxWaitingCalls bounds the placement calls that are open at once; more
	// are refused with "overloaded".
	MaxWaitingCalls int `yaml:"max_waiting_calls" validate:"gte=1"`
}

// Default values of the settings.
const (
	defaultStatusInterval        = 250 * time.Millisecond
	defaultEventWait             = 5 * time.Second
	defaultEventPause            = 50 * time.Millisecond
	defaultMachineInterval       = 2 * time.Second
	defaultConfigurationInterval = time.Second
	defaultCommandTimeout        = 10 * time.Second
	defaultStopTimeout           = 10 * time.Second
	defaultMaxBodyBytes          = 8 << 20
	defaultMaxWaitingCalls       = 20_000
)

// DefaultSettings returns the defaults that a settings file and flags override.
func DefaultSettings() Settings {
	return Settings{
		Logging:               settings.DefaultLogging(),
		Platform:              settings.DefaultPlatform(),
		StatusInterval:        settings.Duration(defaultStatusInterval),
		EventWait:             settings.Duration(defaultEventWait),
		EventPause:            settings.Duration(defaultEventPause),
		MachineInterval:       settings.Duration(defaultMachineInterval),
		ConfigurationInterval: settings.Duration(defaultConfigurationInterval),
		LeaseDuration:         settings.Duration(lease.DefaultDuration),
		LeaseMargin:           settings.Duration(lease.DefaultMargin),
		CommandTimeout:        settings.Duration(defaultCommandTimeout),
		StopTimeout:           settings.Duration(defaultStopTimeout),
		MaxBodyBytes:          defaultMaxBodyBytes,
		MaxWaitingCalls:       defaultMaxWaitingCalls,
	}
}

// ValidateCrossField implements settings.CrossFieldValidator.
func (s *Settings) ValidateCrossField(report func(field, message string)) {
	if s.Advertise == "" && isUnspecified(s.Node.Address) {
		report("advertise", "is required when node.address stands for all addresses of the machine")
	}
	if s.LeaseMargin >= s.LeaseDuration/2 {
		report("lease_margin", "must be less than half of lease_duration")
	}
	if time.Duration(s.LeaseDuration)%time.Millisecond != 0 {
		report("lease_duration", "must be a whole number of milliseconds")
	}
}
