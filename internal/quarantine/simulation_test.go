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

// fakeDay says what is played.
type fakeDay struct {
	seed uint64
	// nodes, workers and rate, in requests a second, are the size.
	nodes, workers int
	rate           float64
	// harmful is the number of harmful requests, each of which comes again and again.
	harmful int
	// crashes is the mean time between two crashes of single workers, racks between two of
	// a quarter of them; 0 means none.
	crashes, racks time.Duration
	// all is the mean time between two ends of all workers at once.
	all time.Duration
	// hot is the part of the requests that have one of three bodies.
	hot float64
	// lost is the part of the messages between nodes that don't arrive.
	lost float64
	// options set the ledgers up.
	options Options
	// owners, if not 0, has nodes tell only so many others of an end, chosen by the
	// fingerprint, who tell all once a request is held.
	owners int
	// quiet has a node that holds a request by what it was told not tell all of it.
	quiet bool
}

// fakeFleet plays one day.
type fakeFleet struct {
	fakeDay
	random  *rand.Rand
	now     time.Duration
	queue   eventQueue
	pushed  int
	ledgers []*Tracker
	up      []bool
	names   []int
	running [][]*fakeRun

	outcome fakeOutcome
	// thirds holds, by harmful body, when the third worker ended under it.
	thirds map[string]time.Duration
	under  map[string]int
}

// fakeRun is one request at a worker.
type fakeRun struct {
	body  string
	node  int
	tries int
}

// fakeOutcome is what a day came to.
type fakeOutcome struct {
	harmless, refused int
	ends, endsUnder   int
	lateArrivals      int
	// lateArrivals counts the harmful requests that reached workers later than three seconds
	// after the third end, mostLate those of one body.
	mostLate, messages int
}

func play(day fakeDay) fakeOutcome {
	f := &fakeFleet{
		fakeDay: day, random: rand.New(rand.NewPCG(day.seed, 1)),
		thirds: make(map[string]time.Duration), under: make(map[string]int),
	}
	for range day.nodes {
		f.ledgers = append(f.ledgers, NewTracker(day.options))
	}
	for range day.workers {
		f.up = append(f.up, true)
		f.names = append(f.names, 0)
		f.running = append(f.running, nil)
	}
	f.arrive(0)
	for number := range day.harmful {
		f.press(fmt.Sprint("harmful-", number))
	}
	f.crashNow(day.crashes, 1)
	f.crashNow(day.racks, max(day.workers/4, 1))
	f.crashNow(day.all, day.workers)
	const dayLength = 60 * time.Second
	for f.queue.Len() > 0 && f.now < dayLength {
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		next.run()
	}
	return f.outcome
}

func (f *fakeFleet) after(delay time.Duration, run func()) {
	f.pushed++
	heap.Push(&f.queue, event{at: f.now + delay, order: f.pushed, run: run})
}

// exponential returns a random time with a mean.
func (f *fakeFleet) exponential(mean time.Duration) time.Duration {
	return time.Duration(f.random.ExpFloat64() * float64(mean))
}

// arrive has harmless requests come.
func (f *fakeFleet) arrive(number int) {
	body := fmt.Sprint("harmless-", number)
	if f.random.Float64() < f.hot {
		body = fmt.Sprint("hot-", f.random.IntN(3))
	}
	f.outcome.harmless++
	f.send(&fakeRun{body: body, node: f.random.IntN(f.nodes)})
	f.after(f.exponential(time.Duration(float64(time.Second)/f.rate)), func() { f.arrive(number + 1) })
}

// press has a harmful request come again and again, at any node.
func (f *fakeFleet) press(body string) {
	f.after(f.exponential(1500*time.Millisecond), func() {
		f.send(&fakeRun{body: body, node: f.random.IntN(f.nodes)})
		f.press(body)
	})
}

func isHarmful(body string) bool { return len(body) > 7 && body[:7] == "harmful" }

func fingerprintOf(body string) Fingerprint {
	subject := RequestIdentity{Body: []byte(body)}
	return subject.Fingerprint()
}

