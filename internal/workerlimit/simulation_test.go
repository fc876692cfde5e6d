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

// The rule: in a window a worker gets at most ruleOver times what its limit allows and ruleSlack
// requests more.
const (
	ruleWindow = 4 * time.Second
	ruleOver   = 1.5
	ruleSlack  = 5
	simStep    = 500 * time.Microsecond
)

// way is one way to keep a limit over several nodes.
type way interface {
	// request takes a request at a node and tells whether it goes to the worker now.
	request(s *simulation, node, priority int)
}

// simulation is nodes in front of one worker with a limit.
type simulation struct {
	random *rand.Rand
	now    time.Duration
	nodes  int
	rate   Rate
	// later are the things that happen at a time.
	later    []event
	arrivals []time.Duration
	// byPriority counts what reached the worker.
	byPriority [PriorityLevels]int
	messages   int
}

type event struct {
	at time.Duration
	do func()
}

// after has something happen once a message has come.
func (s *simulation) after(do func()) {
	s.messages++
	s.later = append(s.later, event{at: s.now + time.Millisecond + time.Duration(s.random.Int64N(int64(2*time.Millisecond))), do: do})
}

func (s *simulation) send(priority int) {
	s.arrivals = append(s.arrivals, s.now)
	s.byPriority[priority]++
}

// run has requests come at random nodes, so many a second, for a time.
func (s *simulation) run(way way, demand float64, duration time.Duration) {
	for end := s.now + duration; s.now < end; s.now += simStep {
		due := s.later
		s.later = nil
		for _, event := range due {
			if event.at <= s.now {
				event.do()
			} else {
				s.later = append(s.later, event)
			}
		}
		for expected := demand * simStep.Seconds(); expected > 0; expected-- {
			if s.random.Float64() < expected {
				way.request(s, s.random.IntN(s.nodes), s.random.IntN(2)*5)
			}
		}
	}
}

// worst returns how many requests came in the fullest window, by what part of those allowed.
func (s *simulation) worst() (count int, part float64) {
	first := 0
	for index, at := range s.arrivals {
		for s.arrivals[first] <= at-ruleWindow {
			first++
		}
		count = max(count, index-first+1)
	}
	return count, float64(count) / (ruleOver*float64(s.rate)*ruleWindow.Seconds() + ruleSlack)
}

// used returns the part of what the worker takes that it gets, but for the first seconds.
func (s *simulation) used(from time.Duration) float64 {
	count := 0
	for _, at := range s.arrivals {
		if at > from {
			count++
		}
	}
	return float64(count) / (s.now - from).Seconds() / float64(max(s.rate, minRate))
}

// apart has each node keep the whole limit for itself.
type apart struct{ limiters []*Limiter }

func (a *apart) request(s *simulation, node, priority int) {
	if a.limiters[node].Acquire(s.now, "w", s.rate, 1, priority).Granted {
		s.send(priority)
	}
}

// divided gives each node an equal part of the limit.
type divided struct{ levels []float64 }

func (d *divided) request(s *simulation, node, priority int) {
	allowed := float64(s.rate) / float64(s.nodes)
	if s.now.Seconds()*allowed+1 > d.levels[node]+1 && s.now.Seconds()*allowed >= d.levels[node] {
		d.levels[node] = max(d.levels[node], s.now.Seconds()*allowed-1) + 1
		s.send(priority)
	}
}

// copied has each node keep a copy of the one bucket, and tell all others of each request.
type copied struct{ copies []*bucket }

func (c *copied) request(s *simulation, node, priority int) {
	own := c.copies[node]
	own.refill(s.now, max(s.rate, minRate))
	if own.tokens < 1 {
		return
	}
	own.tokens--
	s.send(priority)
	for other := range c.copies {
		if other != node {
			s.after(func() { c.copies[other].refill(s.now, max(s.rate, minRate)); c.copies[other].tokens-- })
		}
	}
}

// granted has one node grant the requests of all.
type granted struct {
	limiter *Limiter
	ledgers []*Tracker
}

func newGranted(nodes int, rate Rate) *granted {
	g := &granted{limiter: NewLimiter()}
	for range nodes {
		ledger := NewTracker()
		ledger.Observe(Observation{Worker: "w", Limited: true, Rate: rate})
		g.ledgers = append(g.ledgers, ledger)
	}
	return g
}

