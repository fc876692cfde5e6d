package backends

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// Load of the replay: engines of three speeds, long prompts with a shared part and short ones, and
// a demand that swings by zone.
const (
	replayEngines  = 57
	replayZones    = 3
	replayPrefixes = 404
	replayTarget   = 600 * time.Millisecond
	replayLength   = 25 * time.Second
	longRate       = 72.2
	shortRate      = 629
	cacheTokens    = 142_440
)

var replaySpeeds = [...]float64{0.6, 1, 1.6}

// replayEvent is something that happens at a time of the replay.
type replayEvent struct {
	at  time.Duration
	run func()
}

type replayEvents []replayEvent

func (e replayEvents) Len() int           { return len(e) }
func (e replayEvents) Less(a, b int) bool { return e[a].at < e[b].at }
func (e replayEvents) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *replayEvents) Push(event any)    { *e = append(*e, event.(replayEvent)) }
func (e *replayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replayEngine computes prompts one after the other.
type replayEngine struct {
	speed  float64
	freeAt time.Duration
	busy   time.Duration
	dark   bool
	cached []string
	held   int
}

// replay is a fleet of nodes and engines without a network.
type replay struct {
	now      time.Duration
	events   replayEvents
	random   *rand.Rand
	nodes    []*Registry
	engines  []*replayEngine
	prefixes []int
	requests int
	// unaware leaves out all that the nodes learn of speeds.
	unaware bool
	// Figures of long prompts: all, late, served from a cache, and, from measuredFrom on, those with
	// a first token and those of them predicted within 20%.
	long, late, hits, measured, predicted int
	measuredFrom                          time.Duration
}

func newReplay(nodes int, seed uint64) *replay {
	r := &replay{random: rand.New(rand.NewPCG(seed, uint64(nodes))), measuredFrom: 3 * time.Second}
	for number := range replayEngines {
		r.engines = append(r.engines, &replayEngine{speed: replaySpeeds[number/replayZones%len(replaySpeeds)]})
	}
	for range replayPrefixes {
		r.prefixes = append(r.prefixes, r.size(13_300, 0.7, 39_900))
	}
	for number := range nodes {
		r.addNode(number)
	}
	return r
}

func (r *replay) addNode(number int) {
	r.nodes = append(r.nodes, r.newNode(number))
	for round := range int(replayLength / (600 * time.Millisecond)) {
		at := time.Duration(round)*600*time.Millisecond + time.Duration(number*7%600)*time.Millisecond
		if at >= r.now {
			r.schedule(at, func() { r.exchange(number, round) })
		}
	}
}

// newNode returns a node without any measurements.
func (r *replay) newNode(number int) *Registry {
	options := Options{Zone: replayZone(number), Random: rand.New(rand.NewPCG(1, uint64(number))), Scheduling: scheduling.DefaultOptions()}
	options.Scheduling.TieFraction, options.Scheduling.ImportWeight = 0.02, 45*time.Microsecond
	registry := New(options)
	for index := range r.engines {
		registry.Observe(1, replayWorker(index))
		registry.ObserveCache(replayRun(index), true, nil)
	}
	registry.SetMemoryCapacity("engines", cacheTokens)
	return registry
}

func replayZone(number int) fleet.ZoneName {
	return fleet.ZoneName(fmt.Sprint("z", number%replayZones))
}

func replayWorker(number int) Worker {
	worker := engineWorker(number, 1)
	worker.Slots, worker.Zone = 12, replayZone(number)
	return worker
}

func replayRun(number int) fleet.EngineRun { return fleet.EngineRun{Engine: replayWorker(number).ID} }

func (r *replay) schedule(at time.Duration, run func()) { heap.Push(&r.events, replayEvent{at, run}) }

// size draws a number of tokens from a log-normal distribution.
func (r *replay) size(mean, spread float64, most int) int {
	return min(max(int(mean*math.Exp(spread*r.random.NormFloat64()-spread*spread/2)), 1), most)
}

// peersOf returns up to a dozen other nodes in rotation.
func (r *replay) peersOf(node, round int) (peers []int) {
	for offset := range min(len(r.nodes)-1, 12) {
		peers = append(peers, (node+1+(round*12+offset)%(len(r.nodes)-1))%len(r.nodes))
	}
	return peers
}

// exchange passes reports between a node and some peers.
func (r *replay) exchange(node, round int) {
	r.nodes[node].SetPeerCount(len(r.nodes) - 1)
	if !r.unaware {
		r.nodes[node].RefreshSpeeds(r.now)
	}
	for _, peer := range r.peersOf(node, round) {
		r.report(node, peer)
		r.report(peer, node)
	}
}

func (r *replay) report(from, to int) {
	name := fleet.NodeID(fmt.Sprint(from))
	r.nodes[to].ObservePeer(r.now, name, PeerReport{Loads: r.nodes[from].OwnLoad(), Work: r.nodes[from].OwnWork(r.now)})
	r.nodes[to].ObserveSpeeds(r.now, name, r.nodes[from].OwnSpeeds(r.now, fleet.NodeID(fmt.Sprint(to))))
}

// announce passes a load to peers, as the gateway does after a long placement.
func (r *replay) announce(node int, engine fleet.EngineID) {
	for _, load := range r.nodes[node].OwnLoad() {
		for _, peer := range r.peersOf(node, r.requests) {
			if load.Engine == engine {
				r.nodes[peer].UpdatePeerLoads(fleet.NodeID(fmt.Sprint(node)), []Load{load})
			}
		}
	}
}

// arrivals schedules the requests of a zone at a rate that swings by half in 13 s.
func (r *replay) arrivals(zone int, rate float64, long bool) {
	at := time.Duration(0)
	for at < replayLength {
		swing := 1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/13+0.1+0.08*float64(zone)))
		at += time.Duration(r.random.ExpFloat64() / (rate / replayZones * swing) * float64(time.Second))
		r.schedule(at, func() { r.arrive(zone, long) })
	}
}

