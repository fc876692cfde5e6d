package delivery

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Follower is what one node knows and does about deliveries.
type Follower struct{}

// NewFollower returns a follower that knows of no order.
func NewFollower(_ Options) *Follower { return &Follower{} }

// SetOrder takes in an order that is in the store; it tells whether it is news. An
// order that is invalid or older than the one known changes nothing.
func (f *Follower) SetOrder(_ time.Duration, _ Order) (bool, error) { return false, nil }

// Take takes a directive in, from the director or by way of another node; it tells
// whether it changed the stage or the shares.
func (f *Follower) Take(_ time.Duration, _ Directive) bool { return false }

// Directives returns the directives to pass on: those that count at now.
func (f *Follower) Directives(_ time.Duration) []Directive { return nil }

// Choose returns what limits the choice of a worker for a request of a route, nil if
// nothing does. random is uniform in [0, 1). A request that is sent again after it was at
// the target passes again as true, and goes elsewhere.
func (f *Follower) Choose(_ time.Duration, _ fleet.PoolName, _ RouteName, _ float64, _ bool) *Choice {
	return nil
}

// Note counts an outcome. It tells whether the node has just stopped sending to the
// target by its own evidence.
func (f *Follower) Note(_ time.Duration, _ Outcome) bool { return false }

// Evidence returns what this node has seen of services with an order that isn't
// finished.
func (f *Follower) Evidence(_ time.Duration) []Evidence { return nil }
