package simulation

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// process is one slot of a machine: what runs in it may be killed, frozen and
// started again under the same address.
type process struct {
	world   *world
	address fleet.Address
	zone    fleet.ZoneName
	alive   bool
	// generation numbers the runs; the timers of an earlier one do nothing.
	generation  int
	frozenUntil time.Duration
	// inbound are the calls that a death of this process breaks.
	inbound []*call
}

func (p *process) now() time.Duration { return p.world.queue.Now() }

// after plans a step of the present run.
func (p *process) after(delay time.Duration, step func()) {
	life := p.generation
	p.world.queue.After(delay, func() { p.run(life, step) })
}

// run does a step of a run, unless that is over. A frozen process does it on
// thawing.
func (p *process) run(life int, step func()) {
	switch {
	case !p.alive || p.generation != life:
	case p.now() < p.frozenUntil:
		p.world.queue.At(p.frozenUntil, func() { p.run(life, step) })
	default:
		step()
	}
}

// begin starts a new run.
func (p *process) begin() {
	p.alive = true
	p.generation++
	p.frozenUntil = 0
}

// end ends the run and breaks the calls to it.
func (p *process) end() {
	p.alive = false
	calls := p.inbound
	p.inbound = nil
	for _, open := range calls {
		open.connectionBroken()
	}
}

func (p *process) freeze(until time.Duration) { p.frozenUntil = max(p.frozenUntil, until) }
