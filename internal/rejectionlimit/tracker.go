// Package rejectionlimit keeps all nodes together from making workers reject requests, while the workers
// of a service advertise that they bear only so many rejections in a second and fail after more.
//
// Meanwhile no request may wait at a worker: its slots are divided among the nodes that send to the
// service, by a rule that each node applies alone, and a node keeps its requests in flight within its
// share. That needs no message before a send, and none that could be lost.
//
// The package has no I/O and no clock: callers pass in the monotonic time. Its types are not safe for
// concurrent use.
package rejectionlimit

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const (
	// advertisementLifetime is how long an advertisement holds. Workers repeat it in each answer.
	advertisementLifetime = 3 * time.Second
	// closedAfterRejection is how long a node sends nothing to a worker that has rejected a request of
	// it: workers count the rejections of a second.
	closedAfterRejection = time.Second
	// maxClosed bounds that time, which doubles with each further rejection.
	maxClosed = 4 * time.Second
)

// Advertisement is what the workers of a service say.
type Advertisement struct {
	Service fleet.PoolName
	// Rejections is the number of rejections in a second that a worker bears.
	Rejections int
	// At is when a worker last said so.
	At time.Duration
}

// Tracker holds the advertisements that are in force, and which workers have rejected requests.
type Tracker struct {
	services map[fleet.PoolName]Advertisement
	closed   map[fleet.EngineID]closedWorker
}

// closedWorker is a worker that gets no requests.
type closedWorker struct {
	until  time.Duration
	period time.Duration
}

// New returns a tracker without advertisements.
func New() *Tracker {
	return &Tracker{services: make(map[fleet.PoolName]Advertisement), closed: make(map[fleet.EngineID]closedWorker)}
}

// Observe records an advertisement of a worker, or one that another node has reported. It reports whether
// the service advertised nothing before.
func (t *Tracker) Observe(now time.Duration, said Advertisement) bool {
	if now >= said.At+advertisementLifetime {
		return false
	}
	known, found := t.services[said.Service]
	if found && known.At >= said.At {
		return false
	}
	t.services[said.Service] = said
	return !found
}

// IsActive reports whether the workers of a service bear only so many rejections now.
func (t *Tracker) IsActive(now time.Duration, service fleet.PoolName) bool {
	said, found := t.services[service]
	return found && now < said.At+advertisementLifetime
}

// Advertisements returns those that are in force.
func (t *Tracker) Advertisements(now time.Duration) []Advertisement {
	var inForce []Advertisement
	for service, said := range t.services {
		if t.IsActive(now, service) {
			inForce = append(inForce, said)
		}
	}
	return inForce
}

// Sweep drops what no longer holds, and returns the services whose advertisements have lapsed.
func (t *Tracker) Sweep(now time.Duration) (ended []fleet.PoolName) {
	for service := range t.services {
		if !t.IsActive(now, service) {
			delete(t.services, service)
			ended = append(ended, service)
		}
	}
	for worker, state := range t.closed {
		if now >= state.until+maxClosed {
			delete(t.closed, worker)
		}
	}
	return ended
}

// IsEmpty reports whether no advertisement is held, even a lapsed one.
func (t *Tracker) IsEmpty() bool { return len(t.services) == 0 }

// Rejected records that a worker has rejected a request of this node.
func (t *Tracker) Rejected(now time.Duration, worker fleet.EngineID) {
	period := closedAfterRejection
	if state, found := t.closed[worker]; found {
		period = min(2*state.period, maxClosed)
	}
	t.closed[worker] = closedWorker{until: now + period, period: period}
}

// ClosedFor returns for how long this node sends nothing to a worker.
func (t *Tracker) ClosedFor(now time.Duration, worker fleet.EngineID) time.Duration {
	return max(t.closed[worker].until-now, 0)
}

// Share returns how many of a worker's slots belong to one of the nodes that send to its service. The
// slots of the service's workers are dealt out to the nodes in turn: offset is the number of slots of the
// workers before, and index the node's position.
func Share(slots, offset, nodes, index int) int {
	if nodes <= 0 {
		return 0
	}
	first := ((index-offset)%nodes + nodes) % nodes
	if first >= slots {
		return 0
	}
	return (slots-1-first)/nodes + 1
}
