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

// The simulation has nodes with a tracker each, workers that crash at random or while running a
// harmful request, and callers that retry lost requests. Its time is virtual.

// event is a function that runs at a time.
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

// simulationConfig configures a simulation.
type simulationConfig struct {
	seed uint64
	// rate is in requests per second.
	nodes, workers int
	rate           float64
	// harmful is the number of harmful requests, each of which is sent repeatedly.
	harmful int
	// parts gives prompts shared parts: one of everybody, one of 40 topics and that of a session. With it
	// the harmful requests are all different, and one part of each of harmful kinds crashes workers.
	parts bool
	// rareBeside is set if each harmful part comes beside a part that is rare elsewhere.
	rareBeside bool
	// topicLifetime is how long a topic lasts before another one takes its place; 0 means always.
	topicLifetime time.Duration
	// answeredShare is the share of runs with a harmful part that don't crash their worker.
	answeredShare float64
	// withoutParts has trackers ignore parts.
	withoutParts bool
	// attempts is the number of workers to which a request with a harmful part is sent at once, one
	// after the other; 0 means 1.
	attempts int
	// crashInterval is the mean time between crashes of single workers, rackCrashInterval between
	// crashes of a quarter of them; 0 means none.
	crashInterval, rackCrashInterval time.Duration
	// fullCrashInterval is the mean time between crashes of all workers at once; 0 means none.
	fullCrashInterval time.Duration
	// hotFraction is the fraction of requests with one of three popular bodies.
	hotFraction float64
	// lossFraction is the fraction of messages between nodes that are lost.
	lossFraction float64
	// options configures the trackers.
	options Options
	// owners, if not 0, is the number of nodes, chosen by the fingerprint, that are notified of a
	// crash. They notify all nodes once a request is quarantined.
	owners int
	// withoutForwarding keeps a node from notifying all others of a request that it quarantines
	// because of a notification.
	withoutForwarding bool
}

// simulation runs one configuration.
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
	// thirdCrashAt is, by harmful body, when it crashed the third worker, or the fifth by a part. harmfulCounts counts the
	// crashes by harmful body, and its late arrivals under a prefixed key.
	thirdCrashAt  map[string]time.Duration
	harmfulCounts map[string]int
}

// simulatedRun is a request that was sent to a worker.
type simulatedRun struct {
	body  string
	parts []string
	node  int
	tries int
}

// subject returns what the trackers know a run by.
func (r *simulatedRun) subject() *Subject {
	subject := &Subject{Request: fingerprintOf(r.body)}
	for _, part := range r.parts {
		subject.Parts = append(subject.Parts, PartFingerprint("service", part))
	}
	return subject
}

// harmKey returns what makes a run harmful: its body, or its harmful part; empty if it is harmless.
func (r *simulatedRun) harmKey() string {
	for _, part := range r.parts {
		if isHarmful(part) {
			return part
		}
	}
	if len(r.parts) == 0 && isHarmful(r.body) {
		return r.body
	}
	return ""
}

// simulationOutcome is the result of a simulation.
type simulationOutcome struct {
	harmless, refused       int
	crashes, harmfulCrashes int
	// lateArrivals counts the harmful requests that reached workers more than three seconds after
	// the third crash, or the fifth one of a part, maxLateArrivals the most of one body or part.
	lateArrivals              int
	maxLateArrivals, messages int
}

func simulate(config simulationConfig) simulationOutcome {
	s := &simulation{
		simulationConfig: config, random: rand.New(rand.NewPCG(config.seed, 1)),
		thirdCrashAt: make(map[string]time.Duration), harmfulCounts: make(map[string]int),
	}
	for number := range config.nodes {
		options := config.options
		options.Node = fleet.NodeID(fmt.Sprint("node-", number))
		s.trackers = append(s.trackers, NewTracker(options))
	}
	for range config.workers {
		s.up = append(s.up, true)
		s.runNumbers = append(s.runNumbers, 0)
		s.running = append(s.running, nil)
	}
	s.arrive(0)
	for number := range config.harmful {
		s.arriveHarmful(fmt.Sprint("harmful-", number))
	}
	s.scheduleCrashes(config.crashInterval, 1)
	s.scheduleCrashes(config.rackCrashInterval, max(config.workers/4, 1))
	s.scheduleCrashes(config.fullCrashInterval, config.workers)
	const duration = 60 * time.Second
	for s.queue.Len() > 0 && s.now < duration {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	return s.outcome
}

func (s *simulation) schedule(delay time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.queue, event{at: s.now + delay, order: s.scheduled, run: run})
}

