package gateway

import (
	"testing"
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/membership"
)

// BenchmarkSelectGranterNewView ranks the granters of a worker among 985 members, as after each
// membership change.
func BenchmarkSelectGranterNewView(b *testing.B) {
	limits := newWorkerLimits()
	views := []*membership.View{largeFleet(985), largeFleet(985)}
	for number := 0; b.Loop(); number++ {
		limits.selectGranter(0, "w", membership.Location{Zone: "z1"}, views[number%2])
	}
}

// BenchmarkSelectGranterSameView selects a granter while the membership doesn't change.
func BenchmarkSelectGranterSameView(b *testing.B) {
	limits := newWorkerLimits()
	view := largeFleet(985)
	for b.Loop() {
		limits.selectGranter(0, "w", membership.Location{Zone: "z1"}, view)
	}
}

// BenchmarkGrant grants one request at the granter.
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

// BenchmarkAdmission checks one candidate of a choice.
func BenchmarkAdmission(b *testing.B) {
	limits := newWorkerLimits()
	limits.observe(limitObservation(2, 0), false)
	worker := &backends.Worker{ID: "w"}
	for b.Loop() {
		limits.admission(0, worker, 5)
	}
}
