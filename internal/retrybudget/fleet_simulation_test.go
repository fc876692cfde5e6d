package retrybudget

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Properties of the simulated fleets.
const (
	simulationStep = 50 * time.Millisecond
	// noticeDelay is the time after which a gateway's loss, or that of a link, is known to others.
	noticeDelay = 2 * time.Second
	// aloneTime is the time for which a gateway that has just started knows no other, and joinTime
	// that after which it knows all that it can reach.
	aloneTime = 400 * time.Millisecond
	joinTime  = 900 * time.Millisecond
	// maxRetries is the largest number of retries of one request, and maxSendDelay the longest time from
	// a grant until the retry reaches a worker, such as for a new connection.
	maxRetries   = 3
	maxSendDelay = 100 * time.Millisecond
	// trafficStart is the time at which requests begin.
	trafficStart = 5 * time.Second
)

// simulatedFleet describes a fleet and its load.
type simulatedFleet struct {
	gateways int
	// serving is the number of gateways to which callers are sent.
	serving int
	// rate is the number of requests for the service a second.
	rate   float64
	limits Limits
}

// process is one run of a gateway.
type process struct {
	budget    *Budget
	share     *Share
	startedAt time.Duration
	// stoppingAt is the time at which the process ends by a planned stop; 0 if none is planned.
	stoppingAt time.Duration
}

// machine runs one gateway process at a time, or two while the first one stops.
type machine struct {
	current  *process
	stopping *process
	// startAt is the time at which the next process starts; 0 if none is due.
	startAt time.Duration
	downAt  time.Duration
	// absent is set while the machine isn't part of the fleet.
	absent bool
	// side is the side of a partition that the machine is on, and frozenUntil ends a suspension.
	side        int
	frozenUntil time.Duration
	// backlog are the requests that arrived while the machine was suspended.
	backlog int
	// counts are what the gateway knows of the fleet.
	counts Counts
}

func (m *machine) isUp() bool { return m.current != nil }

// simulation plays one fleet through the events of a schedule.
type simulation struct {
	fleet    simulatedFleet
	random   *rand.Rand
	now      time.Duration
	machines []*machine
	// cutAt and healAt are the times at which the last partition began and ends.
	cutAt, healAt time.Duration
	// retryChance is the chance that a send has to be retried.
	retryChance float64
	// weights are the parts of the callers at the machines, which shift.
	weights []float64

	requests []time.Duration
	retries  []time.Duration
	refused  int
}

func newSimulation(fleet simulatedFleet, spares int, random *rand.Rand) *simulation {
	s := &simulation{fleet: fleet, random: random}
	for number := range fleet.gateways + spares {
		s.machines = append(s.machines, &machine{absent: number >= fleet.gateways})
		s.weights = append(s.weights, 0.5+random.Float64())
	}
	for _, machine := range s.machines[:fleet.gateways] {
		machine.current = s.newProcess()
		machine.current.share = NewShare(true)
	}
	return s
}

func (s *simulation) newProcess() *process {
	return &process{budget: New(s.fleet.limits, s.random), share: NewShare(false), startedAt: s.now}
}

// kill ends the process of a machine without notice. Another one starts after the given time.
func (s *simulation) kill(machine *machine, down time.Duration) {
	if machine.absent || !machine.isUp() {
		return
	}
	machine.current, machine.stopping, machine.backlog = nil, nil, 0
	machine.downAt, machine.startAt = s.now, s.now+down
}

// stop lets the process of a machine end in order, with its successor beside it.
func (s *simulation) stop(machine *machine) {
	if machine.absent || !machine.isUp() || machine.stopping != nil {
		return
	}
	machine.stopping, machine.current = machine.current, nil
	machine.stopping.stoppingAt = s.now + 3500*time.Millisecond
	machine.downAt, machine.startAt = s.now, s.now+200*time.Millisecond
}

// add lets a spare machine join, if there is one.
func (s *simulation) add() {
	for _, machine := range s.machines {
		if machine.absent && machine.downAt == 0 {
			machine.absent, machine.current = false, s.newProcess()
			return
		}
	}
}

// remove takes a machine away for good.
func (s *simulation) remove(machine *machine) {
	s.kill(machine, 0)
	machine.absent, machine.startAt = true, 0
}

// cut divides the fleet into sides that don't see each other.
func (s *simulation) cut(sides int, duration time.Duration) {
	for _, machine := range s.machines {
		machine.side = s.random.IntN(sides)
	}
	s.cutAt, s.healAt = s.now, s.now+duration
}

// pick returns a random present machine.
func (s *simulation) pick() *machine {
	for {
		if machine := s.machines[s.random.IntN(len(s.machines))]; !machine.absent {
			return machine
		}
	}
}

// isCut reports whether two machines are known not to reach each other.
func (s *simulation) isCut(one, other *machine) bool {
	return s.now >= s.cutAt+noticeDelay && s.now < s.healAt+noticeDelay && s.cutAt > 0 && one.side != other.side
}

