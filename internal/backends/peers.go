package backends

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// PeerReport is another node's word on the workers.
type PeerReport struct {
	Loads []Load
	// Suspects are the workers that the node couldn't reach of late.
	Suspects []fleet.EngineID
	// Deferring are the workers that have asked the node for no requests, if a worker that does
	// so is likely to ask this node as well.
	Deferring []fleet.EngineID
	// Orders holds, by worker under an order of the node, until when it counts as so.
	Orders map[fleet.EngineID]time.Duration
	// Work holds the work of the node's requests by service.
	Work map[fleet.PoolName]Work
}

// peerReports are the newest reports of other nodes, and their sum.
type peerReports struct {
	reports map[fleet.NodeID]*receivedReport
	// peerCount is the number of other nodes.
	peerCount int
	totals    peerTotals
	// validUntil is when the first report of the sum is too old; 0 has it made anew.
	validUntil time.Duration
	// onChange is called for each worker of which something else is told, and changedAll
	// when that may be any.
	onChange    func(fleet.EngineID)
	onChangeAll func()
	// rebuildAbove is the number of workers in the sum from which on it is made anew, without
	// those of which nothing is told any more.
	rebuildAbove int
}

// receivedReport is a report and when it came.
type receivedReport struct {
	PeerReport
	receivedAt time.Duration
	// loads are the report's loads, with what was told since.
	loads map[fleet.EngineID]Load
	// included is set if the sum has the report in it.
	included bool
}

// peerTotals is what the reports that count say together.
type peerTotals struct {
	// reportCount counts the reports.
	reportCount int
	// workers holds what is told of each worker, index where.
	workers []workerTotals
	index   map[fleet.EngineID]int
	work    map[fleet.PoolName]Work
}

// worker returns what other nodes say of a worker, or nil if they say nothing.
func (s *peerTotals) worker(id fleet.EngineID) *workerTotals {
	if at, known := s.index[id]; known && s.workers[at] != (workerTotals{}) {
		return &s.workers[at]
	}
	return nil
}

// entry returns the place for what other nodes say of a worker.
func (s *peerTotals) entry(id fleet.EngineID) *workerTotals {
	if at, known := s.index[id]; known {
		return &s.workers[at]
	}
	s.index[id] = len(s.workers)
	s.workers = append(s.workers, workerTotals{})
	return &s.workers[len(s.workers)-1]
}

// reset empties the sum and keeps its memory.
func (s *peerTotals) reset() {
	s.reportCount = 0
	s.workers = s.workers[:0]
	if s.index == nil {
		s.index, s.work = make(map[fleet.EngineID]int), make(map[fleet.PoolName]Work)
	}
	clear(s.index)
	clear(s.work)
}

// workerTotals is what other nodes say of one worker.
type workerTotals struct {
	Load
	// suspecting counts the nodes that couldn't reach it of late.
	suspecting int
	// deferred counts the nodes that it has asked for no requests.
	deferred int
	// orderedUntil is until when it counts as under an order.
	orderedUntil time.Duration
}

func newPeerReports() *peerReports {
	return &peerReports{
		reports:  make(map[fleet.NodeID]*receivedReport),
		onChange: func(fleet.EngineID) {}, onChangeAll: func() {},
	}
}

// observe takes a report in place of the node's one before.
func (p *peerReports) observe(now time.Duration, node fleet.NodeID, report PeerReport) {
	loads := make(map[fleet.EngineID]Load, len(report.Loads))
	for _, load := range report.Loads {
		loads[load.Engine] = load
	}
	report.Loads = nil
	p.forget(node)
	received := &receivedReport{PeerReport: report, receivedAt: now, loads: loads}
	p.reports[node] = received
	if p.validUntil > 0 {
		p.include(received)
	}
}

// include takes a report into the sum.
func (p *peerReports) include(report *receivedReport) {
	report.included = true
	p.totals.add(report)
	for id := range report.loads {
		p.onChange(id)
	}
	p.validUntil = min(p.validUntil, report.receivedAt+peerReportValidity)
}

// exclude takes a report out of the sum: a choice among thousands of engines has no time for a
// sum made anew.
func (p *peerReports) exclude(report *receivedReport) {
	report.included = false
	p.totals.reportCount--
	for id, load := range report.loads {
		p.totals.entry(id).add(&load, -1)
		p.onChange(id)
	}
	for _, id := range report.Suspects {
		p.totals.entry(id).suspecting--
	}
	for _, id := range report.Deferring {
		p.totals.entry(id).deferred--
	}
	for service, work := range report.Work {
		p.totals.work[service] = p.totals.work[service].add(Work{Long: -work.Long, Short: -work.Short})
	}
	for id := range report.Orders {
		p.totals.entry(id).orderedUntil = p.orderedUntil(id)
	}
}