// send places a request at a worker that is up, unless it is held.
func (f *fakeFleet) send(run *fakeRun) {
	if f.ledgers[run.node].Check(f.now, fingerprintOf(run.body)).Quarantined {
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
		f.after(f.exponential(400*time.Millisecond), func() { f.answer(worker, run) })
		return
	}
	if third, ended := f.thirds[run.body]; ended && f.now > third+3*time.Second {
		f.outcome.lateArrivals++
		f.under["late "+run.body]++
		f.outcome.mostLate = max(f.outcome.mostLate, f.under["late "+run.body])
	}
	name := f.names[worker]
	f.after(30*time.Millisecond+f.exponential(80*time.Millisecond), func() {
		if f.names[worker] == name && f.up[worker] {
			f.noteUnder(run.body)
			f.end(worker)
		}
	})
}

// noteUnder counts the workers that ended under a harmful request.
func (f *fakeFleet) noteUnder(body string) {
	f.outcome.endsUnder++
	f.under[body]++
	if f.under[body] == 3 {
		f.thirds[body] = f.now
	}
}

// answer ends a run well if its worker is still there.
func (f *fakeFleet) answer(worker int, run *fakeRun) {
	at := slices.Index(f.running[worker], run)
	if at < 0 {
		return
	}
	f.running[worker] = slices.Delete(f.running[worker], at, at+1)
	fingerprint := fingerprintOf(run.body)
	if f.ledgers[run.node].ObserveAnswer(f.now, fingerprint) {
		f.tell(run.node, fingerprint)
	}
}

// crashNow has workers end by themselves.
func (f *fakeFleet) crashNow(every time.Duration, count int) {
	if every <= 0 {
		return
	}
	f.after(f.exponential(every), func() {
		first := f.random.IntN(f.workers)
		for offset := range count {
			f.end((first + offset) % f.workers)
		}
		f.crashNow(every, count)
	})
}

// end ends a worker with all that runs there. Another one takes its place after seconds.
// Of the callers that lost a run, half send it again, a third of these at once.
func (f *fakeFleet) end(worker int) {
	if !f.up[worker] {
		return
	}
	f.outcome.ends++
	f.up[worker] = false
	lost := f.running[worker]
	f.running[worker] = nil
	name := fleet.EngineID(fmt.Sprintf("w%d-%d", worker, f.names[worker]))
	f.names[worker]++
	for _, run := range lost {
		f.after(50*time.Millisecond, func() {
			fingerprint := fingerprintOf(run.body)
			if f.ledgers[run.node].ObserveCrash(f.now, fingerprint, name) {
				f.tell(run.node, fingerprint)
			}
		})
		if run.tries < 3 && !isHarmful(run.body) && f.random.Float64() < 0.5 {
			again := &fakeRun{body: run.body, node: f.random.IntN(f.nodes), tries: run.tries + 1}
			f.after(time.Duration(f.random.IntN(3))*300*time.Millisecond, func() { f.send(again) })
		}
	}
	f.after(time.Second+f.exponential(2*time.Second), func() { f.up[worker] = true })
}

// tell tells the other nodes of a request.
func (f *fakeFleet) tell(from int, fingerprint Fingerprint) {
	record, _ := f.ledgers[from].Record(fingerprint)
	for to := range f.nodes {
		chosen := f.owners == 0 || (to+int(fingerprint[0]))%f.nodes < f.owners || f.ledgers[from].Check(f.now, fingerprint).Quarantined
		if to == from || !chosen {
			continue
		}
		f.outcome.messages++
		if f.random.Float64() < f.lost {
			continue
		}
		sent := f.now
		f.after(time.Duration(5+f.random.IntN(60))*time.Millisecond, func() { f.take(to, &record, f.now-sent) })
	}
}

// take takes a record in at a node. Its ages are those at the sender.
func (f *fakeFleet) take(to int, told *Record, delay time.Duration) {
	received := told.clone()
	for index := range received.Crashes {
		received.Crashes[index].At += delay
	}
	received.AnsweredAt += delay
	held := f.ledgers[to].Check(f.now, told.Fingerprint).Quarantined
	f.ledgers[to].Merge(&received)
	heldNow := !held && f.ledgers[to].Check(f.now, told.Fingerprint).Quarantined
	if f.ledgers[to].IsAheadOf(&received) || (heldNow && !f.quiet) {
		f.tell(to, told.Fingerprint)
	}
}

