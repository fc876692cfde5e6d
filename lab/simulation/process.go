package simulation

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// process is a process slot: the process that runs in it may be killed, frozen and started again
// under the same address.
type process struct {
	world   *world
	address fleet.Address
	zone    fleet.ZoneName
	alive   bool
	// generation counts the starts of the process. Timers of earlier generations have no effect.
	generation  int
	frozenUntil time.Duration
	// inbound are the calls that break if this process ends.
	inbound []*call
}

func (p *process) now() time.Duration { return p.world.queue.Now() }

// after schedules a step of the current generation.
func (p *process) after(delay time.Duration, step func()) {
	generation := p.generation
	p.world.queue.After(delay, func() { p.run(generation, step) })
}

// run performs a step of a generation, unless that generation has ended. A frozen process performs
// it when the freeze ends.
func (p *process) run(generation int, step func()) {
	switch {
	case !p.alive || p.generation != generation:
	case p.now() < p.frozenUntil:
		p.world.queue.At(p.frozenUntil, func() { p.run(generation, step) })
	default:
		step()
	}
}

// begin starts a new generation.
func (p *process) begin() {
	p.alive = true
	p.generation++
	p.frozenUntil = 0
}

// end ends the process and breaks the calls to it.
func (p *process) end() {
	p.alive = false
	calls := p.inbound
	p.inbound = nil
	for _, open := range calls {
		open.connectionBroken()
	}
}

func (p *process) freeze(until time.Duration) { p.frozenUntil = max(p.frozenUntil, until) }
