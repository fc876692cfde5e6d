package workerlimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// The rule to check: in a window of ruleWindow a worker gets at most ruleFactor times what its limit
// allows, plus ruleSlack requests.
const (
	ruleWindow = 4 * time.Second
	ruleFactor = 1.5
	ruleSlack  = 5
	simStep    = 500 * time.Microsecond
)

// strategy enforces a limit over several nodes.
type strategy interface {
	// request handles a request that arrives at a node.
	request(s *simulation, node, priority int)
}

// simulation has several nodes in front of one worker with a limit.
type simulation struct {
	random *rand.Rand
	now    time.Duration
	nodes  int
	rate   Rate
	// pending holds messages that aren't delivered yet.
	pending  []event
	arrivals []time.Duration
	// byPriority counts the requests that reached the worker.
	byPriority [PriorityCount]int
	messages   int
}

type event struct {
	at time.Duration
	do func()
}

// deliver calls do after the delay of one message.
func (s *simulation) deliver(do func()) {
	s.messages++
	s.pending = append(s.pending, event{at: s.now + time.Millisecond + time.Duration(s.random.Int64N(int64(2*time.Millisecond))), do: do})
}

func (s *simulation) send(priority int) {
	s.arrivals = append(s.arrivals, s.now)
	s.byPriority[priority]++
}

// run sends demand requests per second to random nodes for a time.
func (s *simulation) run(strategy strategy, demand float64, duration time.Duration) {
	for end := s.now + duration; s.now < end; s.now += simStep {
		due := s.pending
		s.pending = nil
		for _, event := range due {
			if event.at <= s.now {
				event.do()
			} else {
				s.pending = append(s.pending, event)
			}
		}
		for expected := demand * simStep.Seconds(); expected > 0; expected-- {
			if s.random.Float64() < expected {
				strategy.request(s, s.random.IntN(s.nodes), s.random.IntN(2)*5)
			}
		}
	}
}

// worstWindow returns the most requests in any window, and their fraction of what the rule allows.
func (s *simulation) worstWindow() (count int, fraction float64) {
	first := 0
	for index, at := range s.arrivals {
		for s.arrivals[first] <= at-ruleWindow {
			first++
		}
		count = max(count, index-first+1)
	}
	return count, float64(count) / (ruleFactor*float64(s.rate)*ruleWindow.Seconds() + ruleSlack)
}

// utilization returns the fraction of the limit that is used after a start-up time.
func (s *simulation) utilization(from time.Duration) float64 {
	count := 0
	for _, at := range s.arrivals {
		if at > from {
			count++
		}
	}
	return float64(count) / (s.now - from).Seconds() / float64(max(s.rate, minRate))
}

// independent lets each node use the whole limit.
type independent struct{ limiters []*Limiter }

func (i *independent) request(s *simulation, node, priority int) {
	if i.limiters[node].Acquire(s.now, "w", s.rate, 1, priority).Granted {
		s.send(priority)
	}
}

// equalShares gives each node an equal share of the limit.
type equalShares struct{ levels []float64 }

func (e *equalShares) request(s *simulation, node, priority int) {
	allowed := float64(s.rate) / float64(s.nodes)
	if s.now.Seconds()*allowed+1 > e.levels[node]+1 && s.now.Seconds()*allowed >= e.levels[node] {
		e.levels[node] = max(e.levels[node], s.now.Seconds()*allowed-1) + 1
		s.send(priority)
	}
}

// replicated gives each node a copy of the bucket and reports each request to all others.
type replicated struct{ copies []*bucket }

func (r *replicated) request(s *simulation, node, priority int) {
	own := r.copies[node]
	own.refill(s.now, max(s.rate, minRate))
	if own.tokens < 1 {
		return
	}
	own.tokens--
	s.send(priority)
	for other := range r.copies {
		if other != node {
			s.deliver(func() { r.copies[other].refill(s.now, max(s.rate, minRate)); r.copies[other].tokens-- })
		}
	}
}

// central lets one node grant the requests of all.
type central struct {
	limiter  *Limiter
	trackers []*Tracker
}

func newCentral(nodes int, rate Rate) *central {
	c := &central{limiter: NewLimiter()}
	for range nodes {
		tracker := NewTracker()
		tracker.Observe(Observation{Worker: "w", Limited: true, Rate: rate})
		c.trackers = append(c.trackers, tracker)
	}
	return c
}

func (c *central) request(s *simulation, node, priority int) {
	if c.trackers[node].ClosedFor(s.now, "w", priority) > 0 {
		return
	}
	s.deliver(func() {
		answer := c.limiter.Acquire(s.now, "w", s.rate, 1, priority)
		s.deliver(func() {
			if answer.Granted {
				s.send(priority)
				return
			}
			c.trackers[node].ObserveRefusal(s.now, "w", priority, answer)
		})
	})
}

func newSimulation(seed uint64, nodes int, rate Rate) *simulation {
	return &simulation{random: rand.New(rand.NewPCG(seed, 7)), nodes: nodes, rate: rate}
}

