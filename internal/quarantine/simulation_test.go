package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// The fleet of fakes: nodes with a ledger each, workers that end by themselves or under a
// harmful request, and callers that send again what was lost. Time is virtual.

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || (q[a].at == q[b].at && q[a].order < q[b].order)
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulationConfig says what is played.
type simulationConfig struct {
	seed uint64
	// nodes, workers and rate, in requests a second, are the size.
	nodes, workers int
	rate           float64
	// harmful is the number of harmful requests, each of which comes again and again.
	harmful int
	// crashInterval is the mean time between two crashInterval of single workers, rackCrashInterval between two of
	// a quarter of them; 0 means none.
	crashInterval, rackCrashInterval time.Duration
	// fullCrashInterval is the mean time between two ends of fullCrashInterval workers at once.
	fullCrashInterval time.Duration
	// hotFraction is the part of the requests that have one of three bodies.
	hotFraction float64
	// lossFraction is the part of the messages between nodes that don't arrive.
	lossFraction float64
	// options set the ledgers up.
	options Options
	// owners, if not 0, has nodes tell only so many others of an end, chosen by the
	// fingerprint, who tell all once a request is held.
	owners int
	// withoutForwarding has a node that holds a request by what it was told not tell all of it.
	withoutForwarding bool
}

// simulation plays one day.
type simulation struct {
	simulationConfig
	random     *rand.Rand
	now        time.Duration
	queue      eventQueue
	scheduled  int
	trackers   []*Tracker
	up         []bool
	runNumbers []int
	running    [][]*simulatedRun

	outcome simulationOutcome
	// thirdCrashAt holds, by harmful body, when the third worker ended under it.
	thirdCrashAt  map[string]time.Duration
	harmfulCounts map[string]int
}

// simulatedRun is one request at a worker.
type simulatedRun struct {
	body  string
	node  int
	tries int
}

// simulationOutcome is what a day came to.
type simulationOutcome struct {
	harmless, refused       int
	crashes, harmfulCrashes int
	lateArrivals            int
	// lateArrivals counts the harmful requests that reached workers later than three seconds
	// after the third end, maxLateArrivals those of one body.
	maxLateArrivals, messages int
}

func simulate(day simulationConfig) simulationOutcome {
	f := &simulation{
		simulationConfig: day, random: rand.New(rand.NewPCG(day.seed, 1)),
		thirdCrashAt: make(map[string]time.Duration), harmfulCounts: make(map[string]int),
	}
	for range day.nodes {
		f.trackers = append(f.trackers, NewTracker(day.options))
	}
	for range day.workers {
		f.up = append(f.up, true)
		f.runNumbers = append(f.runNumbers, 0)
		f.running = append(f.running, nil)
	}
	f.arrive(0)
	for number := range day.harmful {
		f.arriveHarmful(fmt.Sprint("harmful-", number))
	}
	f.scheduleCrashes(day.crashInterval, 1)
	f.scheduleCrashes(day.rackCrashInterval, max(day.workers/4, 1))
	f.scheduleCrashes(day.fullCrashInterval, day.workers)
	const dayLength = 60 * time.Second
	for f.queue.Len() > 0 && f.now < dayLength {
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		next.run()
	}
	return f.outcome
}

func (f *simulation) schedule(delay time.Duration, run func()) {
	f.scheduled++
	heap.Push(&f.queue, event{at: f.now + delay, order: f.scheduled, run: run})
}

// exponential returns a random time with a mean.
func (f *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(f.random.ExpFloat64() * float64(mean))
}

// arrive has harmless requests come.
func (f *simulation) arrive(number int) {
	body := fmt.Sprint("harmless-", number)
	if f.random.Float64() < f.hotFraction {
		body = fmt.Sprint("hot-", f.random.IntN(3))
	}
	f.outcome.harmless++
	f.send(&simulatedRun{body: body, node: f.random.IntN(f.nodes)})
	f.schedule(f.exponential(time.Duration(float64(time.Second)/f.rate)), func() { f.arrive(number + 1) })
}

// arriveHarmful has a harmful request come again and again, at any node.
func (f *simulation) arriveHarmful(body string) {
	f.schedule(f.exponential(1500*time.Millisecond), func() {
		f.send(&simulatedRun{body: body, node: f.random.IntN(f.nodes)})
		f.arriveHarmful(body)
	})
}

func isHarmful(body string) bool { return len(body) > 7 && body[:7] == "harmful" }

func fingerprintOf(body string) Fingerprint {
	subject := RequestIdentity{Body: []byte(body)}
	return subject.Fingerprint()
}

