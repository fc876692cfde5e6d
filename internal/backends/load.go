package backends

import (
	"cmp"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/overload"
)

// Load is the load that one node places on a worker.
type Load struct {
	Engine fleet.EngineID
	// InFlight is the number of requests in flight.
	InFlight int
	// PrefillTokens is the uncached prompt work of the requests that have not begun to respond.
	PrefillTokens int
	// MemoryTokens is the memory that the requests occupy or will occupy, in tokens.
	MemoryTokens int
	// Priorities holds the load by priority, the most urgent first.
	Priorities [PriorityCount]PriorityLoad
}

// PriorityCount is the number of request priorities; 0 is the most urgent.
const PriorityCount = overload.PriorityCount

// PriorityLoad is the load of the requests of one priority.
type PriorityLoad struct {
	InFlight      int32
	PrefillTokens int32
}

// add adds another load, or subtracts it if sign is -1.
func (l *Load) add(other *Load, sign int) {
	l.InFlight += sign * other.InFlight
	l.PrefillTokens += sign * other.PrefillTokens
	l.MemoryTokens += sign * other.MemoryTokens
	for priority := range l.Priorities {
		l.Priorities[priority].InFlight += int32(sign) * other.Priorities[priority].InFlight
		l.Priorities[priority].PrefillTokens += int32(sign) * other.Priorities[priority].PrefillTokens
	}
}

// lowerPriorityThan returns the load of the requests that are less urgent than a priority.
func (l *Load) lowerPriorityThan(priority int) PriorityLoad {
	var sum PriorityLoad
	for _, load := range l.Priorities[min(priority+1, PriorityCount):] {
		sum.InFlight += load.InFlight
		sum.PrefillTokens += load.PrefillTokens
	}
	return sum
}

// OwnLoad returns this node's load by worker, sorted by identifier. Idle workers are omitted.
func (r *Registry) OwnLoad() []Load {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var loads []Load
	for id, state := range r.workers {
		if state.inFlight > 0 {
			loads = append(loads, Load{
				Engine: id, InFlight: state.inFlight, PrefillTokens: state.prefillTokens, MemoryTokens: state.memory.tokens(),
				Priorities: state.priorities,
			})
		}
	}
	slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(a.Engine, b.Engine) })
	return loads
}

// InFlight returns the number of requests in flight at a worker over all nodes.
func (r *Registry) InFlight(now time.Duration, id fleet.EngineID) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state := r.workers[id]
	if state == nil {
		return 0
	}
	return r.totalLoad(now, state).InFlight
}

// MemoryUtilization returns the fraction of memory in use over all nodes at the engines of the
// given worker's service. If their memory capacity is unknown, it returns the fraction of slots in
// use.
func (r *Registry) MemoryUtilization(now time.Duration, id fleet.EngineID) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	reference := r.workers[id]
	if reference == nil {
		return 0
	}
	// Expire stale reports before the iteration: expiry moves workers between the lists that are
	// being iterated over.
	r.peers.totalsAt(now)
	used, total := 0, 0
	for _, state := range r.poolOf(reference.worker.Service).all() {
		load := r.totalLoad(now, state)
		if capacity := r.memoryCapacities[state.worker.Service]; capacity > 0 {
			used, total = used+load.MemoryTokens, total+capacity
			continue
		}
		used, total = used+load.InFlight, total+max(state.worker.Slots, 1)
	}
	return float64(used) / float64(max(total, 1))
}

// SetMemoryCapacity sets the KV cache capacity of a service's engines, in tokens.
func (r *Registry) SetMemoryCapacity(service fleet.PoolName, tokens int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.memoryCapacities[service] = tokens
}

// Suspects returns the workers that this node recently failed to reach, sorted by identifier.
func (r *Registry) Suspects(now time.Duration) []fleet.EngineID {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var suspects []fleet.EngineID
	for id, state := range r.workers {
		if (now < state.suspectUntil || state.silence.IsSuspended(now)) && !state.gone {
			suspects = append(suspects, id)
		}
	}
	slices.Sort(suspects)
	return suspects
}

