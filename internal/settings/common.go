package settings

import (
	"crypto/rand"
	"encoding/hex"
	"runtime/debug"
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Duration is a time.Duration written as "1.5s".
type Duration = config.Duration

// Node identifies a process and its location.
type Node struct {
	// ID names the process in logs; each run adds a random part of its own.
	ID string `yaml:"id" validate:"required,name"`
	// Region is the group of zones that the machine belongs to.
	Region fleet.RegionName `yaml:"region" validate:"omitempty,name"`
	// Zone is the failure domain that the machine belongs to.
	Zone fleet.ZoneName `yaml:"zone" validate:"required,name"`
	// Address is the numeric HOST:PORT to listen on; port 0 takes any free one.
	Address fleet.Address `yaml:"address" validate:"required,address"`
}

// runSuffixBytes is the length of the random part of a node identifier.
const runSuffixBytes = 4

// NewNodeID returns an identifier for this run of the process, which differs from those of all
// other runs.
func (n Node) NewNodeID() fleet.NodeID {
	var suffix [runSuffixBytes]byte
	_, _ = rand.Read(suffix[:]) // never fails since Go 1.24
	return fleet.NodeID(n.ID + "-" + hex.EncodeToString(suffix[:]))
}

// Logging configures log output.
type Logging struct {
	// Level is the least level that is written: debug, info, warn or error.
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
}

// DefaultLogging returns the level info.
func DefaultLogging() Logging { return Logging{Level: "info"} }

// Memory bounds the memory of a process.
type Memory struct {
	// SoftLimitBytes is what the Go runtime may take, stacks and unused heap
	// included, before it collects garbage more often; 0 leaves that to the
	// environment variable GOMEMLIMIT, which sets no limit by default. It must be
	// well above the live objects, or collecting takes most of the time.
	SoftLimitBytes int64 `yaml:"soft_limit_bytes" validate:"omitempty,gte=16777216"`
}

// Apply sets the soft limit of the Go runtime for the whole process, unless it is 0.
func (m Memory) Apply() {
	if m.SoftLimitBytes > 0 {
		debug.SetMemoryLimit(m.SoftLimitBytes)
	}
}

// Platform configures access to the platform.
type Platform struct {
	// Address is the platform's numeric HOST:PORT.
	Address fleet.Address `yaml:"address" validate:"required,address"`
	// Timeout bounds one call to the platform.
	Timeout Duration `yaml:"timeout" validate:"gt=0"`
}

// defaultPlatformTimeout allows for a slow table service and bounds how long an unreachable one
// delays a configuration change.
const defaultPlatformTimeout = 2 * time.Second

// DefaultPlatform returns the default timeout. The address has no default.
func DefaultPlatform() Platform {
	return Platform{Timeout: Duration(defaultPlatformTimeout)}
}