// updateCounts sets what each gateway knows of the fleet. Members are the first machines by number,
// and the first of them serve.
func (s *simulation) updateCounts() {
	known := make(map[int][]int)
	for side := range 4 {
		observer := &machine{side: side}
		for number, machine := range s.machines {
			listed := machine.isUp() || (machine.downAt > 0 && s.now < machine.downAt+noticeDelay)
			if listed && !s.isCut(observer, machine) {
				known[side] = append(known[side], number)
			}
		}
	}
	for number, machine := range s.machines {
		if !machine.isUp() || s.now < machine.frozenUntil {
			continue
		}
		members := known[machine.side]
		position, _ := slices.BinarySearch(members, number)
		switch age := s.now - machine.current.startedAt; {
		case age < aloneTime:
			members, position = members[:1], 0
		case age < joinTime:
			members, position = members[:(len(members)+1)/2], position/2
		}
		serving := max(min(s.fleet.serving, len(members)), 1)
		machine.counts = Counts{Members: max(len(members), 1), Serving: serving, Serves: position < serving}
	}
}

// tellPeaks lets gateways that know the whole fleet tell those that they reach.
func (s *simulation) tellPeaks() {
	var knowing []*machine
	for _, machine := range s.machines {
		if !machine.isUp() || s.now < machine.frozenUntil {
			continue
		}
		if _, knows := machine.peaks(s.now); knows && len(knowing) < 8 {
			knowing = append(knowing, machine)
		}
	}
	for _, machine := range s.machines {
		if !machine.isUp() || s.now < machine.current.startedAt+joinTime {
			continue
		}
		for _, teller := range knowing {
			if peaks, knows := teller.peaks(s.now); knows && !s.isCut(machine, teller) {
				machine.current.share.Learn(s.now-machine.current.startedAt, peaks)
			}
		}
	}
}

func (m *machine) peaks(now time.Duration) (Counts, bool) {
	return m.current.share.Peaks(now - m.current.startedAt)
}

// advance plays one step.
func (s *simulation) advance() {
	s.now += simulationStep
	for _, machine := range s.machines {
		if machine.stopping != nil && s.now >= machine.stopping.stoppingAt {
			machine.stopping = nil
		}
		if machine.startAt > 0 && s.now >= machine.startAt {
			machine.current, machine.startAt = s.newProcess(), 0
		}
	}
	s.resumeFrozen()
	s.updateCounts()
	s.tellPeaks()
	if s.now < trafficStart {
		return
	}
	expected := s.fleet.rate * simulationStep.Seconds()
	count := int(expected)
	if s.random.Float64() < expected-float64(count) {
		count++
	}
	targets, total := s.targets()
	for number := range count {
		at := s.now + simulationStep*time.Duration(number)/time.Duration(count)
		s.requests = append(s.requests, at)
		s.request(at, s.draw(targets, total))
	}
}

// resumeFrozen lets machines whose suspension is over handle what arrived meanwhile, with the counts
// from before.
func (s *simulation) resumeFrozen() {
	for _, machine := range s.machines {
		for ; machine.backlog > 0 && s.now >= machine.frozenUntil; machine.backlog-- {
			s.request(s.now, machine)
		}
	}
}

// targets returns the machines to which callers are sent, with the sum of their weights. Some callers
// still go to machines that are down or don't serve any more.
func (s *simulation) targets() ([]int, float64) {
	var targets []int
	total := 0.0
	for number, machine := range s.machines {
		if (machine.isUp() && machine.counts.Serves) || machine.stopping != nil {
			targets = append(targets, number)
			total += s.weights[number]
		}
	}
	return targets, total
}

func (s *simulation) draw(targets []int, total float64) *machine {
	if s.random.Float64() < 0.03 || len(targets) == 0 {
		return s.pick()
	}
	drawn := s.random.Float64() * total
	for _, number := range targets {
		if drawn -= s.weights[number]; drawn <= 0 {
			return s.machines[number]
		}
	}
	return s.machines[targets[len(targets)-1]]
}

// request handles one request at a machine, with its retries.
func (s *simulation) request(at time.Duration, machine *machine) {
	process := machine.current
	if machine.stopping != nil && (process == nil || s.random.IntN(2) == 0) {
		process = machine.stopping
	}
	switch {
	case process == nil:
		return
	case s.now < machine.frozenUntil:
		machine.backlog++
		return
	}
	clock := at - process.startedAt
	process.budget.RecordRequest(clock, process.share.At(clock, machine.counts))
	for range maxRetries {
		if s.random.Float64() >= s.retryChance {
			return
		}
		clock += 2 * time.Millisecond
		if !process.budget.TakeRetry(clock, process.share.At(clock, machine.counts)).Granted {
			s.refused++
			return
		}
		s.retries = append(s.retries, at+time.Duration(s.random.Int64N(int64(maxSendDelay))))
	}
}

// excess returns by how many retries the worst window exceeds the limits, and where it begins. The
// requests are those of that window, the one before it or the one half a window before it, whichever
// has most.
func (s *simulation) excess() (worst float64, begin time.Duration) {
	worst = -s.fleet.limits.Slack
	slices.Sort(s.requests)
	slices.Sort(s.retries)
	window := s.fleet.limits.Window
	for index, from := range s.retries {
		requests := 0
		for _, before := range []time.Duration{0, window / 2, window} {
			requests = max(requests, countBetween(s.requests, from-before, from-before+window))
		}
		retries := countBetween(s.retries[index:], from, from+window)
		allowed := s.fleet.limits.Ratio*float64(requests) + s.fleet.limits.Slack
		if over := float64(retries) - allowed; over > worst {
			worst, begin = over, from
		}
	}
	return worst, begin
}

// countBetween counts the times in [from, to) of a sorted list.
func countBetween(times []time.Duration, from, to time.Duration) int {
	first := sort.Search(len(times), func(i int) bool { return times[i] >= from })
	last := sort.Search(len(times), func(i int) bool { return times[i] >= to })
	return last - first
}
