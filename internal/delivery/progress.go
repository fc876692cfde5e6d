package delivery

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Reasons of verdicts and of steps.
const (
	ReasonBad            = "bad_answers"
	ReasonNoWorkers      = "no_workers"
	ReasonFewWorkers     = "too_few_workers"
	ReasonUndecided      = "undecided"
	ReasonCondemned      = "condemned_before"
	ReasonUnknownService = "unknown_service"
	ReasonIdle           = "old_workers_idle"
	ReasonLastMoment     = "last_moment"
	ReasonNoOld          = "no_old_workers"
	ReasonPaused         = "paused"
	ReasonNoEvidence     = "no_evidence"
)

// Names of events.
const (
	EventStarted    = "delivery_started"
	EventRefused    = "delivery_refused"
	EventAnnounced  = "delivery_shift_planned"
	EventHeld       = "delivery_shift_held"
	EventExtended   = "delivery_extended"
	EventShifting   = "delivery_shifting"
	EventDecided    = "delivery_decided"
	EventCompleted  = "delivery_completed"
	EventRolledBack = "delivery_rolled_back"
)

const (
	// leastCanaries is the number of the target's workers that get the canary share, if
	// there are as many: two must be bad for a verdict.
	leastCanaries = 3
	// leastCanaryRate is the number of requests a second that each further one must get.
	leastCanaryRate = 2.0
	// neededSlots is the part of the old side's slots that the target must list before
	// everything is sent there.
	neededSlots = 0.7
	// leastSlots is the same where a single worker makes up more than the rest.
	leastSlots = 0.5
	// suspiciousScore is the score, without the worst worker's part, from which a shift
	// isn't begun.
	suspiciousScore = 2.5
	// undecidedScore is the same from which a version is rolled back at the deadline.
	undecidedScore = 3.0
	// sharesHold is the time for which shares stay, so that directives change seldom.
	sharesHold = time.Second
	// writeRetry is the time between two tries of a write, writeTimeout that after which
	// a write without an answer is tried again.
	writeRetry   = 300 * time.Millisecond
	writeTimeout = 3 * time.Second
	// settledShift is the time after a shift from which an idle old side counts: all
	// nodes have heard of it, and loads are newer than it.
	settledShift = 600 * time.Millisecond
	// targetSettles is the time after an order within which the target's first workers
	// are waited for, so that the first canaries aren't a single one.
	targetSettles = 2 * time.Second
	// longestPause is the time without a look after which what was known is out of date.
	longestPause = time.Second
	// noOldSettles is the time for which no old worker must have been listed before
	// a delivery ends for want of them.
	noOldSettles = time.Second
)

// directed is a director's state of one order.
type directed struct {
	self      fleet.NodeID
	order     Order
	start     time.Duration
	schedule  schedule
	stage     Stage
	reason    string
	condemned []fleet.SoftwareVersion
	meter     meter
	judge     *judge

	// verdict is the final stage that was decided but isn't written yet, 0 before.
	verdict Stage
	// recorded is set once the store holds a record of the order.
	recorded bool
	// retryAt is when a record may be written, again after a try that failed.
	retryAt time.Duration
	// settled is when the final stage was known to be written.
	settled time.Duration

	// The rest is what the last directive asks for.
	sequence  uint64
	changed   bool
	shares    map[RouteName]float64
	share     float64
	sharesAt  time.Duration
	shiftAt   time.Duration
	shifting  bool
	canaries  []fleet.EngineID
	suspected map[fleet.EngineID]bool
	noOldFrom time.Duration
	refused   bool
	started   bool
	toldEnd   bool
	lookedAt  time.Duration
	// onlyOne is set while the target lists a single worker.
	onlyOne bool
}

// workforce is what is listed of a service.
type workforce struct {
	target      []TargetWorker
	targetSlots int
	oldSlots    int
	oldInFlight int
	oldListed   int
}

