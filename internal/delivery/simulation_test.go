package delivery

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const (
	simTick           = 10 * time.Millisecond
	simReportInterval = 600 * time.Millisecond
	simLeaseDuration  = 3500 * time.Millisecond
	// simTargetStart is when the first workers of the target are listed, after the order.
	simTargetStart = 600 * time.Millisecond
	simStoreOffset = 100 * time.Second // local time minus store time
	simService     = fleet.PoolName("service")
	simOld         = fleet.SoftwareVersion("old")
	simNew         = fleet.SoftwareVersion("new")
)

// scenario configures a simulation.
type scenario struct {
	seed           uint64
	nodes          int
	workers        int // of each version
	slots          int
	duration       time.Duration
	rate           float64
	routes         map[RouteName]float64 // fractions of the rate
	noPredictions  bool
	normalFailures map[RouteName]float64 // failure rates of any version
	// badFraction returns the fraction of the target's responses that is bad.
	badFraction func(at time.Duration, route RouteName, load float64) float64
	// orderDelay is the time within which nodes read the order; 0 means 500 ms.
	orderDelay time.Duration
	slow       bool // bad responses take eight times as long instead of failing
	cold       bool // the first responses of a new worker on a route take up to four times as long
	// partialFailureRates holds the failure rates of partially failing workers.
	partialFailureRates map[fleet.EngineID]float64
	// rateFactor returns the factor by which the rate is multiplied at a time.
	rateFactor func(at time.Duration) float64
	// callerTimeout is when callers abort, so that no outcome is recorded; 0 means never.
	callerTimeout time.Duration
	// faults are injected once, at their times.
	faults map[time.Duration]func(*simulation)
	// absent reports whether the target's workers are missing from the list.
	absent func(at time.Duration) bool
}

type simWorker struct {
	id        fleet.EngineID
	version   fleet.SoftwareVersion
	inFlight  int
	responses map[RouteName]int
	crashed   bool
}

type simNode struct {
	id                     fleet.NodeID
	follower               *Follower
	director               *Director
	reportAt               time.Duration
	orderAt                time.Duration
	suspended, partitioned bool
	listsTarget            bool // lists the target's workers
	dead                   bool
}

type simResponse struct {
	node    *simNode
	worker  *simWorker
	outcome Outcome
	isBad   bool
}

// badTally counts the target's responses on a route since the first bad one.
type badTally struct{ responses, bad int }

// simulation simulates the nodes, the store and the workers of one service during a delivery.
type simulation struct {
	scenario
	random         *rand.Rand
	now            time.Duration
	fleet          []*simNode
	oldWorkers     []*simWorker
	newWorkers     []*simWorker
	due            map[time.Duration][]simResponse
	order          Order
	leader         *simNode
	leaseFreeSince time.Duration // when the lease became free
	storeDown      bool
	downSince      time.Duration
	// loseWriteAcks makes successful writes return an error.
	loseWriteAcks bool
	record        *Record
	errors        []string

	totalRequests, targetRequests float64         // requests until the deadline
	badResponseTimes              []time.Duration // of the target
	lastTargetRequest             time.Duration
	finalAt                       time.Duration
	killedRequests                int // requests at old workers when these were stopped
	events                        []Event
	stride                        int // coprime to the number of workers
	tallies                       map[RouteName]*badTally
}

func newSimulation(setup scenario) *simulation {
	s := &simulation{scenario: setup, random: rand.New(rand.NewPCG(setup.seed, 1)), due: map[time.Duration][]simResponse{}, tallies: map[RouteName]*badTally{}}
	for s.stride = 7; s.stride%3 == 0 || (2*s.workers)%s.stride == 0; {
		s.stride += 4
	}
	for index := range setup.nodes {
		s.fleet = append(s.fleet, s.newNode(index))
	}
	for index := range setup.workers {
		s.oldWorkers = append(s.oldWorkers, &simWorker{id: fleet.EngineID(fmt.Sprintf("old-%d", index)), version: simOld, responses: map[RouteName]int{}})
		s.newWorkers = append(s.newWorkers, &simWorker{id: fleet.EngineID(fmt.Sprintf("new-%d", index)), version: simNew, responses: map[RouteName]int{}})
	}
	s.order = Order{Service: simService, Target: simNew, Duration: setup.duration, Revision: 7}
	s.makeLeader(s.fleet[0])
	return s
}

