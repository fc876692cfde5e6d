package gateway

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

// capacity tells which workers this gateway could send one more request of a caller to: by its connections, the
// workers' limits and its share of their slots. It is not safe for concurrent use.
type capacity struct {
	gateway     *Gateway
	service     fleet.PoolName
	destination upstream.Destination
	priority    int
	// atLimit is set once a worker was found at its request limit or in backoff, atShare once one was found to
	// have a limit on this gateway's requests in flight.
	atLimit, atShare bool
}

// capacityFor returns the capacity for a request in its present state.
func (g *Gateway) capacityFor(current *callerRequest) *capacity {
	return &capacity{
		gateway: g, service: current.service.Name, destination: g.destination(current, &backends.Worker{}),
		priority: limitPriority(current),
	}
}

// restrict has a placement request consider only workers with capacity, as it is now.
func (c *capacity) restrict(now time.Duration, request *backends.Request) {
	c.atLimit, c.atShare = false, false
	request.HasConnection = c.hasConnection
	if g := c.gateway; g.limits.active.Load() || g.backoffs.active.Load() {
		request.Admission = func(worker *backends.Worker) (backends.Admission, time.Duration) { return c.admission(now, worker) }
	}
	request.InFlightLimit = c.inFlightLimit(now)
}

// hasConnection reports whether there is, or may be opened, a connection to a worker.
func (c *capacity) hasConnection(worker *backends.Worker) bool {
	c.destination.Engine, c.destination.Address = worker.ID, worker.Address
	return c.gateway.upstreams.HasCapacity(c.destination)
}

// admission returns whether a worker's request limit admits the request, and for how long not.
func (c *capacity) admission(now time.Duration, worker *backends.Worker) (backends.Admission, time.Duration) {
	g := c.gateway
	admission, opensIn := g.limits.admission(now, worker, c.priority)
	c.atLimit = c.atLimit || admission == backends.AdmissionClosed
	if backoff := g.backoffs.remaining(now, backoffRun(worker.ID, worker.StartTime)); backoff > 0 {
		return backends.AdmissionClosed, max(backoff, opensIn)
	}
	return admission, opensIn
}

// inFlightLimit returns the limit on requests in flight at the workers of the service, or nil if there is none.
func (c *capacity) inFlightLimit(now time.Duration) func(worker *backends.Worker) (backends.InFlightLimit, bool) {
	l := c.gateway.rejections
	if !l.active.Load() {
		return nil
	}
	share, active := c.gateway.currentShare(now, c.service)
	if !active {
		return nil
	}
	return func(worker *backends.Worker) (backends.InFlightLimit, bool) {
		limit := share.limitAt(worker)
		if closed := l.closedFor(now, worker.ID); closed > 0 {
			limit.Own, limit.ReopensIn = 0, closed
		}
		c.atShare = true
		return limit, true
	}
}