// send places a request at a worker that is up, unless it is held.
func (f *simulation) send(run *simulatedRun) {
	if f.trackers[run.node].Check(f.now, fingerprintOf(run.body)).Quarantined {
		if !isHarmful(run.body) {
			f.outcome.refused++
		}
		return
	}
	worker := f.random.IntN(f.workers)
	if !f.up[worker] {
		return
	}
	f.running[worker] = append(f.running[worker], run)
	if !isHarmful(run.body) {
		f.schedule(f.exponential(400*time.Millisecond), func() { f.answer(worker, run) })
		return
	}
	if third, ended := f.thirdCrashAt[run.body]; ended && f.now > third+3*time.Second {
		f.outcome.lateArrivals++
		f.harmfulCounts["late "+run.body]++
		f.outcome.maxLateArrivals = max(f.outcome.maxLateArrivals, f.harmfulCounts["late "+run.body])
	}
	name := f.runNumbers[worker]
	f.schedule(30*time.Millisecond+f.exponential(80*time.Millisecond), func() {
		if f.runNumbers[worker] == name && f.up[worker] {
			f.countHarmfulCrash(run.body)
			f.crash(worker)
		}
	})
}

// countHarmfulCrash counts the workers that ended under a harmful request.
func (f *simulation) countHarmfulCrash(body string) {
	f.outcome.harmfulCrashes++
	f.harmfulCounts[body]++
	if f.harmfulCounts[body] == 3 {
		f.thirdCrashAt[body] = f.now
	}
}

// answer ends a run well if its worker is still there.
func (f *simulation) answer(worker int, run *simulatedRun) {
	at := slices.Index(f.running[worker], run)
	if at < 0 {
		return
	}
	f.running[worker] = slices.Delete(f.running[worker], at, at+1)
	fingerprint := fingerprintOf(run.body)
	if f.trackers[run.node].ObserveAnswer(f.now, fingerprint) {
		f.notifyPeers(run.node, fingerprint)
	}
}

// scheduleCrashes has workers end by themselves.
func (f *simulation) scheduleCrashes(every time.Duration, count int) {
	if every <= 0 {
		return
	}
	f.schedule(f.exponential(every), func() {
		first := f.random.IntN(f.workers)
		for offset := range count {
			f.crash((first + offset) % f.workers)
		}
		f.scheduleCrashes(every, count)
	})
}

// crash ends a worker with all that runs there. Another one takes its place after seconds.
// Of the callers that lost a run, half send it again, a third of these at once.
func (f *simulation) crash(worker int) {
	if !f.up[worker] {
		return
	}
	f.outcome.crashes++
	f.up[worker] = false
	lost := f.running[worker]
	f.running[worker] = nil
	name := fleet.EngineID(fmt.Sprintf("w%d-%d", worker, f.runNumbers[worker]))
	f.runNumbers[worker]++
	for _, run := range lost {
		f.schedule(50*time.Millisecond, func() {
			fingerprint := fingerprintOf(run.body)
			if f.trackers[run.node].ObserveCrash(f.now, fingerprint, name) {
				f.notifyPeers(run.node, fingerprint)
			}
		})
		if run.tries < 3 && !isHarmful(run.body) && f.random.Float64() < 0.5 {
			again := &simulatedRun{body: run.body, node: f.random.IntN(f.nodes), tries: run.tries + 1}
			f.schedule(time.Duration(f.random.IntN(3))*300*time.Millisecond, func() { f.send(again) })
		}
	}
	f.schedule(time.Second+f.exponential(2*time.Second), func() { f.up[worker] = true })
}

// notifyPeers tells the other nodes of a request.
func (f *simulation) notifyPeers(from int, fingerprint Fingerprint) {
	record, _ := f.trackers[from].Record(fingerprint)
	for to := range f.nodes {
		chosen := f.owners == 0 || (to+int(fingerprint[0]))%f.nodes < f.owners || f.trackers[from].Check(f.now, fingerprint).Quarantined
		if to == from || !chosen {
			continue
		}
		f.outcome.messages++
		if f.random.Float64() < f.lossFraction {
			continue
		}
		sent := f.now
		f.schedule(time.Duration(5+f.random.IntN(60))*time.Millisecond, func() { f.receive(to, &record, f.now-sent) })
	}
}