func (s *simulation) newNode(index int) *simNode {
	node := &simNode{
		id:       fleet.NodeID(fmt.Sprintf("node-%d", index)),
		follower: NewFollower(Options{}),
		reportAt: s.now + time.Duration(s.random.Int64N(int64(simReportInterval))),
		orderAt:  s.now + time.Duration(s.random.Int64N(int64(max(s.orderDelay, 500*time.Millisecond)))),
	}
	node.follower.ObserveVersions(s.now, simService, []fleet.SoftwareVersion{simOld})
	return node
}

func (s *simulation) makeLeader(node *simNode) {
	s.leader = node
	node.director = NewDirector(Options{Self: node.id, ExposureShare: 0.1, ExposureSlack: 50, RollbackWithin: 5 * time.Second})
	var records []Record
	if s.record != nil {
		records = append(records, *s.record)
	}
	node.director.Restore(s.now, records, simStoreOffset)
	if err := node.director.SetOrder(s.now, s.now, s.order); err != nil {
		s.errors = append(s.errors, err.Error())
	}
}

// run simulates until the given time after the deadline.
func (s *simulation) run(after time.Duration) *simulation {
	for ; s.now < s.duration+after; s.now += simTick {
		for at, fault := range s.faults {
			if at == s.now {
				fault(s)
			}
		}
		s.finishRequests()
		s.sendRequests()
		s.lease()
		s.evaluate()
		for _, node := range s.fleet {
			s.report(node)
		}
	}
	return s
}

// lease moves the lease from a dead, suspended or partitioned node to another one.
func (s *simulation) lease() {
	if s.storeDown && s.now-s.downSince < simLeaseDuration {
		return
	}
	isUnavailable := func(node *simNode) bool { return node.dead || node.suspended || node.partitioned || s.storeDown }
	if s.leader != nil && !isUnavailable(s.leader) {
		return
	}
	if s.leaseFreeSince == 0 {
		s.leaseFreeSince = s.now
	}
	if s.leader != nil && s.now-s.leaseFreeSince >= simLeaseDuration {
		s.leader = nil
	}
	if s.leader != nil {
		return
	}
	for _, node := range s.fleet {
		if !isUnavailable(node) {
			s.leaseFreeSince = 0
			s.makeLeader(node)
			return
		}
	}
}

func (s *simulation) targetListed() bool {
	return s.now >= simTargetStart && (s.absent == nil || !s.absent(s.now))
}

func (s *simulation) listed() []*simWorker {
	if !s.targetListed() {
		return s.oldWorkers
	}
	return slices.Concat(s.oldWorkers, s.newWorkers)
}

func (s *simulation) evaluate() {
	if s.now%EvaluationInterval != 0 || s.leader == nil || s.leader.dead || s.leader.suspended {
		return
	}
	observation := Observation{Service: simService, Configured: true}
	for _, worker := range s.listed() {
		observation.Workers = append(observation.Workers, Worker{ID: worker.id, Version: worker.version, Slots: s.slots, InFlight: worker.inFlight, Unreachable: worker.crashed})
	}
	director := s.leader.director
	decision := director.Evaluate(s.now, observation)
	if decision.Event.Name != "" {
		s.events = append(s.events, decision.Event)
	}
	if decision.Write != nil {
		found, err := s.store(*decision.Write)
		director.HandleWriteResult(s.now, simService, *decision.Write, found, err)
	}
	if decision.Directive != nil {
		s.leader.follower.ApplyDirective(s.now, *decision.Directive)
	}
}

