package workerbackoff

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Sizes and times of the simulated service.
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

// sharingMode is which other nodes apply a backoff that a node reports.
type sharingMode int

const (
	shareWithNone sharingMode = iota
	shareWithAll
	shareWithZone
)

// simulation has several nodes in front of a service with one worker that rejects requests.
type simulation struct {
	random   *rand.Rand
	now      time.Duration
	mode     sharingMode
	trackers []*Tracker
	// rejects reports whether the worker rejects a node's requests.
	rejects func(node int) bool
	// reports holds, by receiving node, the reports of other nodes.
	reports [][]reportedBackoff
	// rejected holds the times of rejections. served and withheld count the requests that the worker
	// would have accepted: those that it got, and those that were not sent.
	rejected         []time.Duration
	served, withheld int
}

// reportedBackoff is another node's report of a backoff until a time. It arrives at the time at.
type reportedBackoff struct {
	from      int
	at, until time.Duration
}

func newSimulation(nodes int, mode sharingMode, rejects func(int) bool) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(uint64(nodes), 3)), mode: mode, rejects: rejects, reports: make([][]reportedBackoff, nodes)}
	for range nodes {
		s.trackers = append(s.trackers, NewTracker(s.random))
	}
	return s
}

// closedByReports reports whether other nodes' reports close the worker for a node.
func (s *simulation) closedByReports(node int) bool {
	reporters := make(map[int]bool)
	for _, received := range s.reports[node] {
		if s.now >= received.at && s.now < received.until {
			reporters[received.from] = true
		}
	}
	switch s.mode {
	case shareWithAll:
		return len(reporters) > 0
	case shareWithZone:
		return len(reporters) >= zoneQuorum
	default:
		return false
	}
}

// report sends a backoff to other nodes with their next exchange of reports.
func (s *simulation) report(node int) {
	for other := range s.reports {
		if other == node || s.mode == shareWithNone || (s.mode == shareWithZone && other%simZones != node%simZones) {
			continue
		}
		received := reportedBackoff{from: node, at: s.now + time.Duration(s.random.Int64N(int64(simReportInterval))), until: s.now + simBackoff}
		s.reports[other] = append(s.reports[other], received)
	}
}

// request sends a request of a node to the worker unless the worker is closed for the node.
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

// run sends requests to the service at a rate, of which the worker gets its share.
func (s *simulation) run(perSecond float64) {
	for ; s.now < simDuration; s.now += simStep {
		if s.random.Float64() < perSecond/simWorkers*simStep.Seconds() {
			s.request(s.random.IntN(len(s.trackers)))
		}
	}
}

// maxRejections returns the most rejections in any window of the retry budget.
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

// TestUnsharedBackoffsStayWithinTheRetryBudget guards against more rejections than the retry budget
// covers, and against requests withheld from a worker that rejects only those of one zone.
func TestUnsharedBackoffsStayWithinTheRetryBudget(t *testing.T) {
	allNodes := func(int) bool { return true }
	oneZone := func(node int) bool { return node%simZones == 0 }
	for _, size := range []struct {
		nodes     int
		perSecond float64
		slack     int
	}{{7, 22, 54}, {79, 130, 198}, {300, 150, 400}, {985, 180, 1040}} {
		for _, mode := range []sharingMode{shareWithNone, shareWithAll, shareWithZone} {
			all := newSimulation(size.nodes, mode, allNodes)
			all.run(size.perSecond)
			zone := newSimulation(size.nodes, mode, oneZone)
			zone.run(size.perSecond)
			withheldFraction := float64(zone.withheld) / float64(max(zone.withheld+zone.served, 1))
			t.Logf("%d nodes, mode %d: %d rejections in 10 s if all requests are rejected; %.2f of the other zones' requests withheld if those of one zone are", size.nodes, mode, all.maxRejections(), withheldFraction)
			if mode == shareWithNone {
				assert.LessOrEqual(t, all.maxRejections(), size.slack, "slack of the retry budget")
				assert.Zero(t, zone.withheld)
			}
		}
	}
}
