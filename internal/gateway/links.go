package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/reachability"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

const (
	// linkCheckDelay is how long a request waits for a sign of life from any worker before a new
	// connection to its worker is tried. It is well above a round trip; a check costs one connection.
	linkCheckDelay = 300 * time.Millisecond
	// linkCheckInterval is the time between two rounds of checks of lost links, and linkChecksPerRound
	// how many links are checked in one.
	linkCheckInterval  = 250 * time.Millisecond
	linkChecksPerRound = 4
	// unreachableRetryAfter is when callers are to return while no gateway reaches any worker: after two
	// rounds of checks.
	unreachableRetryAfter = 2 * linkCheckInterval
	// linksCheckedAtOnce is how many further links are checked once one was found lost, so that a
	// partition from all workers is soon told from the loss of one link.
	linksCheckedAtOnce = 2
)

// workerLinks holds which links from this gateway to workers are lost. It is safe for concurrent use.
type workerLinks struct {
	mutex   sync.Mutex
	monitor *reachability.Monitor
	// heardAt is when a worker was last heard on a direct connection.
	heardAt time.Duration
	// lostSignal holds one element after a link was found lost.
	lostSignal chan struct{}
	// checking holds the workers to which a connection is being tried as a check.
	checking map[fleet.EngineID]bool
}

func newWorkerLinks() *workerLinks {
	return &workerLinks{monitor: reachability.New(), lostSignal: make(chan struct{}, 1), checking: make(map[fleet.EngineID]bool)}
}

// isPartitioned reports whether this gateway is partitioned from all workers.
func (l *workerLinks) isPartitioned() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.monitor.IsPartitioned()
}

// isLost reports whether the link to a worker is lost.
func (l *workerLinks) isLost(worker fleet.EngineID) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.monitor.IsLinkLost(worker)
}

// connectedSince reports whether this gateway has opened a direct connection to a worker since a time.
func (l *workerLinks) connectedSince(since time.Duration) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.monitor.ConnectedAt() > max(since, 0)
}

// hasLost reports whether any link is lost.
func (l *workerLinks) hasLost() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.monitor.HasLostLinks()
}

// recordHeard records that a worker was heard, on a direct connection or through another gateway.
func (l *workerLinks) recordHeard(now time.Duration, relay fleet.NodeID) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.monitor.Reached()
	if relay == "" {
		l.heardAt = max(l.heardAt, now)
	}
}

// isNoneReachable reports whether no gateway that was asked reaches any worker.
func (l *workerLinks) isNoneReachable() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.monitor.IsNoneReachable()
}

// needsCheck reports whether no worker was heard for linkCheckDelay and no check is under way.
func (l *workerLinks) needsCheck(now time.Duration) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return now >= l.heardAt+linkCheckDelay && len(l.checking) == 0
}

func (l *workerLinks) forget(worker fleet.EngineID) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.monitor.Forget(worker)
}

// beginCheck reports whether no check of the link to a worker is under way, and begins one.
func (l *workerLinks) beginCheck(worker fleet.EngineID) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.checking[worker] {
		return false
	}
	l.checking[worker] = true
	return true
}

func (l *workerLinks) endCheck(worker fleet.EngineID) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.checking, worker)
}

// recordConnected records that this gateway has opened a direct connection to a worker.
func (g *Gateway) recordConnected(worker fleet.EngineID) {
	now := g.now()
	g.links.mutex.Lock()
	wasLost := g.links.monitor.IsLinkLost(worker)
	change := g.links.monitor.Connected(now, worker)
	g.links.heardAt = max(g.links.heardAt, now)
	g.links.mutex.Unlock()
	if !wasLost {
		return
	}
	g.events.line("link_regained").Str("worker", string(worker)).Msg("link_regained")
	if change == reachability.Healed {
		g.metrics.links.partitioned.Set(0)
		g.logger.Info().Msg("partition_healed")
	}
}

// recordLinkLost records that another gateway has connected to a worker to which this one couldn't.
func (g *Gateway) recordLinkLost(worker fleet.EngineID, relay fleet.NodeID) {
	now, known := g.now(), len(g.workers.Workers())
	g.links.mutex.Lock()
	wasLost := g.links.monitor.IsLinkLost(worker)
	change := g.links.monitor.LinkLost(now, worker, known)
	g.links.mutex.Unlock()
	signal(g.links.lostSignal)
	if !wasLost {
		g.events.line("link_lost").Str("worker", string(worker)).Str("relay", string(relay)).Msg("link_lost")
		g.checkOtherLinks(worker)
	}
	if change == reachability.Partitioned {
		g.beginPartition(known)
	}
}

