package platformmodel

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/platform"
)

// machineHistory bounds the past states that the list can show.
const machineHistory = 64

// machineState is what the list held from since on.
type machineState struct {
	since    time.Duration
	machines []platform.Machine
}

// machineList keeps its past, so that it can show it.
type machineList struct {
	lag    time.Duration
	states []machineState // oldest first
}

// SetMachines replaces the true list of machines.
func (p *Platform) SetMachines(now time.Duration, machines []platform.Machine) {
	state := machineState{since: now, machines: slices.Clone(machines)}
	list := &p.machines
	list.states = append(list.states, state)
	if excess := len(list.states) - machineHistory; excess > 0 {
		list.states = slices.Delete(list.states, 0, excess)
	}
}

// SetMachineLag sets the age of what the list shows. A greater lag makes the
// list show an older state again.
func (p *Platform) SetMachineLag(lag time.Duration) { p.machines.lag = lag }

// MachineLag returns the age of what the list shows.
func (p *Platform) MachineLag() time.Duration { return p.machines.lag }

// ListMachines returns the list as it was MachineLag ago. Before the first
// SetMachines is that old, it returns the first list.
func (p *Platform) ListMachines(now time.Duration) []platform.Machine {
	states := p.machines.states
	if len(states) == 0 {
		return nil
	}
	shown := states[0]
	for _, state := range states[1:] {
		if state.since <= now-p.machines.lag {
			shown = state
		}
	}
	return slices.Clone(shown.machines)
}
