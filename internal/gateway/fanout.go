package gateway

import "github.com/tillerfall/tillerfall/internal/membership"

// fanout makes calls to several gateways with bounded concurrency, shared by all its uses.
type fanout struct {
	slots chan struct{}
}

func newFanout(calls int) *fanout { return &fanout{slots: make(chan struct{}, calls)} }

// call starts a call to each member. It returns once the last call has started or dying is closed.
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