// store writes a record, unless the store is down or holds a final or newer record.
func (s *simulation) store(record Record) (*Record, error) {
	if s.storeDown {
		return nil, errors.New("store is down")
	}
	held := s.record
	if held != nil && (held.Order.Revision > record.Order.Revision || held.Order.Revision == record.Order.Revision && (held.Stage.IsFinal() || held.StartedAt != record.StartedAt)) {
		return held, nil
	}
	s.record = &record
	if record.Stage.IsFinal() {
		s.finalAt = s.now
	}
	if record.Stage == StageCompleted && record.Order.Target == simNew {
		for _, worker := range s.oldWorkers {
			s.killedRequests += worker.inFlight
		}
		s.oldWorkers = nil
	}
	if s.loseWriteAcks {
		return nil, errors.New("write acknowledgement lost")
	}
	return nil, nil
}

// report sends a node's evidence to the leader and returns the leader's directives.
func (s *simulation) report(node *simNode) {
	if node.dead || node.suspended {
		return
	}
	if s.now >= node.orderAt && !node.partitioned && !s.storeDown {
		if _, err := node.follower.SetOrder(s.now, s.order); err != nil {
			s.errors = append(s.errors, err.Error())
		}
	}
	if s.now < node.reportAt {
		return
	}
	node.reportAt = s.now + simReportInterval
	if s.leader == nil || node.partitioned || s.leader.partitioned || s.leader.dead || s.leader.suspended {
		return
	}
	for _, evidence := range node.follower.Evidence(s.now) {
		s.leader.director.Observe(s.now, node.id, evidence)
	}
	for _, directive := range s.leader.follower.Directives(s.now) {
		node.follower.ApplyDirective(s.now, directive)
	}
}

// sendRequests sends the requests of one tick.
func (s *simulation) sendRequests() {
	rate := s.rate
	if s.rateFactor != nil {
		rate *= s.rateFactor(s.now)
	}
	for _, route := range slices.Sorted(maps.Keys(s.routes)) {
		mean := rate * s.routes[route] * simTick.Seconds()
		for range s.poisson(mean) {
			s.send(route)
		}
	}
}

func (s *simulation) poisson(mean float64) int {
	count, product := 0, s.random.Float64()
	for limit := math.Exp(-mean); product > limit; count++ {
		product *= s.random.Float64()
	}
	return count
}

func (s *simulation) send(route RouteName) {
	node := s.fleet[s.random.IntN(len(s.fleet))]
	if node.dead || node.suspended {
		return
	}
	filter := node.follower.Filter(s.now, simService, route, s.random.Float64(), false)
	if !node.listsTarget && !node.partitioned && s.now >= simTargetStart {
		node.listsTarget = true
		node.follower.ObserveVersions(s.now, simService, []fleet.SoftwareVersion{simOld, simNew})
	}
	worker := s.pick(filter, node.listsTarget)
	if worker == nil || worker.inFlight >= 2*s.slots {
		return // rejected for lack of capacity, which is no evidence
	}
	load := float64(worker.inFlight) / float64(s.slots)
	if s.now < s.duration {
		s.totalRequests++
	}
	if worker.version == simNew {
		s.lastTargetRequest = s.now
		if s.now < s.duration {
			s.targetRequests++
		}
	}
	outcome, isBad := s.serve(worker, route, load)
	worker.inFlight++
	at := s.now + max(simTick, outcome.TimeToFirstByte.Round(simTick))
	s.due[at] = append(s.due[at], simResponse{node: node, worker: worker, outcome: outcome, isBad: isBad})
}

// pick returns the less loaded of two random workers that the filter or its fallbacks allow.
func (s *simulation) pick(filter *Filter, listsTarget bool) *simWorker {
	for ; ; filter = filter.Fallback() {
		first := s.randomWorker(filter, listsTarget)
		if first != nil {
			if second := s.randomWorker(filter, listsTarget); second.inFlight < first.inFlight {
				return second
			}
			return first
		}
		if filter.Fallback() == nil {
			return nil
		}
	}
}