// exponential returns an exponentially distributed time.
func (s *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// arrive sends harmless requests at the configured rate.
func (s *simulation) arrive(number int) {
	body := fmt.Sprint("harmless-", number)
	if s.random.Float64() < s.hotFraction {
		body = fmt.Sprint("hot-", s.random.IntN(3))
	}
	s.outcome.harmless++
	s.send(&simulatedRun{body: body, parts: s.drawParts(), node: s.random.IntN(s.nodes)})
	s.schedule(s.exponential(time.Duration(float64(time.Second)/s.rate)), func() { s.arrive(number + 1) })
}

// drawParts draws the shared parts of a harmless prompt, nil without parts. A topic is the more popular
// the lower its number; a session asks some times a minute.
func (s *simulation) drawParts() []string {
	if !s.parts {
		return nil
	}
	const sessions = 400
	parts := []string{"everybody's", s.topic(min(int(s.random.ExpFloat64()*10), 39))}
	if s.rareBeside && s.random.Float64() < 0.02 {
		return append(parts, "rare")
	}
	return append(parts, fmt.Sprint("session-", s.random.IntN(sessions)))
}

// topic returns the name of a topic now.
func (s *simulation) topic(number int) string {
	if s.topicLifetime <= 0 {
		return fmt.Sprint("topic-", number)
	}
	return fmt.Sprint("topic-", number, "-", int(s.now/s.topicLifetime))
}

// arriveHarmful sends a harmful request, or requests with a harmful part, repeatedly to random nodes.
func (s *simulation) arriveHarmful(name string) {
	interval := 1500 * time.Millisecond
	if s.parts {
		interval = 300 * time.Millisecond
	}
	s.schedule(s.exponential(interval), func() {
		run := &simulatedRun{body: name, node: s.random.IntN(s.nodes)}
		if s.parts {
			run.body = fmt.Sprint(name, "-", s.scheduled)
			run.parts = []string{"everybody's", name, s.topic(s.random.IntN(3))}
			if s.rareBeside {
				run.parts[2] = "rare"
			}
		}
		s.send(run)
		s.arriveHarmful(name)
	})
}

// isHarmful reports whether a body, or a part, crashes workers.
func isHarmful(body string) bool { return len(body) > 7 && body[:7] == "harmful" }

func fingerprintOf(body string) Fingerprint {
	identity := RequestIdentity{Body: []byte(body)}
	return identity.Fingerprint()
}

// send sends a request to a random worker unless it is quarantined. It is lost if the worker is down.
func (s *simulation) send(run *simulatedRun) {
	harm := run.harmKey()
	subject := run.subject()
	if s.withoutParts {
		subject.Parts = nil
	}
	verdict := s.trackers[run.node].CheckRequest(s.now, subject)
	if verdict.Quarantined {
		if harm == "" {
			s.outcome.refused++
		}
		return
	}
	if run.tries > 0 && verdict.Suspected {
		return
	}
	worker := s.random.IntN(s.workers)
	if !s.up[worker] {
		return
	}
	s.running[worker] = append(s.running[worker], run)
	if harm == "" || s.random.Float64() < s.answeredShare {
		s.schedule(s.exponential(400*time.Millisecond), func() { s.answer(worker, run) })
		return
	}
	if third, found := s.thirdCrashAt[harm]; found && s.now > third+3*time.Second {
		s.outcome.lateArrivals++
		s.harmfulCounts["late "+harm]++
		s.outcome.maxLateArrivals = max(s.outcome.maxLateArrivals, s.harmfulCounts["late "+harm])
	}
	runNumber := s.runNumbers[worker]
	s.schedule(30*time.Millisecond+s.exponential(80*time.Millisecond), func() {
		if s.runNumbers[worker] == runNumber && s.up[worker] {
			s.countHarmfulCrash(harm)
			s.crash(worker)
			if run.tries+1 < s.attempts {
				s.send(&simulatedRun{body: run.body, parts: run.parts, node: run.node, tries: run.tries + 1})
			}
		}
	})
}

// countHarmfulCrash counts the workers that a harmful request, or a part, has crashed.
func (s *simulation) countHarmfulCrash(harm string) {
	crashesAllowed := 3
	if s.parts {
		crashesAllowed = 5
	}
	s.outcome.harmfulCrashes++
	s.harmfulCounts[harm]++
	if s.harmfulCounts[harm] == crashesAllowed {
		s.thirdCrashAt[harm] = s.now
	}
}

// answer completes a run if its worker is still up.
func (s *simulation) answer(worker int, run *simulatedRun) {
	at := slices.Index(s.running[worker], run)
	if at < 0 {
		return
	}
	s.running[worker] = slices.Delete(s.running[worker], at, at+1)
	fingerprint := fingerprintOf(run.body)
	if s.trackers[run.node].ObserveAnswer(s.now, fingerprint) {
		s.notifyPeers(run.node, fingerprint)
	}
	for _, part := range run.subject().Parts {
		if s.trackers[run.node].ObservePartAnswer(s.now, part) {
			s.notifyPeers(run.node, part)
		}
	}
}

// scheduleCrashes crashes count workers at once at random times, interval apart on average.
func (s *simulation) scheduleCrashes(interval time.Duration, count int) {
	if interval <= 0 {
		return
	}
	s.schedule(s.exponential(interval), func() {
		first := s.random.IntN(s.workers)
		for offset := range count {
			s.crash((first + offset) % s.workers)
		}
		s.scheduleCrashes(interval, count)
	})
}

// crash crashes a worker with all its runs. Another one replaces it after some seconds. Half of the
// callers that lost a run retry, a third of these at once.
func (s *simulation) crash(worker int) {
	if !s.up[worker] {
		return
	}
	s.outcome.crashes++
	s.up[worker] = false
	lost := s.running[worker]
	s.running[worker] = nil
	name := fleet.EngineID(fmt.Sprintf("w%d-%d", worker, s.runNumbers[worker]))
	s.runNumbers[worker]++
	for _, run := range lost {
		s.schedule(50*time.Millisecond, func() {
			fingerprint := fingerprintOf(run.body)
			if s.trackers[run.node].ObserveCrash(s.now, fingerprint, name) {
				s.notifyPeers(run.node, fingerprint)
			}
			var changed []Fingerprint
			for _, part := range run.subject().Parts {
				if s.trackers[run.node].ObserveCrash(s.now, part, name) && s.trackers[run.node].IsSuspect(part) {
					changed = append(changed, part)
				}
			}
			for _, part := range changed {
				s.notifyPeers(run.node, part)
			}
		})
		if run.tries < 3 && run.harmKey() == "" && s.random.Float64() < 0.5 {
			again := &simulatedRun{body: run.body, parts: run.parts, node: s.random.IntN(s.nodes), tries: run.tries + 1}
			s.schedule(time.Duration(s.random.IntN(3))*300*time.Millisecond, func() { s.send(again) })
		}
	}
	s.schedule(time.Second+s.exponential(2*time.Second), func() { s.up[worker] = true })
}

// notifyPeers sends the record of a request to other nodes.
func (s *simulation) notifyPeers(from int, fingerprint Fingerprint) {
	record, _ := s.trackers[from].Record(fingerprint)
	for to := range s.nodes {
		chosen := s.owners == 0 || (to+int(fingerprint[0]))%s.nodes < s.owners || s.trackers[from].Check(s.now, fingerprint).Quarantined
		if to == from || !chosen {
			continue
		}
		s.outcome.messages++
		if s.random.Float64() < s.lossFraction {
			continue
		}
		sent := s.now
		s.schedule(time.Duration(5+s.random.IntN(60))*time.Millisecond, func() { s.receive(from, to, &record, s.now-sent) })
	}
}

// receive merges a record at a node. The delay adds to its ages.
func (s *simulation) receive(from, to int, sent *Record, delay time.Duration) {
	received := sent.clone()
	for index := range received.Crashes {
		received.Crashes[index].At += delay
	}
	received.AnsweredAt += delay
	for index := range received.Answers {
		received.Answers[index].At += delay
	}
	before := s.trackers[to].Check(s.now, sent.Fingerprint).Quarantined
	s.trackers[to].Merge(s.now, &received)
	quarantinedNow := !before && s.trackers[to].Check(s.now, sent.Fingerprint).Quarantined
	ahead := s.trackers[to].IsAheadOf(&received)
	if ahead && sent.Fingerprint.IsPart() {
		s.reply(to, from, sent.Fingerprint)
		ahead = false
	}
	if ahead || (quarantinedNow && !s.withoutForwarding) {
		s.notifyPeers(to, sent.Fingerprint)
	}
}

// reply returns a node's record of a part to the node that told of it, which tells all of its own if that
// matters to them.
func (s *simulation) reply(from, to int, part Fingerprint) {
	record, _ := s.trackers[from].Record(part)
	s.outcome.messages++
	s.schedule(time.Duration(5+s.random.IntN(30))*time.Millisecond, func() {
		before, _ := s.trackers[to].Record(part)
		if s.trackers[to].Merge(s.now, &record) && s.trackers[to].MustShareAnswers(&before) {
			s.notifyPeers(to, part)
		}
	})
}

// defaultConfig returns a fleet with single and rack-wide crashes and popular requests.
func defaultConfig(seed uint64) simulationConfig {
	return simulationConfig{
		seed: seed, nodes: 7, workers: 18, rate: 100, harmful: 3,
		crashInterval: 1500 * time.Millisecond, rackCrashInterval: 10 * time.Second, hotFraction: 0.1, lossFraction: 0.02,
	}
}

// simulateAll sums the outcomes of a configuration over seeds.
func simulateAll(seeds uint64, change func(*simulationConfig)) simulationOutcome {
	var sum simulationOutcome
	for seed := range seeds {
		config := defaultConfig(seed)
		change(&config)
		outcome := simulate(config)
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

// smallService has few workers that sometimes crash all at once, and many popular requests, which are
// then in flight at all workers. Nothing is answered while all workers are down.
func smallService(config *simulationConfig) {
	config.workers, config.rate, config.hotFraction = 4, 40, 0.5
	config.crashInterval, config.rackCrashInterval = 4*time.Second, 0
	config.fullCrashInterval = 8 * time.Second
}

// TestQuarantineStopsHarmfulRequestsAndFewOthers guards against harmful requests that keep crashing
// workers, and against harmless ones that are refused. It logs other configurations for comparison.
func TestQuarantineStopsHarmfulRequestsAndFewOthers(t *testing.T) {
	const seeds = 8
	outcomes := make(map[string]simulationOutcome)
	for _, variant := range []struct {
		name   string
		change func(*simulationConfig)
	}{
		{"no quarantine", func(c *simulationConfig) { c.options.Threshold = 1000 }},
		{"threshold 2", func(c *simulationConfig) { c.options.Threshold = 2 }},
		{"threshold 3", func(*simulationConfig) {}},
		{"threshold 4", func(c *simulationConfig) { c.options.Threshold = 4 }},
		{"3, a fifth of the messages lost", func(c *simulationConfig) { c.lossFraction = 0.2 }},
		{"3, a fifth lost, without forwarding", func(c *simulationConfig) { c.lossFraction, c.withoutForwarding = 0.2, true }},
		{"3, two owners", func(c *simulationConfig) { c.owners = 2 }},
		{"3, two owners, a fifth lost", func(c *simulationConfig) { c.owners, c.lossFraction = 2, 0.2 }},
		{"3, 40 nodes", func(c *simulationConfig) { c.nodes, c.workers, c.rate = 40, 100, 600 }},
		{"3, 40 nodes, two owners", func(c *simulationConfig) { c.nodes, c.workers, c.rate, c.owners = 40, 100, 600, 2 }},
		{"small service", smallService},
		{"small service, no grace period", func(c *simulationConfig) { smallService(c); c.options.GracePeriod = 1 }},
		{"small service, grace period 3 s", func(c *simulationConfig) { smallService(c); c.options.GracePeriod = 3 * time.Second }},
		{"small service, grace period 30 s", func(c *simulationConfig) { smallService(c); c.options.GracePeriod = 30 * time.Second }},
		{"small service, two owners", func(c *simulationConfig) { smallService(c); c.owners = 2 }},
	} {
		outcomes[variant.name] = simulateAll(seeds, variant.change)
		t.Logf("%-38s %+v", variant.name, outcomes[variant.name])
	}
	assert.Greater(t, outcomes["no quarantine"].maxLateArrivals, 10, "the simulation must show the fault")
	for name, refusedFraction := range map[string]float64{
		"threshold 3": 1e-4, "3, a fifth of the messages lost": 1e-4, "3, 40 nodes": 1e-4, "small service": 0.03,
	} {
		outcome := outcomes[name]
		assert.LessOrEqual(t, outcome.maxLateArrivals, 3, name)
		assert.LessOrEqual(t, float64(outcome.refused), refusedFraction*float64(outcome.harmless), name)
	}
}