// count sorts the listed workers into sides. Workers of condemned versions are on none.
func (s *directed) count(workers []TargetWorker) workforce {
	var counted workforce
	for _, worker := range workers {
		switch {
		case worker.Version == s.order.Target:
			if worker.Doubtful {
				continue
			}
			counted.target = append(counted.target, worker)
			counted.targetSlots += worker.Slots
		case slices.Contains(s.condemned, worker.Version):
		default:
			counted.oldListed++
			counted.oldSlots += worker.Slots
			if !worker.Doubtful {
				counted.oldInFlight += worker.InFlight
			}
		}
	}
	return counted
}

// extend gives an order whose deadline is past, or close, the time that a delivery
// needs. A shift can't be squeezed into less without more exposure.
func (s *directed) extend(now time.Duration) {
	early := now <= s.schedule.deadline-shortestRest || now-s.schedule.start < shortestRest
	if early && now < s.schedule.deadline {
		return
	}
	s.schedule.start = now
	s.schedule.deadline = now + shortestLate
}

// resume goes on after a pause in which nothing was seen or could be decided. A shift has
// lapsed everywhere by then; a completion may have been written, the store will tell.
func (s *directed) resume(now time.Duration, reason string) Event {
	if s.verdict == StageCompleted {
		s.verdict = 0
		s.reason = ""
		s.retryAt = now
	}
	s.shifting = false
	s.shiftAt = 0
	s.changed = true
	s.extend(now)
	return s.event(now, EventExtended, reason)
}

// restart goes by another start of the same order.
func (s *directed) restart(now, start time.Duration) {
	s.start = start
	s.schedule.start = start
	s.schedule.deadline = start + s.order.Duration
	s.extend(now)
}

// inherit takes over from the record of an older order what became of it.
func (s *directed) inherit(found Record) {
	for _, version := range found.Condemned {
		s.condemned = include(s.condemned, version)
	}
	if found.Stage == StageCompleted {
		s.condemned = slices.DeleteFunc(s.condemned, func(version fleet.SoftwareVersion) bool {
			return version == found.Order.Target
		})
	}
	s.changed = true
}

// settle takes in a final record. at is when it became known.
func (s *directed) settle(record Record, at time.Duration) {
	s.stage = record.Stage
	s.reason = record.Reason
	s.settled = at
	s.recorded = true
	s.condemned = slices.Clone(record.Condemned)
	if s.stage == StageRolledBack {
		s.condemned = include(s.condemned, s.order.Target)
	}
	s.changed = true
}

// refuse answers an order for a service that the configuration doesn't hold.
func (s *directed) refuse(now time.Duration) Step {
	if s.refused {
		return Step{}
	}
	s.refused = true
	return Step{Event: s.event(now, EventRefused, ReasonUnknownService)}
}

// advance does what is due and tells of it.
func (s *directed) advance(now time.Duration, workers []TargetWorker) Event {
	if s.stage.Final() {
		return s.tellEnd(now)
	}
	counted := s.count(workers)
	paused := s.lookedAt != 0 && now-s.lookedAt > longestPause
	s.lookedAt = now
	if paused && s.verdict != StageRolledBack {
		return s.resume(now, ReasonPaused)
	}
	s.meter.tick(now, s.asked)
	s.onlyOne = len(counted.target) == 1
	if event := s.decide(now, counted); event.Name != "" {
		return event
	}
	if s.verdict != 0 {
		return Event{}
	}
	s.chooseCanaries(now, counted.target)
	s.setShares(now)
	if event := s.planShift(now, counted); event.Name != "" {
		return event
	}
	if !s.started {
		s.started = true
		return s.event(now, EventStarted, "")
	}
	return Event{}
}

// tellEnd returns the event of a final state, once.
func (s *directed) tellEnd(now time.Duration) Event {
	if s.toldEnd {
		return Event{}
	}
	s.toldEnd = true
	if s.stage == StageCompleted {
		return s.event(now, EventCompleted, s.reason)
	}
	return s.event(now, EventRolledBack, s.reason)
}

