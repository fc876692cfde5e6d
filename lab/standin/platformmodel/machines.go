package platformmodel

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/platform"
)

// machineHistory bounds the past states that are kept.
const machineHistory = 64

// machineState is the list of machines from since on.
type machineState struct {
	since    time.Duration
	machines []platform.Machine
}

// machineList keeps past states, from which a lagging list is served.
type machineList struct {
	lag    time.Duration
	states []machineState // oldest first
}

// SetMachines replaces the actual list of machines.
func (p *Platform) SetMachines(now time.Duration, machines []platform.Machine) {
	state := machineState{since: now, machines: slices.Clone(machines)}
	list := &p.machines
	list.states = append(list.states, state)
	if excess := len(list.states) - machineHistory; excess > 0 {
		list.states = slices.Delete(list.states, 0, excess)
	}
}

// SetMachineLag sets the age of the state that ListMachines returns. After an increase an older
// state is returned again.
func (p *Platform) SetMachineLag(lag time.Duration) { p.machines.lag = lag }

// MachineLag returns the age of the state that ListMachines returns.
func (p *Platform) MachineLag() time.Duration { return p.machines.lag }

// ListMachines returns the list as of MachineLag ago, or the oldest kept list if that is more
// recent.
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
