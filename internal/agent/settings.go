package agent

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/settings"
)

// Settings holds an agent's settings. The field comments are rendered as the reference.
type Settings struct {
	// Node says where the agent runs and listens.
	Node settings.Node `yaml:"node"`
	// Logging says what is logged.
	Logging settings.Logging `yaml:"logging"`
	// Memory bounds what the process takes.
	Memory settings.Memory `yaml:"memory"`
	// Routers lists numeric HOST:PORT addresses of some routers; the others
	// are learned from them.
	Routers []fleet.Address `yaml:"routers" validate:"required,min=1,dive,address"`
	// HTTP bounds what callers may send and how slowly.
	HTTP HTTPSettings `yaml:"http"`
	// Requests bounds the requests and their tries.
	Requests RequestSettings `yaml:"requests"`
	// Engines bounds the exchanges with engines.
	Engines EngineSettings `yaml:"engines"`
	// Sync says how the agent keeps up with the routers.
	Sync SyncSettings `yaml:"sync"`
	// StopGrace is how long running requests may go on after a stop.
	StopGrace settings.Duration `yaml:"stop_grace" validate:"gt=0"`
}

// HTTPSettings limits the requests and connections of callers.
type HTTPSettings struct {
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64 `yaml:"max_body_bytes" validate:"gte=1"`
	// MaxHeaderBytes bounds a request's header.
	MaxHeaderBytes int `yaml:"max_header_bytes" validate:"gte=1024"`
	// HeaderTimeout bounds the time in which a header must arrive.
	HeaderTimeout settings.Duration `yaml:"header_timeout" validate:"gt=0"`
	// BodyTimeout bounds the time in which a body must arrive.
	BodyTimeout settings.Duration `yaml:"body_timeout" validate:"gt=0"`
	// IdleTimeout bounds the time a connection stays open without a request. Callers should
	// give theirs up earlier, since a close may cross a request.
	IdleTimeout settings.Duration `yaml:"idle_timeout" validate:"gt=0"`
	// WriteTimeout bounds one write to a caller that doesn't read; then the
	// request is cancelled.
	WriteTimeout settings.Duration `yaml:"write_timeout" validate:"gt=0"`
	// WriteBufferBytes is the part of an answer that the kernel takes from the
	// agent for a caller that doesn't read. The kernel may use twice as much.
	WriteBufferBytes int `yaml:"write_buffer_bytes" validate:"gte=4096"`
}

// RequestSettings limits requests and their retries.
type RequestSettings struct {
	// MaxConcurrent bounds the unfinished requests of all tenants; the
	// configuration bounds those of each tenant.
	MaxConcurrent int `yaml:"max_concurrent" validate:"gte=1"`
	// DefaultDeadline applies to requests that give none.
	DefaultDeadline settings.Duration `yaml:"default_deadline" validate:"gt=0"`
	// MaxDispatches bounds the attempts of one request at engines.
	MaxDispatches int `yaml:"max_dispatches" validate:"gte=1,lte=20"`
	// MaxPlacements bounds the questions to routers in a row that place nothing.
	MaxPlacements int `yaml:"max_placements" validate:"gte=1,lte=100"`
	// MaxResumes bounds the resumes of a stream in a row without a new token.
	MaxResumes int `yaml:"max_resumes" validate:"gte=1,lte=20"`
	// RetryRatio is the number of retries that one first attempt earns.
	RetryRatio float64 `yaml:"retry_ratio" validate:"gt=0,lte=1"`
	// RetryFloor is the number of retries a second that an agent always has.
	RetryFloor float64 `yaml:"retry_floor" validate:"gt=0"`
	// RetryBurst bounds the retries that are saved up.
	RetryBurst float64 `yaml:"retry_burst" validate:"gte=1"`
	// RetryAfter is the least time that callers are told to stay away when
	// nothing better is known.
	RetryAfter settings.Duration `yaml:"retry_after" validate:"gt=0"`
	// IdempotencyKeys is the number of finished requests that aren't
	// repeatable whose idempotency keys are remembered. They are known to
	// this agent alone and forgotten when it ends.
	IdempotencyKeys int `yaml:"idempotency_keys" validate:"gte=1"`
	// AffinityBlocks is the number of leading blocks that choose the router
	// while routers share the engines. Longer beginnings count where one router
	// can't carry the shorter one.
	AffinityBlocks int `yaml:"affinity_blocks" validate:"gte=1"`
}