// asked returns the part of a route's requests that the target gets now.
func (s *directed) asked(route RouteName) float64 {
	switch {
	case s.shifting:
		return 1
	case s.verdict != 0 || len(s.canaries) == 0:
		return 0
	}
	if share, named := s.shares[route]; named {
		return share
	}
	return s.share
}

// decide sets the verdict once there is one. A completion that isn't known to be
// written gives way to evidence: the store decides which write was first.
func (s *directed) decide(now time.Duration, counted workforce) Event {
	if s.verdict != StageRolledBack && slices.Contains(s.condemned, s.order.Target) {
		return s.rollBack(now, ReasonCondemned)
	}
	if s.verdict != StageRolledBack && s.judge.condemns() {
		return s.rollBack(now, ReasonBad)
	}
	if s.verdict != 0 {
		return Event{}
	}
	if s.alone(now, counted) {
		return s.complete(now, ReasonNoOld)
	}
	if s.idle(now, counted) {
		return s.complete(now, ReasonIdle)
	}
	if now < s.schedule.deadline-finishReserve {
		return Event{}
	}
	return s.decideLast(now, counted)
}

// alone tells whether only the target has been listed for a while.
func (s *directed) alone(now time.Duration, counted workforce) bool {
	if counted.oldListed > 0 || len(counted.target) == 0 {
		s.noOldFrom = 0
		return false
	}
	if s.noOldFrom == 0 {
		s.noOldFrom = now
	}
	return now-s.noOldFrom >= noOldSettles
}

// idle tells whether the old side has ended its runs after a shift.
func (s *directed) idle(now time.Duration, counted workforce) bool {
	return s.shifting && now-s.shiftAt >= settledShift && counted.oldInFlight == 0 &&
		s.ready(now, counted)
}

// ready tells whether nothing speaks against sending everything to the target.
func (s *directed) ready(now time.Duration, counted workforce) bool {
	return enough(counted) && !s.meter.silent(now) && s.suspicion() < suspiciousScore
}

// decideLast decides at the last moment before the deadline.
func (s *directed) decideLast(now time.Duration, counted workforce) Event {
	switch {
	case len(counted.target) == 0:
		return s.rollBack(now, ReasonNoWorkers)
	case !enough(counted):
		return s.rollBack(now, ReasonFewWorkers)
	case s.meter.silent(now):
		return s.resume(now, ReasonNoEvidence)
	case !s.shifting || s.suspicion() >= undecidedScore:
		return s.rollBack(now, ReasonUndecided)
	}
	return s.complete(now, ReasonLastMoment)
}

// enough tells whether the target lists the slots that the service needs. Of few workers
// one may be missing.
func enough(counted workforce) bool {
	if counted.targetSlots == 0 || counted.oldListed == 0 {
		return counted.targetSlots > 0
	}
	old := float64(counted.oldSlots)
	oneLess := old - old/float64(counted.oldListed)
	needed := max(leastSlots*old, min(neededSlots*old, oneLess))
	return float64(counted.targetSlots) >= needed
}

// suspicion returns the strongest score without its worst worker's part.
func (s *directed) suspicion() float64 {
	strongest, _ := s.judge.strongest()
	if s.onlyOne {
		return strongest.value
	}
	return strongest.value - strongest.workers[strongest.worst()]
}

func (s *directed) rollBack(now time.Duration, reason string) Event {
	s.verdict = StageRolledBack
	s.reason = reason
	s.shifting = false
	s.shiftAt = 0
	s.retryAt = now
	s.changed = true
	return s.event(now, EventDecided, reason)
}

func (s *directed) complete(now time.Duration, reason string) Event {
	s.verdict = StageCompleted
	s.reason = reason
	s.shifting = true
	s.retryAt = now
	s.changed = true
	return s.event(now, EventDecided, reason)
}