// ObserveRefusal records that a worker refused a connection that this node tried for another one. Unlike a
// failed send it doesn't prolong a suspicion, since several nodes may ask at once.
func (r *Registry) ObserveRefusal(now time.Duration, id fleet.EngineID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if state := r.workers[id]; state != nil && now >= state.suspectUntil {
		state.recordOutcome(now, true)
		state.suspect(now)
	}
}

// ConfirmSuspicion records that another node couldn't connect to a suspected worker either. Only such
// suspicions are reported: others may be due to this node's own links.
func (r *Registry) ConfirmSuspicion(id fleet.EngineID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if state := r.workers[id]; state != nil {
		state.suspicionConfirmed = true
	}
}

// ReportedSuspects returns the suspects that this node reports to others, sorted by identifier: those
// that another node has confirmed, and silent engines.
func (r *Registry) ReportedSuspects(now time.Duration) []fleet.EngineID {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var suspects []fleet.EngineID
	for id, state := range r.workers {
		confirmed := now < state.suspectUntil && state.suspicionConfirmed
		if (confirmed || state.silence.IsSuspended(now)) && !state.gone {
			suspects = append(suspects, id)
		}
	}
	slices.Sort(suspects)
	return suspects
}

// ClearSuspicions withdraws what this node holds against workers since it couldn't reach them, because
// its own links have failed.
func (r *Registry) ClearSuspicions() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, state := range r.workers {
		state.suspectUntil, state.suspicionPeriod, state.probedUntil = 0, 0, 0
		state.failureMean = 0
		state.silence.End()
	}
}

// AllSuspects returns the workers that this node or any peer recently failed to reach.
func (r *Registry) AllSuspects(now time.Duration) map[fleet.EngineID]bool {
	suspects := make(map[fleet.EngineID]bool)
	for _, suspect := range r.Suspects(now) {
		suspects[suspect] = true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	totals := r.peers.totalsAt(now)
	for id, index := range totals.index {
		if totals.workers[index].suspecting > 0 {
			suspects[id] = true
		}
	}
	return suspects
}

// SetPeerCount sets the number of peers, to which the load in the valid reports is extrapolated.
func (r *Registry) SetPeerCount(count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.peers.peerCount = count
}

// totalLoad returns the load of a worker over all nodes, without the load by priority. The mutex
// must be held.
func (r *Registry) totalLoad(now time.Duration, state *workerState) Load {
	total := Load{
		Engine: state.worker.ID, InFlight: state.inFlight, PrefillTokens: state.prefillTokens, MemoryTokens: state.memory.tokens(),
	}
	totals := r.peers.totalsAt(now)
	if others := totals.worker(state.worker.ID); others != nil {
		total.InFlight += r.extrapolate(totals, others.InFlight)
		total.PrefillTokens += r.extrapolate(totals, others.PrefillTokens)
		total.MemoryTokens += r.extrapolate(totals, others.MemoryTokens)
	}
	return total
}

// totalInFlight returns the number of requests in flight at a worker over all nodes. The mutex must
// be held.
func (r *Registry) totalInFlight(now time.Duration, state *workerState) int {
	totals := r.peers.totalsAt(now)
	others := totals.worker(state.worker.ID)
	if others == nil {
		return state.inFlight
	}
	return state.inFlight + r.extrapolate(totals, others.InFlight)
}

// lowerPriorityLoad returns the load over all nodes of the requests at a worker that are less
// urgent than a priority. It sums before it extrapolates, because it runs for every engine in every
// choice. The mutex must be held.
func (r *Registry) lowerPriorityLoad(now time.Duration, state *workerState, priority int) PriorityLoad {
	own := Load{Priorities: state.priorities}
	sum := own.lowerPriorityThan(priority)
	totals := r.peers.totalsAt(now)
	if others := totals.worker(state.worker.ID); others != nil {
		load := others.lowerPriorityThan(priority)
		sum.InFlight += int32(r.extrapolate(totals, int(load.InFlight)))
		sum.PrefillTokens += int32(r.extrapolate(totals, int(load.PrefillTokens)))
	}
	return sum
}

// extrapolate scales a sum over the peers with valid reports to all peers.
func (r *Registry) extrapolate(totals *peerTotals, sum int) int {
	if sum == 0 {
		return 0
	}
	return sum * max(r.peers.peerCount, totals.reportCount) / totals.reportCount
}