// EngineSettings limits calls to engines.
type EngineSettings struct {
	// ConnectTimeout bounds the making of a connection.
	ConnectTimeout settings.Duration `yaml:"connect_timeout" validate:"gt=0"`
	// HeaderTimeout bounds the wait for the head of an answer.
	HeaderTimeout settings.Duration `yaml:"header_timeout" validate:"gt=0"`
	// StreamIdleTimeout bounds the wait for the next frame of a stream; then
	// the stream is resumed.
	StreamIdleTimeout settings.Duration `yaml:"stream_idle_timeout" validate:"gt=0"`
	// CancelTimeout bounds one try to cancel a stream.
	CancelTimeout settings.Duration `yaml:"cancel_timeout" validate:"gt=0"`
}

// SyncSettings configures the exchange of state with routers.
type SyncSettings struct {
	// Interval is the time between two exchanges.
	Interval settings.Duration `yaml:"interval" validate:"gt=0"`
	// Timeout bounds an exchange. A router that doesn't answer in time loses
	// the requests that wait at it to others.
	Timeout settings.Duration `yaml:"timeout" validate:"gt=0"`
	// BackoffMax bounds the time for which a failed router isn't chosen.
	BackoffMax settings.Duration `yaml:"backoff_max" validate:"gt=0"`
	// ReportInterval is the longest time that a report to a router waits.
	ReportInterval settings.Duration `yaml:"report_interval" validate:"gt=0"`
	// ReportQueue bounds the reports that wait for one router.
	ReportQueue int `yaml:"report_queue" validate:"gte=1"`
}

// DefaultSettings returns the defaults that a settings file overrides.
func DefaultSettings() Settings {
	return Settings{
		Logging: settings.DefaultLogging(),
		HTTP: HTTPSettings{
			MaxBodyBytes:     8 << 20,
			MaxHeaderBytes:   64 << 10,
			HeaderTimeout:    settings.Duration(10 * time.Second),
			BodyTimeout:      settings.Duration(30 * time.Second),
			IdleTimeout:      settings.Duration(2 * time.Minute),
			WriteTimeout:     settings.Duration(30 * time.Second),
			WriteBufferBytes: 128 << 10,
		},
		Requests: RequestSettings{
			MaxConcurrent:   4096,
			DefaultDeadline: settings.Duration(10 * time.Minute),
			MaxDispatches:   attempt.DefaultMaxDispatches,
			MaxPlacements:   12,
			MaxResumes:      attempt.DefaultMaxResumes,
			RetryRatio:      attempt.DefaultBudgetRatio,
			RetryFloor:      attempt.DefaultBudgetFloor,
			RetryBurst:      attempt.DefaultBudgetBurst,
			RetryAfter:      settings.Duration(attempt.DefaultRetryAfter),
			IdempotencyKeys: 65536,
			AffinityBlocks:  4,
		},
		Engines: EngineSettings{
			ConnectTimeout:    settings.Duration(time.Second),
			HeaderTimeout:     settings.Duration(5 * time.Second),
			StreamIdleTimeout: settings.Duration(20 * time.Second),
			CancelTimeout:     settings.Duration(2 * time.Second),
		},
		Sync: SyncSettings{
			Interval:       settings.Duration(time.Second),
			Timeout:        settings.Duration(2 * time.Second),
			BackoffMax:     settings.Duration(5 * time.Second),
			ReportInterval: settings.Duration(50 * time.Millisecond),
			ReportQueue:    4096,
		},
		StopGrace: settings.Duration(2 * time.Minute),
	}
}

func (s RequestSettings) policy() attempt.Policy {
	return attempt.Policy{
		MaxDispatches: s.MaxDispatches,
		MaxPlacements: s.MaxPlacements,
		MaxResumes:    s.MaxResumes,
		RetryAfter:    time.Duration(s.RetryAfter),
	}
}

func (s RequestSettings) budget() attempt.BudgetOptions {
	return attempt.BudgetOptions{Ratio: s.RetryRatio, FloorPerSecond: s.RetryFloor, Burst: s.RetryBurst}
}

// newRanking returns the ranking of routers for this agent's location.
func (s Settings) newRanking() routerRanking {
	location := membership.Location{Region: s.Node.Region, Zone: s.Node.Zone}
	return newRouterRanking(location, s.Requests.AffinityBlocks)
}
