package settings

import (
	"crypto/rand"
	"encoding/hex"
	"runtime/debug"
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Duration is a time written as "1.5s".
type Duration = config.Duration

// Node tells where a process runs.
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

// runSuffixBytes is the length of the random part of a node's identifier.
const runSuffixBytes = 4

// NewNodeID returns an identifier for this run of the process. It differs from
// that of every other run.
func (n Node) NewNodeID() fleet.NodeID {
	var suffix [runSuffixBytes]byte
	_, _ = rand.Read(suffix[:]) // never fails since Go 1.24
	return fleet.NodeID(n.ID + "-" + hex.EncodeToString(suffix[:]))
}

// Logging says what is logged.
type Logging struct {
	// Level is the least level that is written: debug, info, warn or error.
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
}

// DefaultLogging logs from level info on.
func DefaultLogging() Logging { return Logging{Level: "info"} }

// Memory bounds what a process takes.
type Memory struct {
	// SoftLimitBytes is what the Go runtime may take, stacks and unused heap
	// included, before it collects garbage more often; 0 leaves that to the
	// environment variable GOMEMLIMIT, which sets no limit by default. It must be
	// well above the live objects, or collecting takes most of the time.
	SoftLimitBytes int64 `yaml:"soft_limit_bytes" validate:"omitempty,gte=16777216"`
}

// Apply sets the limit for the whole process (runtime/debug.SetMemoryLimit).
func (m Memory) Apply() {
	if m.SoftLimitBytes > 0 {
		debug.SetMemoryLimit(m.SoftLimitBytes)
	}
}

// Platform says how the platform is reached.
type Platform struct {
	// Address is the platform's numeric HOST:PORT.
	Address fleet.Address `yaml:"address" validate:"required,address"`
	// Timeout bounds one call to the platform.
	Timeout Duration `yaml:"timeout" validate:"gt=0"`
}

// defaultPlatformTimeout is long enough for a slow table service and short
// enough that a call to a dead one doesn't hold up a configuration change.
const defaultPlatformTimeout = 2 * time.Second

// DefaultPlatform sets the timeout and leaves the address to the file.
func DefaultPlatform() Platform {
	return Platform{Timeout: Duration(defaultPlatformTimeout)}
}
