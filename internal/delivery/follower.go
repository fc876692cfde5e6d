package delivery

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// completedTargetOnly is how long after a completion requests go to the target only: until
// the stop of the old workers is known everywhere. Later releases aren't held up by it.
const completedTargetOnly = 30 * time.Second

// Follower is what one node knows and does about deliveries.
type Follower struct {
	services map[fleet.PoolName]*followerState
	listings map[fleet.PoolName]*listing
}

// followerState is a follower's state of one service.
type followerState struct {
	revision fleet.Revision
	target   fleet.SoftwareVersion
	// directive is the newest one of the revision, nil if none was heard.
	directive *Directive
	// rejected is what the last directive listed. superseded holds targets of earlier
	// orders whose end isn't known here: they are avoided while others are listed.
	rejected   []fleet.SoftwareVersion
	superseded []fleet.SoftwareVersion
	// stopped is set once the node's own evidence condemns the target.
	stopped bool
	old     map[RouteName]*Counts
	new     map[RouteName]map[fleet.EngineID]*Counts
	judge   *judge
	filters filters
}

// filters are the possible answers of Choose, made when a directive or order comes, so
// that a choice allocates nothing.
type filters struct {
	// unrestricted excludes condemned versions only, and is nil if there are none.
	unrestricted, old, canary, target, completed *Filter
}

// NewFollower returns a follower that knows of no order.
func NewFollower(_ Options) *Follower {
	return &Follower{
		services: map[fleet.PoolName]*followerState{},
		listings: map[fleet.PoolName]*listing{},
	}
}

// SetOrder takes in an order that is in the store; it tells whether it is news. An
// order that is invalid or older than the one known changes nothing.
func (f *Follower) SetOrder(_ time.Duration, order Order) (bool, error) {
	if err := order.Validate(); err != nil {
		return false, errors.Wrap(err, "invalid order")
	}
	return f.acceptOrder(order.Service, order.Revision, order.Target), nil
}

// acceptOrder moves a service on to an order, unless it isn't newer than the one known.
func (f *Follower) acceptOrder(service fleet.PoolName, revision fleet.Revision, target fleet.SoftwareVersion) bool {
	before := f.services[service]
	if before != nil && revision <= before.revision {
		return false
	}
	next := &followerState{
		revision: revision,
		target:   target,
		old:      map[RouteName]*Counts{},
		new:      map[RouteName]map[fleet.EngineID]*Counts{},
		judge:    newJudge(),
	}
	if before != nil {
		next.rejected = before.rejected
		next.superseded = before.unfinishedTargets(target)
	}
	next.rebuildFilters()
	f.services[service] = next
	return true
}

// unfinishedTargets returns the targets so far whose end isn't known, but for the next.
func (s *followerState) unfinishedTargets(next fleet.SoftwareVersion) []fleet.SoftwareVersion {
	targets := slices.Clone(s.superseded)
	if s.directive == nil || !s.directive.Stage.IsFinal() {
		targets = append(targets, s.target)
	}
	return slices.DeleteFunc(targets, func(version fleet.SoftwareVersion) bool { return version == next })
}

// ApplyDirective takes a directive in, from the director or by way of another node; it tells
// whether it changed the stage or the shares.
func (f *Follower) ApplyDirective(now time.Duration, directive Directive) bool {
	if directive.Service == "" || directive.Target == "" || !directive.IsValid(now) {
		return false
	}
	directive.IssuedAt = min(directive.IssuedAt, now)
	f.acceptOrder(directive.Service, directive.Revision, directive.Target)
	known := f.services[directive.Service]
	if directive.Revision < known.revision {
		return false
	}
	if !known.replaces(now, &directive) {
		return false
	}
	changed := known.directive == nil || known.directive.Sequence != directive.Sequence || known.directive.Stage != directive.Stage
	known.directive = &directive
	if changed {
		known.rejected = slices.Clone(directive.Rejected)
		known.superseded = nil
		known.rebuildFilters()
	}
	return changed
}

// replaces tells whether a directive of the same order is to be followed instead of the
// one held: a final one stays, a lapsed one gives way to any that counts.
func (s *followerState) replaces(now time.Duration, directive *Directive) bool {
	held := s.directive
	switch {
	case held == nil:
		return true
	case held.Stage.IsFinal():
		return false
	case directive.Stage.IsFinal() || !held.IsValid(now):
		return true
	case directive.Sequence != held.Sequence:
		return directive.Sequence > held.Sequence
	default:
		return directive.IssuedAt > held.IssuedAt
	}
}

// rebuildFilters makes the choices that follow from orders and directive.
func (s *followerState) rebuildFilters() {
	made := filters{}
	if len(s.rejected) > 0 {
		made.unrestricted = &Filter{excluded: s.rejected}
	}
	made.old = &Filter{target: s.target, excluded: s.rejected, fallback: made.unrestricted}
	if len(s.superseded) > 0 {
		avoided := slices.Concat(s.rejected, s.superseded)
		made.old = &Filter{target: s.target, excluded: avoided, fallback: made.old}
	}
	if made.old.fallback == nil {
		made.old.fallback = &Filter{}
	}
	made.target = &Filter{target: s.target, targetOnly: true, excluded: s.rejected, fallback: made.old}
	canary := *made.target
	if s.directive != nil {
		canary.canaries = make(map[fleet.EngineID]bool, len(s.directive.Canaries))
		for _, worker := range s.directive.Canaries {
			canary.canaries[worker] = true
		}
	}
	made.canary = &canary
	made.completed = &Filter{target: s.target, targetOnly: true, completed: true, excluded: s.rejected, fallback: made.unrestricted}
	if made.unrestricted == nil {
		made.completed.fallback = &Filter{}
	}
	s.filters = made
}

