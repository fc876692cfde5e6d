package backends

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/overload"
)

// PeerReport is a peer's report on its load and on the workers.
type PeerReport struct {
	Loads []Load
	// Suspects are the workers that the peer recently failed to reach.
	Suspects []fleet.EngineID
	// Deferring are the workers that have asked the peer for no requests, if they are likely to ask
	// the same of this node.
	Deferring []fleet.EngineID
	// Cordons holds the workers that the peer has cordoned, and until when.
	Cordons map[fleet.EngineID]time.Duration
	// Work holds the work of the peer's requests by service.
	Work map[fleet.PoolName]Work
	// Outcomes are those at workers that have rejected requests of the peer.
	Outcomes []Outcomes
	// TenantWork holds the engine time of the peer's requests by service and tenant.
	TenantWork map[fleet.PoolName][]overload.Use
}

// peerReports holds the latest report of each peer, and their totals.
type peerReports struct {
	reports map[fleet.NodeID]*receivedReport
	// peerCount is the number of peers.
	peerCount int
	totals    peerTotals
	// validUntil is the time at which the first included report expires; 0 forces a rebuild.
	validUntil time.Duration
	// onChange is called for each worker whose totals change, and onChangeAll if any of them may
	// have changed.
	onChange    func(fleet.EngineID)
	onChangeAll func()
	// rebuildAbove is the number of workers in the totals above which they are rebuilt, to remove
	// workers without load.
	rebuildAbove int
}

// receivedReport is a report with the time at which it was received.
type receivedReport struct {
	PeerReport
	receivedAt time.Duration
	// loads holds the report's loads, including later updates.
	loads map[fleet.EngineID]Load
	// included is set if the totals include the report.
	included bool
}

// peerTotals is the sum of the valid reports.
type peerTotals struct {
	// reportCount is the number of included reports.
	reportCount int
	// workers holds the totals of each worker, and index their positions.
	workers []workerTotals
	index   map[fleet.EngineID]int
	work    map[fleet.PoolName]Work
}

// worker returns the totals of a worker, or nil if they are zero.
func (t *peerTotals) worker(id fleet.EngineID) *workerTotals {
	if index, known := t.index[id]; known && t.workers[index] != (workerTotals{}) {
		return &t.workers[index]
	}
	return nil
}

// entry returns the totals of a worker and adds them if needed.
func (t *peerTotals) entry(id fleet.EngineID) *workerTotals {
	if index, known := t.index[id]; known {
		return &t.workers[index]
	}
	t.index[id] = len(t.workers)
	t.workers = append(t.workers, workerTotals{})
	return &t.workers[len(t.workers)-1]
}

// reset clears the totals but keeps the allocated memory.
func (t *peerTotals) reset() {
	t.reportCount = 0
	t.workers = t.workers[:0]
	if t.index == nil {
		t.index, t.work = make(map[fleet.EngineID]int), make(map[fleet.PoolName]Work)
	}
	clear(t.index)
	clear(t.work)
}

// workerTotals is the sum of the peers' reports on one worker.
type workerTotals struct {
	Load
	// suspecting is the number of peers that recently failed to reach the worker.
	suspecting int
	// deferring is the number of peers that the worker has asked for no requests.
	deferring int
	// cordonedUntil is the latest time until which a peer has cordoned the worker.
	cordonedUntil time.Duration
}

func newPeerReports() *peerReports {
	return &peerReports{
		reports:  make(map[fleet.NodeID]*receivedReport),
		onChange: func(fleet.EngineID) {}, onChangeAll: func() {},
	}
}

// observe replaces the report of a peer.
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

// include adds a report to the totals.
func (p *peerReports) include(report *receivedReport) {
	report.included = true
	p.totals.add(report)
	for id := range report.loads {
		p.onChange(id)
	}
	p.validUntil = min(p.validUntil, report.receivedAt+peerReportValidity)
}

// exclude subtracts a report from the totals, which is faster than a rebuild.
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
		p.totals.entry(id).deferring--
	}
	for service, work := range report.Work {
		p.totals.work[service] = p.totals.work[service].add(Work{Long: -work.Long, Short: -work.Short})
	}
	for id := range report.Cordons {
		p.totals.entry(id).cordonedUntil = p.cordonedUntil(id)
	}
}

// cordonedUntil returns the latest time until which a worker is cordoned, by the included reports.
func (p *peerReports) cordonedUntil(id fleet.EngineID) time.Duration {
	latest := time.Duration(0)
	for _, report := range p.reports {
		if report.included {
			latest = max(latest, report.Cordons[id])
		}
	}
	return latest
}

// update applies changed loads to the report of a peer, if there is one. The totals are updated
// incrementally, since peers send an update for each long prompt that they place.
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

// forget drops the report of a peer.
func (p *peerReports) forget(node fleet.NodeID) {
	report := p.reports[node]
	delete(p.reports, node)
	if report != nil && report.included && p.validUntil > 0 {
		p.exclude(report)
	}
}

// totalsAt returns the sum of the reports that are valid at now.
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

// rebuildSlack is the number of workers that the totals may gain, beyond doubling, before a
// rebuild.
const rebuildSlack = 1024

// rebuild recomputes the totals from the valid reports.
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

// expire excludes the reports that are no longer valid.
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

// add adds a report.
func (t *peerTotals) add(report *receivedReport) {
	t.reportCount++
	for id, load := range report.loads {
		t.entry(id).add(&load, 1)
	}
	for _, id := range report.Suspects {
		t.entry(id).suspecting++
	}
	for _, id := range report.Deferring {
		t.entry(id).deferring++
	}
	for service, work := range report.Work {
		t.work[service] = t.work[service].add(work)
	}
	for id, until := range report.Cordons {
		entry := t.entry(id)
		entry.cordonedUntil = max(entry.cordonedUntil, until)
	}
}

// ObservePeer records a peer's report.
func (r *Registry) ObservePeer(now time.Duration, node fleet.NodeID, report PeerReport) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.observePeerUse(now, node, report.TenantWork)
	r.observePeerOutcomes(now, node, report.Outcomes)
	report.TenantWork, report.Outcomes = nil, nil
	r.peers.observe(now, node, report)
}

// UpdatePeerLoads applies a peer's changes to single loads between two reports.
func (r *Registry) UpdatePeerLoads(node fleet.NodeID, loads []Load) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.peers.update(node, loads)
}

// ForgetPeer drops the report of a peer that has left.
func (r *Registry) ForgetPeer(node fleet.NodeID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.peers.forget(node)
	delete(r.peerOutcomes, node)
	for _, controller := range r.overloadControllers {
		controller.ForgetPeer(node)
	}
}

// suspicionQuorum is the number of peers that must suspect or be deferred by a worker before this
// node avoids it. A single peer may be partitioned from the worker, or rejected by it, alone.
const suspicionQuorum = 2

// isReadyByPeers reports whether the peers give no reason to avoid a worker. The mutex must be
// held.
func (r *Registry) isReadyByPeers(now time.Duration, state *workerState) bool {
	entry := r.peers.totalsAt(now).worker(state.worker.ID)
	switch {
	case entry == nil:
		return true
	case now < entry.cordonedUntil:
		return false
	default:
		return entry.suspecting+entry.deferring < suspicionQuorum || state.hasRecentContact(now)
	}
}