func (r *replay) arrive(zone int, long bool) {
	r.requests++
	node := r.random.IntN((len(r.nodes)+replayZones-1-zone)/replayZones)*replayZones + zone
	own := Part{fmt.Sprint("own-", r.requests), r.size(291, 1.4, 1830)}
	parts, target := []Part{{"common", 92}, own}, replayTarget
	if long {
		// The square of a uniform number prefers some prefixes moderately.
		prefix := int(float64(replayPrefixes) * math.Pow(r.random.Float64(), 1.4))
		own.Tokens = r.size(3720, 1.1, 53_200)
		parts = []Part{{fmt.Sprint("prefix-", prefix), r.prefixes[prefix]}, own}
		r.long++
	}
	request := &Request{Service: "engines", Engine: &EngineRequest{
		Model: testModel, Tenant: "t", Parts: parts, PromptTokens: parts[0].Tokens + own.Tokens, TimeLeft: target, Target: target,
		MayRefuse: true, OutputTokens: 15, EventTokens: 8, TokenBytes: 327_680, LinkMegabits: 1_100_000, Priority: len(parts[0].ID) % 2,
	}}
	r.send(node, request, long, 0)
}

// send places a request and runs it. Requests to dark engines fail and are sent once more.
func (r *replay) send(node int, request *Request, long bool, waited time.Duration) {
	registry := r.nodes[node]
	placement, _ := registry.Choose(r.now, request)
	if placement == nil {
		r.finishLong(long, replayTarget+1, 0, false)
		return
	}
	number := 0
	_, err := fmt.Sscanf(string(placement.Worker.ID), "e%d", &number)
	if err != nil {
		panic(err)
	}
	if r.engines[number].dark {
		r.schedule(r.now+5*time.Millisecond, func() {
			placement.End(r.now, Unreachable)
			request.Excluded = append(request.Excluded, placement.Worker.Run())
			if len(request.Excluded) < 3 {
				r.send(node, request, long, waited+5*time.Millisecond)
			} else {
				r.finishLong(long, replayTarget+1, 0, false)
			}
		})
		return
	}
	if placement.UncachedTokens() >= 1500 {
		r.schedule(r.now+5*time.Millisecond, func() { r.announce(node, placement.Worker.ID) })
	}
	elapsed, hit := r.serve(number, request.Engine, placement, long)
	r.schedule(r.now+elapsed, func() {
		placement.FirstByte(r.now)
		r.finishLong(long, waited+elapsed, placement.Engine.Predicted, hit)
	})
	r.schedule(r.now+elapsed+100*time.Millisecond, func() { placement.End(r.now, Succeeded) })
}