// Directives returns the directives to pass on: those that count at now.
func (f *Follower) Directives(now time.Duration) []Directive {
	var counting []Directive
	for _, known := range f.services {
		if known.directive != nil && known.directive.IsValid(now) {
			counting = append(counting, *known.directive)
		}
	}
	return counting
}

// Filter returns what limits the choice of a worker for a request of a route, nil if
// nothing does. random is uniform in [0, 1). A request that is sent again after it was at
// the target passes again as true, and goes elsewhere: to the old side, or once that is
// being emptied to another worker of the target.
func (f *Follower) Filter(now time.Duration, service fleet.PoolName, route RouteName, random float64, again bool) *Filter {
	known := f.services[service]
	if known == nil {
		return f.filterWithoutOrder(now, service, nil)
	}
	directive := known.directive
	if directive == nil || !directive.IsValid(now) {
		return known.filters.old
	}
	switch directive.Stage {
	case StageCompleted:
		if now > directive.IssuedAt+completedTargetOnly {
			return f.filterWithoutOrder(now, service, known.filters.unrestricted)
		}
		return known.filters.completed
	case StageRolledBack:
		return f.filterWithoutOrder(now, service, known.filters.unrestricted)
	}
	if known.stopped {
		return known.filters.old
	}
	if directive.isShifted(now) {
		return known.filters.target
	}
	if again || random >= directive.routeShare(route) {
		return known.filters.old
	}
	return known.filters.canary
}

// RecordOutcome counts an outcome. It tells whether the node has just stopped sending to the
// target by its own evidence.
func (f *Follower) RecordOutcome(now time.Duration, outcome Outcome) bool {
	known := f.services[outcome.Service]
	if known == nil || known.directive != nil && known.directive.Stage.IsFinal() {
		return false
	}
	one := Counts{}
	one.add(&outcome)
	if outcome.Version != known.target {
		known.recordOld(&outcome, &one)
		return false
	}
	known.recordNew(now, &outcome, &one)
	if known.stopped || !known.judge.rejectsTarget() {
		return false
	}
	known.stopped = true
	return true
}

// recordOld counts an answer of the old side, unless it is of a version that is being
// left behind.
func (s *followerState) recordOld(outcome *Outcome, one *Counts) {
	if slices.Contains(s.rejected, outcome.Version) || slices.Contains(s.superseded, outcome.Version) {
		return
	}
	counts := s.old[outcome.Route]
	if counts == nil {
		counts = &Counts{}
		s.old[outcome.Route] = counts
	}
	counts.add(outcome)
	s.judge.observeOld(outcome.Route, one)
}

// recordNew counts an answer of the target.
func (s *followerState) recordNew(now time.Duration, outcome *Outcome, one *Counts) {
	workers := s.new[outcome.Route]
	if workers == nil {
		workers = map[fleet.EngineID]*Counts{}
		s.new[outcome.Route] = workers
	}
	counts := workers[outcome.Worker]
	if counts == nil {
		counts = &Counts{}
		workers[outcome.Worker] = counts
	}
	counts.add(outcome)
	s.judge.observeNew(s.conditions(now), outcome.Route, outcome.Worker, one)
}

func (s *followerState) conditions(now time.Duration) conditions {
	if s.directive == nil {
		return conditions{now: now}
	}
	shifted := s.directive.isShifted(now)
	return conditions{now: now, singleCanary: !shifted && len(s.directive.Canaries) == 1, surging: shifted}
}

// Evidence returns what this node has seen of services with an order that isn't
// finished.
func (f *Follower) Evidence(_ time.Duration) []Evidence {
	var all []Evidence
	for service, known := range f.services {
		if known.directive != nil && known.directive.Stage.IsFinal() {
			continue
		}
		all = append(all, known.evidence(service))
	}
	return all
}

// evidence returns a copy of the counts, which later answers don't change.
func (s *followerState) evidence(service fleet.PoolName) Evidence {
	copied := Evidence{
		Service:  service,
		Revision: s.revision,
		Old:      cloneCounts(s.old),
		New:      make(map[RouteName]map[fleet.EngineID]*Counts, len(s.new)),
		Stopped:  s.stopped,
	}
	for route, workers := range s.new {
		copied.New[route] = cloneCounts(workers)
	}
	return copied
}

// cloneCounts copies counts and the map that holds them.
func cloneCounts[K comparable](counts map[K]*Counts) map[K]*Counts {
	copied := maps.Clone(counts)
	for key, value := range copied {
		one := *value
		copied[key] = &one
	}
	return copied
}