// receive takes a record in at a node. Its ages are those at the sender.
func (f *simulation) receive(to int, told *Record, delay time.Duration) {
	received := told.clone()
	for index := range received.Crashes {
		received.Crashes[index].At += delay
	}
	received.AnsweredAt += delay
	held := f.trackers[to].Check(f.now, told.Fingerprint).Quarantined
	f.trackers[to].Merge(&received)
	heldNow := !held && f.trackers[to].Check(f.now, told.Fingerprint).Quarantined
	if f.trackers[to].IsAheadOf(&received) || (heldNow && !f.withoutForwarding) {
		f.notifyPeers(to, told.Fingerprint)
	}
}

// defaultConfig is a fleet with crashes, racks that fail and hot keys.
func defaultConfig(seed uint64) simulationConfig {
	return simulationConfig{
		seed: seed, nodes: 7, workers: 18, rate: 100, harmful: 3,
		crashInterval: 1500 * time.Millisecond, rackCrashInterval: 10 * time.Second, hotFraction: 0.1, lossFraction: 0.02,
	}
}

// simulateAll sums a day's outcome over seeds.
func simulateAll(seeds uint64, change func(*simulationConfig)) simulationOutcome {
	var sum simulationOutcome
	for seed := range seeds {
		day := defaultConfig(seed)
		change(&day)
		outcome := simulate(day)
		sum.harmless += outcome.harmless
		sum.refused += outcome.refused
		sum.crashes += outcome.crashes
		sum.harmfulCrashes += outcome.harmfulCrashes
		sum.lateArrivals += outcome.lateArrivals
		sum.maxLateArrivals = max(sum.maxLateArrivals, outcome.maxLateArrivals)
		sum.messages += outcome.messages
	}
	return sum
}

// smallService has few workers, of which all end at once at times, and most requests alike:
// whenever none is left nothing is answered, and popular requests are under way at all.
func smallService(day *simulationConfig) {
	day.workers, day.rate, day.hotFraction = 4, 40, 0.5
	day.crashInterval, day.rackCrashInterval = 4*time.Second, 0
	day.fullCrashInterval = 8 * time.Second
}

// TestWaysToHold weighs what decides: the threshold, whether whole answers speak for a request,
// and who is told of an end. Figures for the page on the design are those of 20 seeds.
func TestWaysToHold(t *testing.T) {
	const seeds = 8
	outcomes := make(map[string]simulationOutcome)
	for _, way := range []struct {
		name   string
		change func(*simulationConfig)
	}{
		{"nothing is held", func(d *simulationConfig) { d.options.Threshold = 1000 }},
		{"threshold 2", func(d *simulationConfig) { d.options.Threshold = 2 }},
		{"threshold 3", func(*simulationConfig) {}},
		{"threshold 4", func(d *simulationConfig) { d.options.Threshold = 4 }},
		{"3, a fifth of the messages lost", func(d *simulationConfig) { d.lossFraction = 0.2 }},
		{"3, a fifth lost, held ones not told on", func(d *simulationConfig) { d.lossFraction, d.withoutForwarding = 0.2, true }},
		{"3, two owners told", func(d *simulationConfig) { d.owners = 2 }},
		{"3, two owners told, a fifth lost", func(d *simulationConfig) { d.owners, d.lossFraction = 2, 0.2 }},
		{"3, 40 nodes", func(d *simulationConfig) { d.nodes, d.workers, d.rate = 40, 100, 600 }},
		{"3, 40 nodes, two owners told", func(d *simulationConfig) { d.nodes, d.workers, d.rate, d.owners = 40, 100, 600, 2 }},
		{"small service", smallService},
		{"small service, answers say nothing", func(d *simulationConfig) { smallService(d); d.options.GracePeriod = 1 }},
		{"small service, answers speak 3 s", func(d *simulationConfig) { smallService(d); d.options.GracePeriod = 3 * time.Second }},
		{"small service, answers speak 30 s", func(d *simulationConfig) { smallService(d); d.options.GracePeriod = 30 * time.Second }},
		{"small service, two owners told", func(d *simulationConfig) { smallService(d); d.owners = 2 }},
	} {
		outcomes[way.name] = simulateAll(seeds, way.change)
		t.Logf("%-38s %+v", way.name, outcomes[way.name])
	}
	assert.Greater(t, outcomes["nothing is held"].maxLateArrivals, 10, "the fakes show the fault")
	for name, refusedPart := range map[string]float64{
		"threshold 3": 1e-4, "3, a fifth of the messages lost": 1e-4, "3, 40 nodes": 1e-4, "small service": 0.03,
	} {
		outcome := outcomes[name]
		assert.LessOrEqual(t, outcome.maxLateArrivals, 3, name)
		assert.LessOrEqual(t, float64(outcome.refused), refusedPart*float64(outcome.harmless), name)
	}
}