func (r *replay) finishLong(long bool, elapsed, predicted time.Duration, hit bool) {
	if !long {
		return
	}
	if elapsed > replayTarget {
		r.late++
	}
	if hit {
		r.hits++
	}
	if r.now > r.measuredFrom && predicted > 0 {
		r.measured++
		if math.Abs(float64(predicted)/float64(elapsed)-1) <= 0.2 {
			r.predicted++
		}
	}
}

// serve returns the time to the first token at an engine, and whether its cache held the prefix.
func (r *replay) serve(number int, request *EngineRequest, placement *Placement, long bool) (elapsed time.Duration, hit bool) {
	engine, uncached := r.engines[number], request.PromptTokens-92
	if long {
		hit = r.touch(number, request)
		uncached = request.PromptTokens
		if hit || placement.Engine.ImportedTokens > 0 {
			uncached = request.Parts[1].Tokens
		}
	}
	pairs := float64(uncached) * (float64(request.PromptTokens) - float64(uncached)/2) / 1e6
	work := float64(uncached)/63.9 + pairs*0.367 + float64(uncached/1024+1)*3.7
	start := max(r.now, engine.freeAt)
	if !long {
		start = min(start, r.now+10*time.Millisecond)
	}
	end := r.endOf(number, start, work)
	engine.busy += end - start
	engine.freeAt = max(engine.freeAt, r.now) + end - max(start, r.now)
	transfer := time.Duration(placement.Engine.ImportedTokens) * 5 * time.Microsecond
	return end - r.now + transfer + 2*time.Millisecond, hit
}

// endOf returns when an engine has done work in milliseconds at speed 1. In 0.15 of the time, it
// takes 2.5 times as long.
func (r *replay) endOf(number int, start time.Duration, work float64) time.Duration {
	const window = 600 * time.Millisecond
	for at := start; ; {
		rate := r.engines[number].speed
		if hashName(fmt.Sprint(number, at/window))%100 < 15 {
			rate /= 2.5
		}
		next := (at/window + 1) * window
		done := float64(next-at) / float64(time.Millisecond) * rate
		if done >= work {
			return at + time.Duration(work/rate*float64(time.Millisecond))
		}
		work -= done
		at = next
	}
}

// touch looks up a prefix at an engine, stores it there, and tells the nodes later.
func (r *replay) touch(number int, request *EngineRequest) (hit bool) {
	engine, scope := r.engines[number], Scope(testModel, 1, "t", false)
	var kept []string
	for _, prefix := range engine.cached {
		if prefix == request.Parts[0].ID {
			hit = true
		} else {
			kept = append(kept, prefix)
		}
	}
	engine.cached = append(kept, request.Parts[0].ID)
	var changes []PartChange
	if !hit {
		engine.held += request.Parts[0].Tokens
		changes = append(changes, PartChange{true, scope, request.Parts[0].ID})
	}
	for engine.held > cacheTokens*3/4 {
		oldest, index := engine.cached[0], 0
		_, err := fmt.Sscanf(oldest, "prefix-%d", &index)
		if err != nil {
			panic(err)
		}
		engine.cached, engine.held = engine.cached[1:], engine.held-r.prefixes[index]
		changes = append(changes, PartChange{false, scope, oldest})
	}
	r.schedule(r.now+200*time.Millisecond, func() {
		for _, registry := range r.nodes {
			registry.ObserveCache(replayRun(number), false, changes)
		}
	})
	return hit
}

// darken makes a quarter of the engines dark from 2.5 s on for 12 s.
func (r *replay) darken() {
	for number := range r.engines {
		if number%4 != 0 {
			continue
		}
		r.schedule(2500*time.Millisecond, func() {
			r.engines[number].dark, r.engines[number].cached, r.engines[number].held = true, nil, 0
		})
		r.schedule(3500*time.Millisecond, func() {
			for _, registry := range r.nodes {
				registry.ObserveGone(r.now, 2, replayWorker(number).ID)
			}
		})
		r.schedule(14500*time.Millisecond, func() {
			r.engines[number].dark = false
			for _, registry := range r.nodes {
				registry.Observe(3, replayWorker(number))
				registry.ObserveCache(replayRun(number), true, nil)
			}
		})
	}
}

