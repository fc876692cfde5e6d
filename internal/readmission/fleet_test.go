package readmission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// keptTarget is the fraction of the callers that return as told which are to be admitted.
const keptTarget = 0.95

// TestReturnersAreRefusedAgain guards against newcomers that take the units which callers were told
// to return for, and against units that are kept for nobody.
func TestReturnersAreRefusedAgain(t *testing.T) { requireKept(t, 0) }

// TestReturnersAreRefusedAgainBesideUrgentRequests is the same with requests of three priorities.
func TestReturnersAreRefusedAgainBesideUrgentRequests(t *testing.T) { requireKept(t, 1) }

// requireKept checks at several sizes and loads that callers who return as told are admitted.
func requireKept(t *testing.T, ranked int) {
	t.Parallel()
	for _, nodes := range []int{1, 4, 60} {
		without := newSimFleet(1, nodes)
		without.noBook = true
		t.Logf("%d nodes, 4 times the limit, no tickets: %v", nodes, without.run(8*time.Second, 4))
		for _, multiple := range []float64{2, 4, 7} {
			f := newSimFleet(1, nodes)
			f.ranked = ranked
			result := f.run(8*time.Second, multiple)
			t.Logf("%d nodes, %v times the limit, ranked %d: %v", nodes, multiple, ranked, result)
			assert.GreaterOrEqual(t, result.keptFraction(), keptTarget, "%d nodes, %v times", nodes, multiple)
			assert.LessOrEqual(t, result.units, 9*simRate*1.1+simSlack, "%d nodes, %v times", nodes, multiple)
			assert.GreaterOrEqual(t, result.units, 8*simRate, "%d nodes, %v times", nodes, multiple)
		}
	}
}

// urgentTarget is the fraction of the urgent requests that are to be served, and discovery the time until nodes know of a flood.
const (
	urgentTarget = 0.98
	discovery    = time.Second
)

// TestUrgentRequestsWaitForLessUrgentTickets guards against urgent newcomers that are refused for the
// units of less urgent callers who were told to return.
func TestUrgentRequestsWaitForLessUrgentTickets(t *testing.T) { requireUrgent(t, 2, 4) }

// TestUrgentRequestsWaitInALargeFlood is the same at 7 times the limit.
func TestUrgentRequestsWaitInALargeFlood(t *testing.T) { requireUrgent(t, 7) }

// requireUrgent checks at several sizes and multiples of the limit that urgent requests are served.
func requireUrgent(t *testing.T, multiples ...float64) {
	t.Parallel()
	for _, nodes := range []int{1, 4, 60} {
		for _, multiple := range multiples {
			f := newSimFleet(4, nodes)
			f.ranked = 1
			f.run(discovery, multiple)
			result := f.run(6*time.Second, multiple)
			without := newSimFleet(4, nodes)
			without.ranked, without.noBook = 1, true
			without.run(discovery, multiple)
			bare := without.run(6*time.Second, multiple).urgentFraction()
			t.Logf("%d nodes, %v times the limit: urgent served %.4f, without tickets %.4f; %v", nodes, multiple, result.urgentFraction(), bare, result)
			assert.GreaterOrEqual(t, result.urgentFraction(), urgentTarget, "%d nodes, %v times", nodes, multiple)
			assert.Positive(t, result.returned)
		}
	}
}

// TestIgnoringRetryAfterIsOfUse guards against callers that gain by coming all the time.
func TestIgnoringRetryAfterIsOfUse(t *testing.T) { requireNoUseOfIgnoring(t, 1) }

// TestIgnoringRetryAfterIsOfUseAtManyNodes guards against callers that ask one node after the other
// until one gives them a ticket.
func TestIgnoringRetryAfterIsOfUseAtManyNodes(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{4, 60} {
		requireNoUseOfIgnoring(t, nodes)
	}
}

// requireNoUseOfIgnoring compares callers that come each 20 ms until their deadline with callers that
// come when they were told.
func requireNoUseOfIgnoring(t *testing.T, nodes int) {
	f := newSimFleet(2, nodes)
	f.ignoring = 0.5
	result := f.run(8*time.Second, 4)
	t.Logf("%d nodes: %v", nodes, result)
	served := func(ignores bool) float64 { return float64(result.served[ignores]) / float64(result.requests[ignores]) }
	assert.LessOrEqual(t, served(true), served(false), "%d nodes", nodes)
}

// TestFailedNodeTakesTicketsWithIt measures the tickets that are lost with a node, and guards against
// tickets that are lost once the others know of it.
func TestFailedNodeTakesTicketsWithIt(t *testing.T) {
	t.Parallel()
	failures := map[string]func(f *simFleet){
		"killed":          func(f *simFleet) { f.nodes[0].downUntil = time.Hour },
		"frozen":          func(f *simFleet) { f.nodes[0].frozenUntil = f.now + 8*time.Second },
		"heard by nobody": func(f *simFleet) { f.nodes[0].muteUntil = time.Hour },
	}
	for _, nodes := range []int{4, 60} {
		for name, fail := range failures {
			f := newSimFleet(3, nodes)
			f.run(3*time.Second, 4)
			fail(f)
			t.Logf("%d nodes, %s, the next 2 s: %v", nodes, name, f.run(2*time.Second, 4))
			later := f.run(2*time.Second, 4)
			t.Logf("%d nodes, %s, 2 s more: %v", nodes, name, later)
			if name != "heard by nobody" {
				assert.GreaterOrEqual(t, later.keptFraction(), keptTarget, "%d nodes, %s", nodes, name)
			}
		}
	}
}