// usualDay is a fleet with crashes, racks that fail and hot keys.
func usualDay(seed uint64) fakeDay {
	return fakeDay{
		seed: seed, nodes: 7, workers: 18, rate: 100, harmful: 3,
		crashes: 1500 * time.Millisecond, racks: 10 * time.Second, hot: 0.1, lost: 0.02,
	}
}

// playAll sums a day's outcome over seeds.
func playAll(seeds uint64, change func(*fakeDay)) fakeOutcome {
	var sum fakeOutcome
	for seed := range seeds {
		day := usualDay(seed)
		change(&day)
		outcome := play(day)
		sum.harmless += outcome.harmless
		sum.refused += outcome.refused
		sum.ends += outcome.ends
		sum.endsUnder += outcome.endsUnder
		sum.lateArrivals += outcome.lateArrivals
		sum.mostLate = max(sum.mostLate, outcome.mostLate)
		sum.messages += outcome.messages
	}
	return sum
}

// smallService has few workers, of which all end at once at times, and most requests alike:
// whenever none is left nothing is answered, and popular requests are under way at all.
func smallService(day *fakeDay) {
	day.workers, day.rate, day.hot = 4, 40, 0.5
	day.crashes, day.racks = 4*time.Second, 0
	day.all = 8 * time.Second
}

// TestWaysToHold weighs what decides: the threshold, whether whole answers speak for a request,
// and who is told of an end. Figures for the page on the design are those of 20 seeds.
func TestWaysToHold(t *testing.T) {
	const seeds = 8
	outcomes := make(map[string]fakeOutcome)
	for _, way := range []struct {
		name   string
		change func(*fakeDay)
	}{
		{"nothing is held", func(d *fakeDay) { d.options.Threshold = 1000 }},
		{"threshold 2", func(d *fakeDay) { d.options.Threshold = 2 }},
		{"threshold 3", func(*fakeDay) {}},
		{"threshold 4", func(d *fakeDay) { d.options.Threshold = 4 }},
		{"3, a fifth of the messages lost", func(d *fakeDay) { d.lost = 0.2 }},
		{"3, a fifth lost, held ones not told on", func(d *fakeDay) { d.lost, d.quiet = 0.2, true }},
		{"3, two owners told", func(d *fakeDay) { d.owners = 2 }},
		{"3, two owners told, a fifth lost", func(d *fakeDay) { d.owners, d.lost = 2, 0.2 }},
		{"3, 40 nodes", func(d *fakeDay) { d.nodes, d.workers, d.rate = 40, 100, 600 }},
		{"3, 40 nodes, two owners told", func(d *fakeDay) { d.nodes, d.workers, d.rate, d.owners = 40, 100, 600, 2 }},
		{"small service", smallService},
		{"small service, answers say nothing", func(d *fakeDay) { smallService(d); d.options.GracePeriod = 1 }},
		{"small service, answers speak 3 s", func(d *fakeDay) { smallService(d); d.options.GracePeriod = 3 * time.Second }},
		{"small service, answers speak 30 s", func(d *fakeDay) { smallService(d); d.options.GracePeriod = 30 * time.Second }},
		{"small service, two owners told", func(d *fakeDay) { smallService(d); d.owners = 2 }},
	} {
		outcomes[way.name] = playAll(seeds, way.change)
		t.Logf("%-38s %+v", way.name, outcomes[way.name])
	}
	assert.Greater(t, outcomes["nothing is held"].mostLate, 10, "the fakes show the fault")
	for name, refusedPart := range map[string]float64{
		"threshold 3": 1e-4, "3, a fifth of the messages lost": 1e-4, "3, 40 nodes": 1e-4, "small service": 0.03,
	} {
		outcome := outcomes[name]
		assert.LessOrEqual(t, outcome.mostLate, 3, name)
		assert.LessOrEqual(t, float64(outcome.refused), refusedPart*float64(outcome.harmless), name)
	}
}