// play runs the replay to its end.
func (r *replay) play() {
	for zone := range replayZones {
		r.arrivals(zone, longRate, true)
		r.arrivals(zone, shortRate, false)
	}
	for len(r.events) > 0 {
		event := heap.Pop(&r.events).(replayEvent)
		r.now = event.at
		event.run()
	}
}

// busiest returns the time that the busiest engine worked, over the mean.
func (r *replay) busiest() float64 {
	most, sum := time.Duration(0), time.Duration(0)
	for _, engine := range r.engines {
		most, sum = max(most, engine.busy), sum+engine.busy
	}
	return float64(most) / float64(sum) * float64(len(r.engines))
}

// logFigures logs the figures of the replay.
func (r *replay) logFigures(t testing.TB, name string) {
	t.Logf("%s: long %d late %.3f hits %.3f busiest %.2f predicted within 20%% %.3f", name, r.long, float64(r.late)/float64(r.long),
		float64(r.hits)/float64(r.long), r.busiest(), float64(r.predicted)/float64(r.measured))
}

// TestKnownSpeedsBringMoreLongPromptsInTime guards against choices and predictions that ignore the
// engines' speeds, while a quarter of the engines is dark. 0.12 of the long prompts may be late.
func TestKnownSpeedsBringMoreLongPromptsInTime(t *testing.T) {
	known, unknown := &replay{}, &replay{}
	for seed := range uint64(3) {
		for _, sum := range []*replay{known, unknown} {
			r := newReplay(6, seed)
			r.unaware = sum == unknown
			r.darken()
			r.play()
			r.logFigures(t, fmt.Sprint("seed ", seed, " unaware ", r.unaware))
			sum.long, sum.late, sum.predicted = sum.long+r.long, sum.late+r.late, sum.predicted+r.predicted
		}
	}
	assert.Less(t, known.late, unknown.late)
	assert.LessOrEqual(t, float64(known.late)/float64(known.long), 0.12)
	assert.Greater(t, known.predicted, unknown.predicted)
}

// agreement returns the share of engines whose speed two nodes know alike within 20%.
func (r *replay) agreement(one, other int) float64 {
	alike := 0
	for number := range r.engines {
		id := replayWorker(number).ID
		if math.Abs(r.nodes[one].workers[id].speed.Prefill/r.nodes[other].workers[id].speed.Prefill-1) <= 0.2 {
			alike++
		}
	}
	return float64(alike) / float64(len(r.engines))
}

// TestJoiningNodeLearnsSpeedsFromPeers guards against a node that starts and predicts by its own
// few measurements.
func TestJoiningNodeLearnsSpeedsFromPeers(t *testing.T) {
	r := newReplay(6, 1)
	r.schedule(15*time.Second, func() { r.addNode(6) })
	r.schedule(17*time.Second, func() { assert.GreaterOrEqual(t, r.agreement(6, 0), 0.8) })
	r.play()
}

// TestSpeedsAreMeasuredAgainAfterARestartOfAll guards against estimates that are lost for good.
func TestSpeedsAreMeasuredAgainAfterARestartOfAll(t *testing.T) {
	r := newReplay(6, 1)
	r.schedule(10*time.Second, func() {
		for number := range r.nodes {
			r.nodes[number] = r.newNode(number)
		}
	})
	r.schedule(13*time.Second, func() {
		for _, registry := range r.nodes {
			assert.True(t, registry.isUneven("engines"))
		}
	})
	r.play()
}

// BenchmarkLongPromptsAtUnevenEngines reports the figures of the replay for several fleets.
func BenchmarkLongPromptsAtUnevenEngines(b *testing.B) {
	for _, nodes := range []int{6, 13, 60} {
		for _, dark := range []bool{false, true} {
			for range b.N {
				r := newReplay(nodes, 7)
				if dark {
					r.darken()
				}
				r.play()
				r.logFigures(b, fmt.Sprintf("%d nodes, engines dark: %v", nodes, dark))
			}
		}
	}
}
