package backends

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// Parameters of the replay's engines: those of the deployment whose load it replays.
const (
	replayChunk    = 2048
	replayTokensMs = 61.4
	replayStep     = 4550 * time.Microsecond
	replaySlotStep = 181 * time.Microsecond
	replayHeld     = 9 // shared parts of reviews that fit into an engine's memory
	replaySlots    = 12
	replayTick     = time.Millisecond
	replayReports  = 300 * time.Millisecond
	announcedFrom  = 2000 // uncached tokens from which on a placement is announced to peers
)

// replayKind is a kind of request. burst multiplies its rate from burstAt to burstEnd.
type replayKind struct {
	perSecond, burst       float64
	burstAt, burstEnd      time.Duration
	priority, things       int
	shared, own, output    int
	target, deadline       time.Duration
	arrived, inTime        int
	late, refused, expired int
}

func (k *replayKind) rate(now time.Duration) float64 {
	if now >= k.burstAt && now < k.burstEnd {
		return k.perSecond * k.burst
	}
	return k.perSecond
}

// replayRequest is a request; uncached and output are the tokens that are left to do.
type replayRequest struct {
	kind               *replayKind
	tenant             int
	prefix             string
	arrivedAt, firstAt time.Duration
	returned           bool
	placement          *Placement
	uncached, output   int
}

func byPriority(a, b *replayRequest) int { return cmp.Compare(a.kind.priority, b.kind.priority) }

// overloadEngine runs a batch of requests. More urgent requests displace the least urgent ones.
type overloadEngine struct {
	worker           Worker
	speed            float64
	waiting, running []*replayRequest
	held             map[string]time.Duration
	stepEnd          time.Duration
	dark             bool
}

func (e *overloadEngine) admit() {
	slices.SortStableFunc(e.waiting, byPriority)
	for len(e.waiting) > 0 {
		next := e.waiting[0]
		if len(e.running) >= replaySlots {
			displaced := slices.MaxFunc(e.running, byPriority)
			if byPriority(displaced, next) <= 0 {
				return
			}
			e.running = without(e.running, displaced)
			e.waiting = append(e.waiting, displaced)
		}
		e.waiting, e.running = without(e.waiting, next), append(e.running, next)
		if _, held := e.held[next.prefix]; held {
			next.uncached = min(next.uncached, next.kind.own)
		}
	}
}

func without(list []*replayRequest, request *replayRequest) []*replayRequest {
	return slices.DeleteFunc(list, func(other *replayRequest) bool { return other == request })
}

// step computes a chunk of prompts, and a token of each stream that is past its prompt.
func (e *overloadEngine) step(now time.Duration, holds func(*replayRequest), done func(*replayRequest)) {
	e.admit()
	left := replayChunk
	for _, request := range slices.Clone(e.running) {
		if request.uncached > 0 {
			computed := min(left, request.uncached)
			request.uncached, left = request.uncached-computed, left-computed
			if request.uncached == 0 {
				holds(request)
			}
			continue
		}
		if request.firstAt == 0 {
			request.firstAt = now
			request.placement.FirstByte(now)
		}
		if request.output--; request.output == 0 {
			e.running = without(e.running, request)
			done(request)
		}
	}
	prefill := time.Duration(float64(replayChunk-left) / replayTokensMs * float64(time.Millisecond))
	e.stepEnd = now + time.Duration(e.speed*float64(replayStep+time.Duration(len(e.running))*replaySlotStep+prefill))
}

// overloadReplay is a quarter of the fleet under a quarter of the load: 4 nodes before 22 engines.
type overloadReplay struct {
	random   *rand.Rand
	now, end time.Duration
	nodes    []*Registry
	engines  map[fleet.EngineID]*overloadEngine
	kinds    []*replayKind
	// weights are the tenants' parts of the load, and nodeOf the node to which a request comes.
	weights []float64
	nodeOf  func(tenant int) int
	// flooding tenants send flood times their usual from floodAt to floodEnd.
	flooding          []int
	flood             float64
	floodAt, floodEnd time.Duration
	// darkEngines are dark from darkAt on.
	darkEngines int
	darkAt      time.Duration
	// controlsOverload is set if requests carry their caller's deadline, which switches on overload
	// control.
	controlsOverload bool
	returning        map[time.Duration][]*replayRequest
	// engineTime is what tenants' requests took from measureAt on.
	engineTime []time.Duration
	measureAt  time.Duration
	// restartAt is when all nodes restart and lose what they knew.
	restartAt time.Duration
}