// simulate runs a strategy for half a minute with ten times as many requests as the limit allows, and
// at least 20 per second.
func simulate(seed uint64, strategy strategy, nodes int, rate Rate) *simulation {
	s := newSimulation(seed, nodes, rate)
	s.run(strategy, max(10*float64(rate), 20), 30*time.Second)
	return s
}

// TestLimitIsUsedAtModerateOverload guards against an underused limit when demand exceeds it only
// moderately.
func TestLimitIsUsedAtModerateOverload(t *testing.T) {
	for _, nodes := range []int{5, 79, 985} {
		for _, rate := range []Rate{0.5, 2, 10} {
			for _, times := range []float64{2, 4} {
				s := newSimulation(uint64(nodes), nodes, rate)
				s.run(newCentral(nodes, rate), times*float64(rate), 120*time.Second)
				assert.GreaterOrEqual(t, s.utilization(5*time.Second), 0.8, "%d nodes, %v per second, %v times as many requests", nodes, rate, times)
			}
		}
	}
}

// TestCentralGrantsEnforceAndUseTheLimit guards against a limit that is exceeded or underused with
// central grants, for any number of nodes and any rate.
func TestCentralGrantsEnforceAndUseTheLimit(t *testing.T) {
	for _, nodes := range []int{1, 7, 79, 300, 985} {
		for _, rate := range []Rate{0, 0.1, 0.5, 2, 10, 100} {
			t.Run(fmt.Sprintf("%d nodes, %v per second", nodes, rate), func(t *testing.T) {
				s := simulate(uint64(nodes), newCentral(nodes, rate), nodes, rate)
				count, fraction := s.worstWindow()
				assert.LessOrEqual(t, fraction, 1.0, "%d requests in a window", count)
				assert.GreaterOrEqual(t, s.utilization(5*time.Second), 0.8)
				t.Logf("worst window %d (%.2f of what is allowed), used %.2f, %.0f messages per second", count, fraction,
					s.utilization(5*time.Second), float64(s.messages)/s.now.Seconds())
			})
		}
	}
}

// TestCompareStrategies logs the results of all strategies for comparison.
func TestCompareStrategies(t *testing.T) {
	if testing.Short() {
		t.Skip("a comparison, not a check")
	}
	for _, rate := range []Rate{0.1, 2, 50} {
		for _, nodes := range []int{7, 79, 300, 985} {
			strategies := map[string]strategy{
				"independent": &independent{limiters: limiters(nodes)}, "equal shares": &equalShares{levels: make([]float64, nodes)},
				"central": newCentral(nodes, rate),
			}
			if nodes <= 300 {
				strategies["replicated"] = &replicated{copies: buckets(nodes)}
			}
			for _, name := range slices.Sorted(mapKeys(strategies)) {
				s := simulate(3, strategies[name], nodes, rate)
				count, fraction := s.worstWindow()
				t.Logf("%5v a second, %3d nodes, %-12s worst window %4d, %5.2f of what is allowed; used %.2f; %6.0f messages a second",
					rate, nodes, name, count, fraction, s.utilization(5*time.Second), float64(s.messages)/s.now.Seconds())
			}
		}
	}
}

func mapKeys(strategies map[string]strategy) func(func(string) bool) {
	return func(yield func(string) bool) {
		for name := range strategies {
			if !yield(name) {
				return
			}
		}
	}
}

func limiters(count int) []*Limiter {
	made := make([]*Limiter, count)
	for index := range made {
		made[index] = NewLimiter()
	}
	return made
}

func buckets(count int) []*bucket {
	made := make([]*bucket, count)
	for index := range made {
		made[index] = &bucket{}
	}
	return made
}

// TestMoreUrgentRequestsGoFirst guards against less urgent requests that take the room of more urgent
// ones.
func TestMoreUrgentRequestsGoFirst(t *testing.T) {
	s := newSimulation(5, 7, 2)
	s.run(newCentral(7, 2), 40, 60*time.Second)
	assert.Greater(t, s.byPriority[0], 4*s.byPriority[5], "%v", s.byPriority)
}

// TestRefusalsAreSpread guards against nodes that are refused at the same time and ask again at the
// same time.
func TestRefusalsAreSpread(t *testing.T) {
	limiter := NewLimiter()
	waits := map[time.Duration]bool{}
	for range 3 {
		answer := limiter.Acquire(0, "w", 2, 1, 0)
		assert.False(t, answer.Granted)
		waits[answer.Wait] = true
	}
	assert.Len(t, waits, 3)
}

// TestNewLimiterStartsEmpty guards against a burst when a limiter takes over from another node's.
func TestNewLimiterStartsEmpty(t *testing.T) {
	limiter := NewLimiter()
	answer := limiter.Acquire(time.Hour, fleet.EngineID("w"), 2, 1, 0)
	assert.False(t, answer.Granted)
	assert.Greater(t, answer.Wait, 400*time.Millisecond)
	assert.True(t, limiter.Acquire(time.Hour+answer.Wait, "w", 2, 1, 0).Granted)
}