// wantedCanaries returns how many of the target's workers get the share: with more than it
// needs, their load would be below the old side's, and a fault under load wouldn't show; and
// each must answer often enough to be known.
func (s *directed) wantedCanaries(now time.Duration, targets int) int {
	asLoaded := s.share * float64(targets)
	answering := s.share * s.meter.traffic(now).rate / leastCanaryRate
	return max(leastCanaries, int(math.Round(min(asLoaded, answering))))
}

// chooseCanaries keeps those canaries that are still listed and fills up. A canary that
// may be grey gives way to a worker that isn't suspected: it has shown what it can.
func (s *directed) chooseCanaries(now time.Duration, targets []TargetWorker) {
	wanted := s.wantedCanaries(now, len(targets))
	ranked := s.rankTargets(targets)
	chosen := ranked[:min(wanted, len(ranked))]
	slices.Sort(chosen)
	if !slices.Equal(chosen, s.canaries) {
		s.canaries = chosen
		s.changed = true
	}
}

// rankTargets returns the target's workers, best canaries first: unsuspected ones before
// suspected ones, then those that are canaries, then by name.
func (s *directed) rankTargets(targets []TargetWorker) []fleet.EngineID {
	current := make(map[fleet.EngineID]bool, len(s.canaries))
	for _, worker := range s.canaries {
		current[worker] = true
	}
	rank := func(worker fleet.EngineID) int {
		switch {
		case s.suspected[worker]:
			return 2
		case current[worker]:
			return 0
		}
		return 1
	}
	ranked := make([]fleet.EngineID, 0, len(targets))
	for _, worker := range targets {
		ranked = append(ranked, worker.ID)
	}
	slices.SortFunc(ranked, func(a, b fleet.EngineID) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
	})
	return ranked
}

func (s *directed) situation(now time.Duration) situation {
	return situation{now: now, single: !s.shifting && len(s.canaries) == 1, surging: s.shifting}
}

// setShares works out the canary share anew, each sharesHold. Shares that have hardly
// changed stay: each change is told to all nodes at once.
func (s *directed) setShares(now time.Duration) {
	if s.shifting || s.sharesAt != 0 && now-s.sharesAt < sharesHold {
		return
	}
	first := s.sharesAt == 0
	s.sharesAt = now
	s.suspected = s.judge.suspects()
	seen := s.meter.traffic(now)
	share := s.schedule.share(now, seen)
	var shares map[RouteName]float64
	if seen.rate > 0 {
		shares = routeShares(share, s.meter.rates)
	}
	if !first && similar(share, s.share) && similarShares(shares, s.shares) {
		return
	}
	s.share, s.shares = share, shares
	s.changed = true
}

// similar tells whether two shares differ by less than a sixth.
func similar(a, b float64) bool {
	return math.Abs(a-b) <= max(a, b)/6
}

// similarShares tells whether two sets of shares name the same routes with similar shares.
func similarShares(a, b map[RouteName]float64) bool {
	return maps.EqualFunc(a, b, similar)
}

// planShift announces the shift, takes it back, or begins it.
func (s *directed) planShift(now time.Duration, counted workforce) Event {
	if s.shifting {
		return s.keepShift(now, counted)
	}
	begin := s.schedule.deadline - s.schedule.shift(now, s.meter.traffic(now))
	if s.shiftAt == 0 {
		begin = max(begin, now+2*LookInterval)
	}
	ready := s.ready(now, counted)
	switch {
	case !ready && s.shiftAt != 0:
		s.shiftAt = 0
		s.changed = true
		return s.event(now, EventHeld, s.holdReason(now, counted))
	case !ready || now < begin-shiftNotice || begin > s.schedule.deadline-finishReserve:
		return Event{}
	case s.shiftAt == 0:
		s.shiftAt = begin
		s.changed = true
		return s.event(now, EventAnnounced, "")
	case now >= s.shiftAt:
		s.shifting = true
		s.changed = true
		return s.event(now, EventShifting, "")
	}
	return Event{}
}

