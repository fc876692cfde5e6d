package gateway

import "github.com/tillerfall/tillerfall/internal/membership"

// fanout makes a call to each of some nodes, a bounded number at a time over all its uses.
type fanout struct {
	slots chan struct{}
}

func newFanout(calls int) *fanout { return &fanout{slots: make(chan struct{}, calls)} }

// call begins a call to each node. It returns once the last one has begun, or when the process
// ends, which dying tells.
func (f *fanout) call(dying <-chan struct{}, members []membership.Member, call func(membership.Member)) {
	for _, member := range members {
		select {
		case f.slots <- struct{}{}:
		case <-dying:
			return
		}
		go func() {
			defer func() { <-f.slots }()
			call(member)
		}()
	}
}
