package workerbackoff

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The simulated service and what its workers ask for.
const (
	simWorkers        = 3
	simZones          = 3
	simStep           = time.Millisecond
	simDuration       = 20 * time.Second
	simBackoff        = 3 * time.Second
	simReportInterval = 600 * time.Millisecond
	retryBudgetWindow = 10 * time.Second
	zoneQuorum        = 2
)

// sharingMode tells who goes by a node's word on a backoff besides itself.
type sharingMode int

const (
	shareWithNone sharingMode = iota
	shareWithAll
	shareWithZone
)

// simulation are nodes in front of a service of which one worker rejects requests.
type simulation struct {
	random   *rand.Rand
	now      time.Duration
	mode     sharingMode
	trackers []*Tracker
	// rejects tells which nodes' requests the worker rejects.
	rejects func(node int) bool
	// reports holds, by node, what others say, and when it hears of it.
	reports [][]reportedBackoff
	// rejected are the times of rejections, served and kept count the requests that the worker
	// would have taken: those that it got, and those that stayed away.
	rejected         []time.Duration
	served, withheld int
}

// reportedBackoff is another node's word.
type reportedBackoff struct {
	from      int
	at, until time.Duration
}

func newSimulation(nodes int, way sharingMode, shedFor func(int) bool) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(uint64(nodes), 3)), mode: way, rejects: shedFor, reports: make([][]reportedBackoff, nodes)}
	for range nodes {
		s.trackers = append(s.trackers, NewTracker(s.random))
	}
	return s
}

// closedByReports tells whether a node stays away by the word of others.
func (s *simulation) closedByReports(node int) bool {
	witnesses := make(map[int]bool)
	for _, heard := range s.reports[node] {
		if s.now >= heard.at && s.now < heard.until {
			witnesses[heard.from] = true
		}
	}
	switch s.mode {
	case shareWithAll:
		return len(witnesses) > 0
	case shareWithZone:
		return len(witnesses) >= zoneQuorum
	default:
		return false
	}
}

// report has others hear of a backoff with their next exchange of reports.
func (s *simulation) report(node int) {
	for other := range s.reports {
		if other == node || s.mode == shareWithNone || (s.mode == shareWithZone && other%simZones != node%simZones) {
			continue
		}
		heard := reportedBackoff{from: node, at: s.now + time.Duration(s.random.Int64N(int64(simReportInterval))), until: s.now + simBackoff}
		s.reports[other] = append(s.reports[other], heard)
	}
}

// request sends a request of a node to the worker unless it is believed to be closed.
func (s *simulation) request(node int) {
	run := Run{Worker: "w"}
	if s.trackers[node].ClosedFor(s.now, run) > 0 || s.closedByReports(node) {
		if !s.rejects(node) {
			s.withheld++
		}
		return
	}
	s.trackers[node].BeginRequest(s.now, run)
	if s.rejects(node) {
		s.rejected = append(s.rejected, s.now)
		s.trackers[node].Extend(s.now, run, simBackoff)
		s.report(node)
		return
	}
	s.trackers[node].ObserveAnswer(run, s.now)
	s.served++
}

// run has so many requests a second come to the service, of which the worker's share goes there.
func (s *simulation) run(perSecond float64) {
	for ; s.now < simDuration; s.now += simStep {
		if s.random.Float64() < perSecond/simWorkers*simStep.Seconds() {
			s.request(s.random.IntN(len(s.trackers)))
		}
	}
}

// maxRejections returns the most rejections within the span of the budget of retries.
func (s *simulation) maxRejections() int {
	most, first := 0, 0
	for index, at := range s.rejected {
		for s.rejected[first] <= at-retryBudgetWindow {
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
		for _, way := range []sharingMode{shareWithNone, shareWithAll, shareWithZone} {
			all := newSimulation(size.nodes, way, everybody)
			all.run(size.perSecond)
			zone := newSimulation(size.nodes, way, oneZone)
			zone.run(size.perSecond)
			lost := float64(zone.withheld) / float64(max(zone.withheld+zone.served, 1))
			t.Logf("%d nodes, way %d: %d rejections in 10 s where all are rejected; %.2f of what other zones would get there is lost where one zone is", size.nodes, way, all.maxRejections(), lost)
			if way == shareWithNone {
				assert.LessOrEqual(t, all.maxRejections(), size.slack, "the fleet's slack of retries")
				assert.Zero(t, zone.withheld)
			}
		}
	}
}
