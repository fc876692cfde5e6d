package gateway

import (
	"testing"
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/membership"
)

// BenchmarkSelectGranterNewView ranks who grants the requests to a worker among 985 members, as after
// each change of the members.
func BenchmarkSelectGranterNewView(b *testing.B) {
	limits := newWorkerLimits()
	views := []*membership.View{largeFleet(985), largeFleet(985)}
	for number := 0; b.Loop(); number++ {
		limits.selectGranter(0, "w", membership.Location{Zone: "z1"}, views[number%2])
	}
}

// BenchmarkSelectGranterSameView is the same while they don't change.
func BenchmarkSelectGranterSameView(b *testing.B) {
	limits := newWorkerLimits()
	view := largeFleet(985)
	for b.Loop() {
		limits.selectGranter(0, "w", membership.Location{Zone: "z1"}, view)
	}
}

// BenchmarkGrant grants one request, at the node that does.
func BenchmarkGrant(b *testing.B) {
	limits := newWorkerLimits()
	observation := limitObservation(1000, 0)
	limits.observe(observation, false)
	now := time.Duration(0)
	for b.Loop() {
		now += time.Millisecond
		limits.grant(now, observation, 985, 0)
	}
}

// BenchmarkIntake asks for one candidate of a choice whether it takes the request.
func BenchmarkIntake(b *testing.B) {
	limits := newWorkerLimits()
	limits.observe(limitObservation(2, 0), false)
	worker := &backends.Worker{ID: "w"}
	for b.Loop() {
		limits.intake(0, worker, 5)
	}
}