// orderedUntil returns until when a worker counts as under an order, by the reports that
// count.
func (p *peerReports) orderedUntil(id fleet.EngineID) time.Duration {
	latest := time.Duration(0)
	for _, report := range p.reports {
		if report.included {
			latest = max(latest, report.Orders[id])
		}
	}
	return latest
}

// update takes changed loads into a node's report; without one before, it does
// nothing. The sum takes in what has changed: nodes tell of each long prompt that they
// place, and a sum made anew each time would take most of the time of a choice among thousands.
func (p *peerReports) update(node fleet.NodeID, loads []Load) {
	report := p.reports[node]
	if report == nil {
		return
	}
	for _, load := range loads {
		previous := report.loads[load.Engine]
		report.loads[load.Engine] = load
		if report.included && p.validUntil > 0 {
			entry := p.totals.entry(load.Engine)
			entry.add(&previous, -1)
			entry.add(&load, 1)
			p.onChange(load.Engine)
		}
	}
}

// forget drops a node's report.
func (p *peerReports) forget(node fleet.NodeID) {
	report := p.reports[node]
	delete(p.reports, node)
	if report != nil && report.included && p.validUntil > 0 {
		p.exclude(report)
	}
}

// totalsAt returns what the reports that aren't too old say together.
func (p *peerReports) totalsAt(now time.Duration) *peerTotals {
	switch {
	case now < p.validUntil:
	case p.validUntil == 0 || len(p.totals.workers) > p.rebuildAbove:
		p.rebuild(now)
	default:
		p.expire(now)
	}
	return &p.totals
}

// rebuildSlack is how many workers more than at first the sum may hold before it is made anew.
const rebuildSlack = 1024

// rebuild makes the sum of all reports that aren't too old.
func (p *peerReports) rebuild(now time.Duration) {
	p.totals.reset()
	p.validUntil = now + peerReportValidity
	for _, report := range p.reports {
		report.included = false
		if now < report.receivedAt+peerReportValidity {
			p.include(report)
		}
	}
	p.onChangeAll()
	p.rebuildAbove = 2*len(p.totals.workers) + rebuildSlack
}

// expire takes the reports out that are too old.
func (p *peerReports) expire(now time.Duration) {
	p.validUntil = now + peerReportValidity
	for _, report := range p.reports {
		switch end := report.receivedAt + peerReportValidity; {
		case !report.included:
		case now >= end:
			p.exclude(report)
		default:
			p.validUntil = min(p.validUntil, end)
		}
	}
}

// add takes one report into the sum.
func (s *peerTotals) add(report *receivedReport) {
	s.reportCount++
	for id, load := range report.loads {
		s.entry(id).add(&load, 1)
	}
	for _, id := range report.Suspects {
		s.entry(id).suspecting++
	}
	for _, id := range report.Deferring {
		s.entry(id).deferred++
	}
	for service, work := range report.Work {
		s.work[service] = s.work[service].add(work)
	}
	for id, until := range report.Orders {
		entry := s.entry(id)
		entry.orderedUntil = max(entry.orderedUntil, until)
	}
}

// ObservePeer takes in another node's report.
func (r *Registry) ObservePeer(now time.Duration, node fleet.NodeID, report PeerReport) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.peers.observe(now, node, report)
}

// UpdatePeerLoads takes another node's word on single workers in, which it has given
// between two reports.
func (r *Registry) UpdatePeerLoads(node fleet.NodeID, loads []Load) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.peers.update(node, loads)
}

// ForgetPeer drops what a node that is gone has said.
func (r *Registry) ForgetPeer(node fleet.NodeID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.peers.forget(node)
}

// suspicionQuorum is the number of other nodes whose word keeps requests away from a
// worker: one may be cut off from it, or have its requests rejected, alone.
const suspicionQuorum = 2

// isReadyByPeers tells whether other nodes say nothing that keeps requests away
// from a worker; the mutex is held.
func (r *Registry) isReadyByPeers(now time.Duration, state *workerState) bool {
	entry := r.peers.totalsAt(now).worker(state.worker.ID)
	switch {
	case entry == nil:
		return true
	case now < entry.orderedUntil:
		return false
	default:
		return entry.suspecting+entry.deferred < suspicionQuorum || state.hasRecentContact(now)
	}
}