// recordUnreached records that no way to a worker was found, and no gateway that was asked knew one to any
// other.
func (g *Gateway) recordUnreached(worker fleet.EngineID) {
	known := len(g.workers.Workers())
	g.links.mutex.Lock()
	began := g.links.monitor.Unreached(worker, known)
	g.links.mutex.Unlock()
	if began {
		signal(g.links.lostSignal)
		g.events.line("workers_unreachable").Int("workers", known).Msg("workers_unreachable")
	}
}

// refuseUnreachable returns the time after which a caller is to return while no gateway reaches any worker,
// false if one may be reached.
func (g *Gateway) refuseUnreachable() (time.Duration, bool) {
	if !g.links.isNoneReachable() {
		return 0, false
	}
	return unreachableRetryAfter, true
}

// beginPartition gives up connections that may hang, withdraws what this gateway holds against workers,
// since its own links have failed, and tells the other gateways.
func (g *Gateway) beginPartition(known int) {
	g.metrics.links.partitioned.Set(1)
	g.logger.Warn().Int("workers", known).Msg("partitioned_from_workers")
	g.upstreams.CloseIdleDirect()
	g.workers.ClearSuspicions()
	g.clearSilences()
	g.pending.cancelHanging(g.now())
	g.announcer.addAll()
}

// checkLinkAfter tries a new connection to a worker if a request there has waited for linkCheckDelay
// and no worker was heard meanwhile: open connections may hang. The returned function ends the wait.
func (g *Gateway) checkLinkAfter(worker *backends.Worker) (stop func() bool) {
	timer := time.AfterFunc(linkCheckDelay, func() {
		if g.links.needsCheck(g.now()) && !g.links.isLost(worker.ID) {
			g.checkLink(*worker)
		}
	})
	return timer.Stop
}

// checkLink tries a new connection to a worker, which shows whether the link is lost. The connection is
// kept for requests.
func (g *Gateway) checkLink(worker backends.Worker) {
	if !g.links.beginCheck(worker.ID) {
		return
	}
	defer g.links.endCheck(worker.ID)
	g.upstreams.Probe(g.context(), upstream.Destination{Engine: worker.ID, Address: worker.Address})
}

// checkOtherLinks checks some links besides one that was found lost.
func (g *Gateway) checkOtherLinks(lost fleet.EngineID) {
	started := 0
	for _, worker := range g.workers.WorkersInUse() {
		if started == linksCheckedAtOnce {
			return
		}
		if worker.ID == lost || g.links.isLost(worker.ID) {
			continue
		}
		started++
		go g.checkLink(worker)
	}
}

// recheckLinks tries lost links again until the process ends.
func (g *Gateway) recheckLinks() error {
	for {
		select {
		case <-g.links.lostSignal:
		case <-g.life.Dying():
			return nil
		}
		for g.links.hasLost() {
			if !g.pause(linkCheckInterval) {
				return nil
			}
			g.recheckDueLinks()
		}
	}
}

// recheckDueLinks makes one round of checks.
func (g *Gateway) recheckDueLinks() {
	g.links.mutex.Lock()
	due := g.links.monitor.NextChecks(g.now(), linkChecksPerRound)
	partitioned := g.links.monitor.IsPartitioned()
	g.links.mutex.Unlock()
	for _, id := range due {
		if worker, known := g.workers.Worker(id); known {
			go g.recheckLink(worker)
		} else {
			g.links.forget(id)
		}
	}
	switch {
	case partitioned:
		g.checkAnyLink()
		g.carriers.closeIdle()
	case len(due) == 0:
		g.checkAnyPath()
	}
}

// checkAnyLink tries a direct connection to a worker drawn from all: in a partition that was inferred from
// some links, others may work.
func (g *Gateway) checkAnyLink() {
	if workers := g.workers.WorkersInUse(); len(workers) > 0 {
		go g.recheckLink(workers[rand.IntN(len(workers))])
	}
}

// checkAnyPath tries a connection to a worker drawn from all, directly or through another gateway.
func (g *Gateway) checkAnyPath() {
	if workers := g.workers.WorkersInUse(); len(workers) > 0 {
		go g.checkLink(workers[rand.IntN(len(workers))])
	}
}

// recheckLink tries a direct connection to a worker.
func (g *Gateway) recheckLink(worker backends.Worker) {
	ctx, cancel := context.WithTimeout(g.context(), upstream.DefaultDialTimeout)
	defer cancel()
	conn, err := g.dialDirect(ctx, upstream.Destination{Engine: worker.ID, Address: worker.Address})
	if err == nil {
		_ = conn.Close()
	}
}

// isOwnFailure reports whether a connection that broke says nothing of its worker: it went through
// another gateway, or this gateway's link to the worker is lost.
func (g *Gateway) isOwnFailure(worker fleet.EngineID, relay fleet.NodeID) bool {
	return relay != "" || g.links.isLost(worker)
}
