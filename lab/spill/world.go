package spill

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/affinity"
	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/lab/eventqueue"
)

// world is the state of one run.
type world struct {
	options      Options
	queue        *eventqueue.Queue
	view         *config.View
	engines      []*engineHost
	engineByID   map[fleet.EngineID]*engineHost
	routers      []*routerHost
	routerByNode map[fleet.NodeID]*routerHost
	agents       []*agentHost
	// members and pools are the view of the routers that all agents share.
	members []membership.Member
	pools   *membership.PoolMap
	result  *Result
}

// Run simulates one run. Equal options give equal results.
func Run(options Options) (*Result, error) {
	view, err := config.NewView(newDocument(options.Pools))
	if err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	w := &world{
		options: options, queue: eventqueue.New(options.Seed), view: view,
		engineByID:   make(map[fleet.EngineID]*engineHost),
		routerByNode: make(map[fleet.NodeID]*routerHost),
		result:       &Result{warmup: options.Warmup},
	}
	w.build()
	w.scheduleArrival(newGenerator(options, w.newRandom()))
	w.queue.RunUntil(options.Duration + requestTimeout)
	for _, host := range w.engines {
		w.result.PeakStreams = max(w.result.PeakStreams, host.peakStreams)
	}
	return w.result, nil
}

func zoneName(zone int) fleet.ZoneName { return fleet.ZoneName(fmt.Sprintf("zone-%d", zone)) }

func (w *world) build() {
	for pool := range w.options.Pools {
		for number := range w.options.EnginesPerPool {
			host := newEngineHost(w, fmt.Sprintf("engine-%d-%03d", pool, number), pool, number%w.options.Zones)
			w.engines = append(w.engines, host)
			w.engineByID[host.id()] = host
		}
	}
	for number := range w.options.Routers {
		zone := zoneName(number % w.options.Zones)
		node := fleet.NodeID(fmt.Sprintf("router-%02d", number))
		host := &routerHost{world: w, member: membership.Member{Node: node, Zone: zone, State: membership.Alive}}
		w.routers = append(w.routers, host)
		w.routerByNode[node] = host
	}
	w.startRouters()
	for number := range w.options.Agents * w.options.Zones {
		affinityOptions := w.options.Policy.Affinity
		affinityOptions.Random = w.newRandom()
		w.agents = append(w.agents, &agentHost{
			world: w, location: membership.Location{Zone: zoneName(number % w.options.Zones)},
			table: affinity.New(affinityOptions), failed: make(map[fleet.NodeID]time.Duration),
		})
	}
}

// startRouters starts the routers that do not join later and schedules the router changes.
func (w *world) startRouters() {
	joining := make(map[int]bool)
	for _, change := range w.options.RouterChanges {
		for _, number := range change.routers() {
			joining[number] = joining[number] || change.Join
		}
		w.queue.At(change.At, func() { w.applyRouterChange(change) })
	}
	for number, host := range w.routers {
		if !joining[number] {
			host.start()
		}
	}
	w.shareEngines()
}

func (c RouterChange) routers() []int {
	var numbers []int
	for position := range c.Count {
		numbers = append(numbers, c.Router+position*c.Step)
	}
	return numbers
}

func (w *world) applyRouterChange(change RouterChange) {
	for _, number := range change.routers() {
		if change.Join {
			w.routers[number].start()
		} else {
			w.routers[number].crash()
		}
	}
	w.queue.After(detectionDelay, w.shareEngines)
}

// shareEngines assigns the engines to the live routers. Routers apply the assignment at different
// times, during which an engine may have two owners or none.
func (w *world) shareEngines() {
	w.members = nil
	for _, host := range w.routers {
		if host.alive {
			w.members = append(w.members, host.member)
		}
	}
	sites := make([]membership.EngineSite, len(w.engines))
	for position, host := range w.engines {
		sites[position] = host.site
	}
	w.pools = membership.NewPoolMap(sites, w.members, w.options.Replicas)
	members, pools := w.members, w.pools
	owners := func(host *engineHost) []fleet.NodeID {
		if w.options.Policy.ByPool {
			return pools.Owners(host.id(), host.site)
		}
		return membership.Owners(host.id(), members, w.options.Replicas)
	}
	for _, host := range w.routers {
		if host.alive {
			w.queue.After(w.propagationDelay(), func() {
				if host.alive {
					host.updateOwned(owners)
				}
			})
		}
	}
}

// propagationDelay returns a random delay, up to a second, until a router learns of a change; 0 at
// the start of the run.
func (w *world) propagationDelay() time.Duration {
	if w.queue.Now() == 0 {
		return 0
	}
	return time.Duration(w.queue.Random().Int64N(int64(time.Second)))
}

// scheduleArrival schedules the next request, with exponentially distributed gaps.
func (w *world) scheduleArrival(from *generator) {
	gap := time.Duration(w.queue.Random().ExpFloat64() / w.options.Rate * float64(time.Second))
	if w.queue.Now()+gap >= w.options.Duration {
		return
	}
	w.queue.After(gap, func() {
		w.agents[w.queue.Random().IntN(len(w.agents))].serve(from.next(w.queue.Now()))
		w.scheduleArrival(from)
	})
}

func (w *world) newRandom() *rand.Rand {
	random := w.queue.Random()
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// jitter returns a random time between 3/4 and 5/4 of mean.
func (w *world) jitter(mean time.Duration) time.Duration {
	return mean*3/4 + time.Duration(w.queue.Random().Int64N(int64(mean/2+1)))
}
