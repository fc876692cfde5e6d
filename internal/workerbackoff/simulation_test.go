package workerbackoff

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The simulated service and what its workers ask for.
const (
	simWorkers  = 3
	simZones    = 3
	simStep     = time.Millisecond
	simSheds    = 20 * time.Second
	simAsked    = 3 * time.Second
	simReports  = 600 * time.Millisecond
	budgetSpan  = 10 * time.Second
	zoneWitness = 2
)

// sharing tells who goes by a node's word on a backoff besides itself.
type sharing int

const (
	shareWithNone sharing = iota
	shareWithAll
	shareWithZone
)

// simulatedNodes are nodes in front of a service of which one worker rejects requests.
type simulatedNodes struct {
	random  *rand.Rand
	now     time.Duration
	way     sharing
	ledgers []*Tracker
	// shedFor tells which nodes' requests the worker rejects.
	shedFor func(node int) bool
	// told holds, by node, what others say, and when it hears of it.
	told [][]heardBackoff
	// rejected are the times of rejections, served and kept count the requests that the worker
	// would have taken: those that it got, and those that stayed away.
	rejected     []time.Duration
	served, kept int
}

// heardBackoff is another node's word.
type heardBackoff struct {
	from      int
	at, until time.Duration
}

func newSimulatedNodes(nodes int, way sharing, shedFor func(int) bool) *simulatedNodes {
	s := &simulatedNodes{random: rand.New(rand.NewPCG(uint64(nodes), 3)), way: way, shedFor: shedFor, told: make([][]heardBackoff, nodes)}
	for range nodes {
		s.ledgers = append(s.ledgers, NewTracker(s.random))
	}
	return s
}

// closedByOthers tells whether a node stays away by the word of others.
func (s *simulatedNodes) closedByOthers(node int) bool {
	witnesses := make(map[int]bool)
	for _, heard := range s.told[node] {
		if s.now >= heard.at && s.now < heard.until {
			witnesses[heard.from] = true
		}
	}
	switch s.way {
	case shareWithAll:
		return len(witnesses) > 0
	case shareWithZone:
		return len(witnesses) >= zoneWitness
	default:
		return false
	}
}

// tell has others hear of a backoff with their next exchange of reports.
func (s *simulatedNodes) tell(node int) {
	for other := range s.told {
		if other == node || s.way == shareWithNone || (s.way == shareWithZone && other%simZones != node%simZones) {
			continue
		}
		heard := heardBackoff{from: node, at: s.now + time.Duration(s.random.Int64N(int64(simReports))), until: s.now + simAsked}
		s.told[other] = append(s.told[other], heard)
	}
}

// request sends a request of a node to the worker unless it is believed to be closed.
func (s *simulatedNodes) request(node int) {
	run := Run{Worker: "w"}
	if s.ledgers[node].ClosedFor(s.now, run) > 0 || s.closedByOthers(node) {
		if !s.shedFor(node) {
			s.kept++
		}
		return
	}
	s.ledgers[node].BeginRequest(s.now, run)
	if s.shedFor(node) {
		s.rejected = append(s.rejected, s.now)
		s.ledgers[node].Extend(s.now, run, simAsked)
		s.tell(node)
		return
	}
	s.ledgers[node].ObserveAnswer(run, s.now)
	s.served++
}

// run has so many requests a second come to the service, of which the worker's share goes there.
func (s *simulatedNodes) run(perSecond float64) {
	for ; s.now < simSheds; s.now += simStep {
		if s.random.Float64() < perSecond/simWorkers*simStep.Seconds() {
			s.request(s.random.IntN(len(s.ledgers)))
		}
	}
}

// mostRejected returns the most rejections within the span of the budget of retries.
func (s *simulatedNodes) mostRejected() int {
	most, first := 0, 0
	for index, at := range s.rejected {
		for s.rejected[first] <= at-budgetSpan {
			first++
		}
		most = max(most, index-first+1)
	}
	return most
}

// TestWaysToShareBackoffs compares who goes by a node's word, where a worker rejects all requests and
// where it rejects those of one zone alone.
func TestWaysToShareBackoffs(t *testing.T) {
	everybody := func(int) bool { return true }
	oneZone := func(node int) bool { return node%simZones == 0 }
	for _, size := range []struct {
		nodes     int
		perSecond float64
		slack     int
	}{{7, 22, 54}, {79, 130, 198}, {300, 150, 400}, {985, 180, 1040}} {
		for _, way := range []sharing{shareWithNone, shareWithAll, shareWithZone} {
			all := newSimulatedNodes(size.nodes, way, everybody)
			all.run(size.perSecond)
			zone := newSimulatedNodes(size.nodes, way, oneZone)
			zone.run(size.perSecond)
			lost := float64(zone.kept) / float64(max(zone.kept+zone.served, 1))
			t.Logf("%d nodes, way %d: %d rejections in 10 s where all are rejected; %.2f of what other zones would get there is lost where one zone is", size.nodes, way, all.mostRejected(), lost)
			if way == shareWithNone {
				assert.LessOrEqual(t, all.mostRejected(), size.slack, "the fleet's slack of retries")
				assert.Zero(t, zone.kept)
			}
		}
	}
}
