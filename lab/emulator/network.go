package emulator

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/lab/workload"
)

// network holds the one-way latencies between processes.
type network struct {
	// zoneLatency is added between processes of different zones.
	zoneLatency time.Duration
	// clientLatency is the latency between an agent and the processes of its zone.
	clientLatency time.Duration
}

func newNetwork(description workload.Fleet) network {
	return network{zoneLatency: description.ZoneLatency, clientLatency: description.ClientLatency}
}

// between returns the latency between a router and an engine.
func (n network) between(a, b fleet.ZoneName) time.Duration {
	if a == b {
		return localLatency
	}
	return localLatency + n.zoneLatency
}

// fromAgent returns the latency between an agent, which runs next to its callers, and a router or
// engine.
func (n network) fromAgent(agent, other fleet.ZoneName) time.Duration {
	if agent == other {
		return n.clientLatency
	}
	return n.clientLatency + n.zoneLatency
}