func (g *granted) request(s *simulation, node, priority int) {
	if g.ledgers[node].ClosedFor(s.now, "w", priority) > 0 {
		return
	}
	s.after(func() {
		answer := g.limiter.Acquire(s.now, "w", s.rate, 1, priority)
		s.after(func() {
			if answer.Granted {
				s.send(priority)
				return
			}
			g.ledgers[node].ObserveRefusal(s.now, "w", priority, answer)
		})
	})
}

func newSimulation(seed uint64, nodes int, rate Rate) *simulation {
	return &simulation{random: rand.New(rand.NewPCG(seed, 7)), nodes: nodes, rate: rate}
}

// simulated plays a way for half a minute with ten times as many requests as the worker takes,
// and at least 20 a second.
func simulated(seed uint64, way way, nodes int, rate Rate) *simulation {
	s := newSimulation(seed, nodes, rate)
	s.run(way, max(10*float64(rate), 20), 30*time.Second)
	return s
}

// Most of a limit is used also where there are few more requests than that.
func TestLimitIsUsedWhereThereIsLittleMoreWork(t *testing.T) {
	for _, nodes := range []int{5, 79, 985} {
		for _, rate := range []Rate{0.5, 2, 10} {
			for _, times := range []float64{2, 4} {
				s := newSimulation(uint64(nodes), nodes, rate)
				s.run(newGranted(nodes, rate), times*float64(rate), 120*time.Second)
				assert.GreaterOrEqual(t, s.used(5*time.Second), 0.8, "%d nodes, %v a second, %v times as many requests", nodes, rate, times)
			}
		}
	}
}

// One node that grants keeps the limit and uses it, whatever the number of nodes and whatever
// the limit; the talk depends on neither the nodes nor the requests.
func TestOneNodeThatGrantsKeepsAndUsesTheLimit(t *testing.T) {
	for _, nodes := range []int{1, 7, 79, 300, 985} {
		for _, rate := range []Rate{0, 0.1, 0.5, 2, 10, 100} {
			t.Run(fmt.Sprintf("%d nodes, %v a second", nodes, rate), func(t *testing.T) {
				s := simulated(uint64(nodes), newGranted(nodes, rate), nodes, rate)
				count, part := s.worst()
				assert.LessOrEqual(t, part, 1.0, "%d requests in a window", count)
				assert.GreaterOrEqual(t, s.used(5*time.Second), 0.8)
				t.Logf("worst window %d (%.2f of what is allowed), used %.2f, %.0f messages a second", count, part,
					s.used(5*time.Second), float64(s.messages)/s.now.Seconds())
			})
		}
	}
}

// The ways that were weighed. What isn't chosen breaks the rule, or leaves most of the limit
// unused, or talks with the square of the nodes.
func TestWaysToKeepALimit(t *testing.T) {
	if testing.Short() {
		t.Skip("a comparison, not a check")
	}
	for _, rate := range []Rate{0.1, 2, 50} {
		for _, nodes := range []int{7, 79, 300, 985} {
			ways := map[string]way{
				"apart": &apart{limiters: limiters(nodes)}, "divided": &divided{levels: make([]float64, nodes)},
				"granted": newGranted(nodes, rate),
			}
			if nodes <= 300 {
				ways["copied"] = &copied{copies: buckets(nodes)}
			}
			for _, name := range slices.Sorted(mapKeys(ways)) {
				s := simulated(3, ways[name], nodes, rate)
				count, part := s.worst()
				t.Logf("%5v a second, %3d nodes, %-8s worst window %4d, %5.2f of what is allowed; used %.2f; %6.0f messages a second",
					rate, nodes, name, count, part, s.used(5*time.Second), float64(s.messages)/s.now.Seconds())
			}
		}
	}
}

func mapKeys(ways map[string]way) func(func(string) bool) {
	return func(yield func(string) bool) {
		for name := range ways {
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

// The more urgent requests go first where there is room for some only.
func TestMoreUrgentRequestsGoFirst(t *testing.T) {
	s := newSimulation(5, 7, 2)
	s.run(newGranted(7, 2), 40, 60*time.Second)
	assert.Greater(t, s.byPriority[0], 4*s.byPriority[5], "%v", s.byPriority)
}

// Refusals at one moment tell different times to come back.
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

// A limiter that takes over from another begins empty.
func TestNewLimiterBeginsEmpty(t *testing.T) {
	limiter := NewLimiter()
	answer := limiter.Acquire(time.Hour, fleet.EngineID("w"), 2, 1, 0)
	assert.False(t, answer.Granted)
	assert.Greater(t, answer.Wait, 400*time.Millisecond)
	assert.True(t, limiter.Acquire(time.Hour+answer.Wait, "w", 2, 1, 0).Granted)
}