// randomWorker returns a random worker that the filter allows, or nil.
func (s *simulation) randomWorker(filter *Filter, listsTarget bool) *simWorker {
	sides := [][]*simWorker{s.oldWorkers, s.newWorkers}
	if !listsTarget || !s.targetListed() {
		sides[1] = nil
	}
	offset := s.random.IntN(2 * s.workers)
	for index := range 2 * s.workers {
		position := (offset + index*s.stride) % (2 * s.workers)
		side := sides[position%2]
		if position/2 >= len(side) {
			continue
		}
		if worker := side[position/2]; filter.Allows(worker.id, worker.version) {
			return worker
		}
	}
	return nil
}

// serve returns a random outcome of a request and whether it was made bad.
func (s *simulation) serve(worker *simWorker, route RouteName, load float64) (Outcome, bool) {
	base := 100 * time.Millisecond
	outcome := Outcome{Service: simService, Route: route, Worker: worker.id, Version: worker.version}
	factor := math.Exp(0.35 * s.random.NormFloat64())
	if load > 1 {
		factor *= load
	}
	if s.cold && worker.version == simNew && worker.responses[route] < 8 {
		factor *= 1 + 3*s.random.Float64()
	}
	worker.responses[route]++
	if !s.noPredictions {
		outcome.Predicted = base
	}
	isBad := worker.version == simNew && s.badFraction != nil && s.random.Float64() < s.badFraction(s.now, route, load)
	if isBad && s.slow {
		factor *= 8
	}
	outcome.TimeToFirstByte = time.Duration(float64(base) * factor)
	outcome.Failed = isBad && !s.slow || worker.crashed || s.random.Float64() < s.normalFailures[route] || s.random.Float64() < s.partialFailureRates[worker.id]
	if outcome.Failed {
		outcome.TimeToFirstByte = base / 2
	}
	return outcome, isBad
}

// finishRequests ends the requests that are due.
func (s *simulation) finishRequests() {
	for _, due := range s.due[s.now] {
		due.worker.inFlight--
		s.tallyResponse(&due)
		if due.isBad {
			s.badResponseTimes = append(s.badResponseTimes, s.now)
		}
		if due.node.dead || s.callerTimeout > 0 && due.outcome.TimeToFirstByte > s.callerTimeout {
			continue
		}
		if due.node.follower.RecordOutcome(s.now, due.outcome) {
			due.node.reportAt = s.now
		}
	}
	delete(s.due, s.now)
}

// tallyResponse counts the target's responses until shortly before the last decision.
func (s *simulation) tallyResponse(due *simResponse) {
	if due.worker.version != simNew || s.now > s.duration-1500*time.Millisecond {
		return
	}
	tally := s.tallies[due.outcome.Route]
	if tally == nil {
		tally = &badTally{}
		s.tallies[due.outcome.Route] = tally
	}
	if due.isBad {
		tally.bad++
	}
	if tally.bad > 0 {
		tally.responses++
	}
}

// hasEvidence reports whether a route has had so many bad responses, also as a fraction of its
// responses, that the target must be rolled back.
func (s *simulation) hasEvidence(bad int, fraction float64) bool {
	for _, tally := range s.tallies {
		if tally.bad >= bad && float64(tally.bad) >= fraction*float64(tally.responses) {
			return true
		}
	}
	return false
}

// excessExposure returns by how much the target's requests exceed the limit until the deadline.
func (s *simulation) excessExposure() float64 { return s.targetRequests - 0.1*s.totalRequests - 50 }

// exposedAfterBad returns how long after its n-th bad response the target still got requests.
func (s *simulation) exposedAfterBad(n int) time.Duration {
	if len(s.badResponseTimes) < n {
		return 0
	}
	return s.lastTargetRequest - s.badResponseTimes[n-1]
}

func (s *simulation) stage() Stage {
	if s.record == nil {
		return 0
	}
	return s.record.Stage
}