func newOverloadReplay(seed uint64, nodes int, controlsOverload bool) *overloadReplay {
	r := &overloadReplay{
		random: rand.New(rand.NewPCG(seed, 1)), end: 25 * time.Second, controlsOverload: controlsOverload, flood: 1,
		engines: make(map[fleet.EngineID]*overloadEngine), returning: make(map[time.Duration][]*replayRequest),
		kinds: []*replayKind{
			{perSecond: 218, burst: 1.7, burstAt: 14 * time.Second, burstEnd: 17500 * time.Millisecond, priority: 3, things: 900,
				shared: 55, own: 330, output: 45, target: 500 * time.Millisecond, deadline: 4 * time.Second},
			{perSecond: 18.5, burst: 2.5, burstAt: 2500 * time.Millisecond, burstEnd: 7800 * time.Millisecond, priority: 5, things: 132,
				shared: 13_300, own: 3720, output: 120, target: 1500 * time.Millisecond, deadline: 8 * time.Second},
		},
	}
	for tenant := range 16 {
		r.weights = append(r.weights, math.Pow(float64(tenant+1), -1.2))
	}
	r.engineTime = make([]time.Duration, len(r.weights))
	r.nodeOf = func(int) int { return r.random.IntN(len(r.nodes)) }
	for number := range 22 {
		worker := engineWorker(number, 1)
		worker.Slots = replaySlots
		r.engines[worker.ID] = &overloadEngine{worker: worker, speed: []float64{1, 1, 1.3}[number%3], held: make(map[string]time.Duration)}
	}
	for number := range nodes {
		r.nodes = append(r.nodes, r.newNode(number))
	}
	return r
}

func (r *overloadReplay) newNode(number int) *Registry {
	node := New(Options{
		Zone: "a", Random: rand.New(rand.NewPCG(uint64(number), 2)), Scheduling: scheduling.DefaultOptions(),
		PrefillPerToken: 16 * time.Microsecond,
	})
	for index, id := range r.engineIDs() {
		node.Observe(fleet.Revision(index+1), r.engines[id].worker)
	}
	return node
}

func (r *overloadReplay) engineIDs() []fleet.EngineID { return slices.Sorted(maps.Keys(r.engines)) }

func (r *overloadReplay) run() *overloadReplay {
	ids := r.engineIDs()
	for r.now = replayTick; r.now < r.end; r.now += replayTick {
		if r.now == r.darkAt {
			r.darken(ids[:r.darkEngines])
		}
		if r.now == r.restartAt {
			for number := range r.nodes {
				r.nodes[number] = r.newNode(number)
			}
		}
		for _, kind := range r.kinds {
			r.arrive(kind)
		}
		for _, request := range r.returning[r.now] {
			r.place(request)
		}
		delete(r.returning, r.now)
		for _, id := range ids {
			engine := r.engines[id]
			if !engine.dark && r.now >= engine.stepEnd && len(engine.running)+len(engine.waiting) > 0 {
				engine.step(r.now, func(request *replayRequest) { r.hold(engine, request) }, r.complete)
			}
		}
		if r.now%replayReports == 0 {
			r.exchange()
		}
		r.expire()
	}
	return r
}

func (r *overloadReplay) darken(ids []fleet.EngineID) {
	for _, id := range ids {
		r.engines[id].dark = true
		for _, node := range r.nodes {
			node.Cordon(id, r.end)
		}
	}
}

func (r *overloadReplay) arrive(kind *replayKind) {
	total := 0.0
	for _, weight := range r.weights {
		total += weight
	}
	for tenant, weight := range r.weights {
		rate := kind.rate(r.now) * weight / total
		if slices.Contains(r.flooding, tenant) && r.now >= r.floodAt && r.now < r.floodEnd {
			rate *= r.flood
		}
		for chance := rate * replayTick.Seconds(); r.random.Float64() < chance; chance-- {
			kind.arrived++
			r.place(&replayRequest{kind: kind, tenant: tenant, arrivedAt: r.now, prefix: fmt.Sprint(kind.priority, r.random.IntN(kind.things))})
		}
	}
}

