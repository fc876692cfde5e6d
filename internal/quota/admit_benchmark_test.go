package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// newLargeLimiter returns a limiter of 430 tenants with 60 peers, some of which are silent, and
// requests of all priorities.
func newLargeLimiter() (*Limiter, []Request) {
	limiter := NewLimiter(0, Options{Slack: 190_000, Overshoot: 0.1, Window: 8 * time.Second, FirstStart: true})
	limits := make(map[fleet.TenantName]Limit)
	var requests []Request
	for index := range 430 {
		name := fleet.TenantName(fmt.Sprintf("tenant-%d", index))
		limits[name] = Limit{Rate: 100_000, Burst: 100_000}
		requests = append(requests, Request{Tenant: name, Amount: 4000, Priority: index % PriorityCount})
	}
	limiter.SetLimits(0, limits)
	for index := range 60 {
		report := Report{Node: fleet.NodeID(fmt.Sprintf("n%d/1", index)), Machine: fmt.Sprintf("n%d", index)}
		for name := range limits {
			report.Usages = append(report.Usages, Usage{Tenant: name, Deficit: 120_000, Demand: Demand{3000, 2000, 9000}})
		}
		limiter.Observe(time.Duration(index)*10*time.Millisecond, report)
	}
	return limiter, requests
}

// TestAdmitAllocatesNothing guards against garbage for each request of a flood.
func TestAdmitAllocatesNothing(t *testing.T) {
	limiter, requests := newLargeLimiter()
	now, index := 600*time.Millisecond, 0
	admit := func() {
		now += 100 * time.Microsecond
		index++
		limiter.Admit(now, requests[index%len(requests)])
	}
	require.Zero(t, testing.AllocsPerRun(20_000, admit))
}

// BenchmarkAdmit measures decisions at 430 tenants and 60 peers; target: p99 of 20 us.
func BenchmarkAdmit(b *testing.B) {
	limiter, requests := newLargeLimiter()
	now := 600 * time.Millisecond
	times := make([]time.Duration, 0, b.N)
	b.ReportAllocs()
	for index := 0; b.Loop(); index++ {
		now += 100 * time.Microsecond
		start := time.Now()
		limiter.Admit(now, requests[index%len(requests)])
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)*99/100].Nanoseconds()), "p99-ns")
}