// keepShift ends a shift for which too few workers are left.
func (s *directed) keepShift(now time.Duration, counted workforce) Event {
	if enough(counted) {
		return Event{}
	}
	s.shifting = false
	s.shiftAt = 0
	s.changed = true
	return s.event(now, EventHeld, ReasonFewWorkers)
}

func (s *directed) holdReason(now time.Duration, counted workforce) string {
	switch {
	case !enough(counted):
		return ReasonFewWorkers
	case s.meter.silent(now):
		return ReasonNoEvidence
	default:
		return ReasonUndecided
	}
}

// directive returns what is asked of all nodes now. storeNow numbers changes across
// directors: it only grows, and is one clock for all of them.
func (s *directed) directive(now, storeNow time.Duration) *Directive {
	if s.changed {
		s.changed = false
		s.sequence = max(s.sequence+1, uint64(max(0, storeNow.Microseconds())))
	}
	issued := &Directive{
		Service:   s.order.Service,
		Target:    s.order.Target,
		Revision:  s.order.Revision,
		Sequence:  s.sequence,
		Stage:     StageCanary,
		Issuer:    s.self,
		IssuedAt:  now,
		Condemned: slices.Clone(s.condemned),
	}
	switch {
	case s.stage.Final():
		issued.Stage = s.stage
		issued.IssuedAt = s.settled
	case s.shifting:
		issued.Stage = StageShifting
		issued.DefaultShare = 1
	case s.verdict == 0 && s.canariesReady(now):
		issued.Shares = s.shares
		issued.DefaultShare = s.share
		issued.Canaries = slices.Clone(s.canaries)
		issued.ShiftAt = s.shiftAt
	}
	return issued
}

// canariesReady tells whether there are enough canaries to be told apart, or has waited.
func (s *directed) canariesReady(now time.Duration) bool {
	return len(s.canaries) >= leastCanaries || len(s.canaries) > 0 && now-s.schedule.start >= targetSettles
}

// write returns the record that the store lacks: that the order has begun, or its end.
func (s *directed) write(now, sinceStore time.Duration) *Record {
	if s.stage.Final() || s.recorded && s.verdict == 0 {
		return nil
	}
	if now < s.retryAt {
		return nil
	}
	s.retryAt = now + writeTimeout
	record := &Record{
		Order:     s.order,
		StartedAt: s.start - sinceStore,
		Stage:     s.wantedStage(),
		Condemned: slices.Clone(s.condemned),
	}
	if s.verdict != 0 {
		record.Reason = s.reason
	}
	if s.verdict == StageRolledBack {
		record.Condemned = include(record.Condemned, s.order.Target)
	}
	return record
}

// wantedStage returns the stage that the store's record is to have.
func (s *directed) wantedStage() Stage {
	if s.verdict != 0 {
		return s.verdict
	}
	return StageCanary
}

// event returns a line for the log with the counts behind it.
func (s *directed) event(now time.Duration, name, reason string) Event {
	score, route := s.judge.strongest()
	event := Event{
		Name:    name,
		Service: s.order.Service,
		Target:  s.order.Target,
		Stage:   s.currentStage(),
		Reason:  reason,
		Route:   route,
		Worker:  score.worst(),
		Score:   score.value,
		Bound:   condemnScore,
		Elapsed: now - s.start,
		Left:    s.schedule.deadline - now,
	}
	for candidate, judged := range s.judge.routes {
		if route == "" || candidate == route {
			event.NewAnswers += judged.newAnswers
			event.NewBad += judged.newBad
			event.OldAnswers += judged.oldAnswers
			event.OldBad += judged.oldBad
		}
	}
	return event
}

// currentStage returns the stage, or the verdict that is to be written.
func (s *directed) currentStage() Stage {
	switch {
	case s.stage.Final():
		return s.stage
	case s.verdict != 0:
		return s.verdict
	case s.shifting:
		return StageShifting
	}
	return StageCanary
}