// place lets a node choose an engine. A refused caller returns once, when it was told to.
func (r *overloadReplay) place(request *replayRequest) {
	kind, number := request.kind, r.nodeOf(request.tenant)
	engine := &EngineRequest{
		Model: testModel, Tenant: fleet.TenantName(fmt.Sprint("t", request.tenant)), PromptTokens: kind.shared + kind.own, OutputTokens: kind.output,
		TokenBytes: 35_136, LinkMegabits: 180_000, Parts: []Part{{request.prefix, kind.shared}, {fmt.Sprint(r.random.Int()), kind.own}},
		Priority: kind.priority, EventTokens: 6, Target: kind.target, TimeLeft: kind.target, MayRefuse: true,
	}
	if r.controlsOverload {
		engine.Deadline = request.arrivedAt + kind.deadline - r.now
	}
	placement, refusal := r.nodes[number].Choose(r.now, &Request{Service: "engines", Engine: engine})
	if placement == nil {
		due := (r.now + max(refusal.RetryAfter, 100*time.Millisecond)).Truncate(replayTick)
		if request.returned || due > request.arrivedAt+kind.deadline {
			kind.refused++
			return
		}
		request.returned = true
		r.returning[due] = append(r.returning[due], request)
		return
	}
	request.placement, request.uncached, request.output = placement, kind.shared+kind.own-placement.Engine.ImportedTokens, kind.output
	if r.now >= r.measureAt {
		r.engineTime[request.tenant] += r.nodes[number].workOf("engines", engine, placement.UncachedTokens())
	}
	target := r.engines[placement.Worker.ID]
	target.waiting = append(target.waiting, request)
	if placement.UncachedTokens() >= announcedFrom {
		r.announce(number, placement.Worker.ID)
	}
}

func (r *overloadReplay) complete(request *replayRequest) {
	request.placement.End(r.now, Succeeded)
	if request.firstAt-request.arrivedAt <= request.kind.target {
		request.kind.inTime++
	} else {
		request.kind.late++
	}
}

// hold keeps a review's shared part in an engine's memory, instead of the one unused for longest, and
// tells all nodes.
func (r *overloadReplay) hold(engine *overloadEngine, request *replayRequest) {
	if request.kind.shared < 1000 {
		return
	}
	engine.held[request.prefix] = r.now
	parts := slices.SortedFunc(maps.Keys(engine.held), func(a, b string) int {
		return cmp.Or(cmp.Compare(engine.held[b], engine.held[a]), cmp.Compare(a, b))
	})
	var changes []PartChange
	for index, part := range parts {
		if index >= replayHeld {
			delete(engine.held, part)
			continue
		}
		changes = append(changes, PartChange{Stored: true, Scope: Scope(testModel, 1, "", false), Part: part})
	}
	for _, node := range r.nodes {
		node.ObserveCache(engine.worker.Run(), true, changes)
	}
}

// expire ends the requests whose callers' deadlines have passed.
func (r *overloadReplay) expire() {
	for _, engine := range r.engines {
		for _, request := range slices.Concat(engine.waiting, engine.running) {
			if r.now > request.arrivedAt+request.kind.deadline {
				engine.waiting, engine.running = without(engine.waiting, request), without(engine.running, request)
				request.placement.End(r.now, Cancelled)
				request.kind.expired++
			}
		}
	}
}

func nodeID(number int) fleet.NodeID { return fleet.NodeID(fmt.Sprint("n", number)) }

func (r *overloadReplay) exchange() {
	for number, node := range r.nodes {
		for other, peer := range r.nodes {
			if other != number {
				peer.SetPeerCount(len(r.nodes) - 1)
				peer.ObservePeer(r.now, nodeID(number), PeerReport{Loads: node.OwnLoad(), Work: node.OwnWork(r.now), TenantWork: node.OwnTenantWork(r.now)})
			}
		}
	}
}

func (r *overloadReplay) announce(number int, id fleet.EngineID) {
	for _, load := range r.nodes[number].OwnLoad() {
		for other, peer := range r.nodes {
			if load.Engine == id && other != number {
				peer.UpdatePeerLoads(nodeID(number), []Load{load})
			}
		}
	}
}
