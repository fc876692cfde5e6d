package delivery

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// completedTargetOnly is how long after a completion requests go to the target only. By then all
// nodes know that the old workers have stopped, and later releases aren't restricted.
const completedTargetOnly = 30 * time.Second

// Follower applies directives and collects evidence on one node.
type Follower struct {
	services map[fleet.PoolName]*followerState
	listings map[fleet.PoolName]*listing
}

// followerState is the follower's state of one service.
type followerState struct {
	revision fleet.Revision
	target   fleet.SoftwareVersion
	// directive is the newest directive of the revision, nil if none was received.
	directive *Directive
	// rejected is the list of the last directive. superseded holds targets of earlier orders whose
	// outcome isn't known here; they are avoided while other workers are listed.
	rejected   []fleet.SoftwareVersion
	superseded []fleet.SoftwareVersion
	// stopped is set once the node's own evidence rejects the target.
	stopped bool
	old     map[RouteName]*Counts
	new     map[RouteName]map[fleet.EngineID]*Counts
	judge   *judge
	filters filters
}

// filters are the possible results of Follower.Filter. They are built when an order or directive
// arrives, so that filtering a request allocates nothing.
type filters struct {
	// unrestricted excludes rejected versions only; nil if there are none.
	unrestricted, old, canary, target, completed *Filter
}

// NewFollower returns a follower without orders.
func NewFollower(_ Options) *Follower {
	return &Follower{
		services: map[fleet.PoolName]*followerState{},
		listings: map[fleet.PoolName]*listing{},
	}
}

// SetOrder sets a service's order and reports whether it is newer than the current one. An invalid
// or older order changes nothing.
func (f *Follower) SetOrder(_ time.Duration, order Order) (bool, error) {
	if err := order.Validate(); err != nil {
		return false, errors.Wrap(err, "invalid order")
	}
	return f.acceptOrder(order.Service, order.Revision, order.Target), nil
}

// acceptOrder moves a service to a newer order and reports whether it was newer.
func (f *Follower) acceptOrder(service fleet.PoolName, revision fleet.Revision, target fleet.SoftwareVersion) bool {
	previous := f.services[service]
	if previous != nil && revision <= previous.revision {
		return false
	}
	if previous != nil && continues(target, previous.target, revision, previous.revision) {
		previous.moveTo(revision)
		return false
	}
	next := &followerState{
		revision: revision,
		target:   target,
		old:      map[RouteName]*Counts{},
		new:      map[RouteName]map[fleet.EngineID]*Counts{},
		judge:    newJudge(),
	}
	if previous != nil {
		next.rejected = previous.rejected
		next.superseded = previous.unfinishedTargets(target)
	}
	next.rebuildFilters()
	f.services[service] = next
	return true
}

// moveTo gives the order the revision at which it was written again.
func (s *followerState) moveTo(revision fleet.Revision) {
	s.revision = revision
	if s.directive != nil {
		s.directive.Revision = revision
	}
}

// unfinishedTargets returns the previous targets without a known outcome, except next.
func (s *followerState) unfinishedTargets(next fleet.SoftwareVersion) []fleet.SoftwareVersion {
	targets := slices.Clone(s.superseded)
	if s.directive == nil || !s.directive.Stage.IsFinal() {
		targets = append(targets, s.target)
	}
	return slices.DeleteFunc(targets, func(version fleet.SoftwareVersion) bool { return version == next })
}

// ApplyDirective applies a directive received from the director or through another node. It reports
// whether the stage or the shares have changed.
func (f *Follower) ApplyDirective(now time.Duration, directive Directive) bool {
	if directive.Service == "" || directive.Target == "" || !directive.IsValid(now) {
		return false
	}
	directive.IssuedAt = min(directive.IssuedAt, now)
	f.acceptOrder(directive.Service, directive.Revision, directive.Target)
	state := f.services[directive.Service]
	if continues(directive.Target, state.target, directive.Revision, state.revision) {
		directive.Revision = state.revision
	}
	if directive.Revision < state.revision {
		return false
	}
	if !state.replaces(now, &directive) {
		return false
	}
	changed := state.directive == nil || state.directive.Sequence != directive.Sequence || state.directive.Stage != directive.Stage
	state.directive = &directive
	if changed {
		state.rejected = slices.Clone(directive.Rejected)
		state.superseded = nil
		state.rebuildFilters()
	}
	return changed
}

// replaces reports whether a directive of the same order replaces the current one. A final
// directive is never replaced; an expired one is replaced by any valid one.
func (s *followerState) replaces(now time.Duration, directive *Directive) bool {
	current := s.directive
	switch {
	case current == nil:
		return true
	case current.Stage.IsFinal():
		return false
	case directive.Stage.IsFinal() || !current.IsValid(now):
		return true
	case directive.Sequence != current.Sequence:
		return directive.Sequence > current.Sequence
	default:
		return directive.IssuedAt > current.IssuedAt
	}
}

// rebuildFilters builds the filters for the current order and directive.
func (s *followerState) rebuildFilters() {
	built := filters{}
	if len(s.rejected) > 0 {
		built.unrestricted = &Filter{excluded: s.rejected}
	}
	built.old = &Filter{target: s.target, excluded: s.rejected, fallback: built.unrestricted}
	if len(s.superseded) > 0 {
		avoided := slices.Concat(s.rejected, s.superseded)
		built.old = &Filter{target: s.target, excluded: avoided, fallback: built.old}
	}
	if built.old.fallback == nil {
		built.old.fallback = &Filter{}
	}
	built.target = &Filter{target: s.target, targetOnly: true, excluded: s.rejected, fallback: built.old}
	canary := *built.target
	if s.directive != nil {
		canary.canaries = make(map[fleet.EngineID]bool, len(s.directive.Canaries))
		for _, worker := range s.directive.Canaries {
			canary.canaries[worker] = true
		}
	}
	built.canary = &canary
	built.completed = &Filter{target: s.target, targetOnly: true, completed: true, excluded: s.rejected, fallback: built.unrestricted}
	if built.unrestricted == nil {
		built.completed.fallback = &Filter{}
	}
	s.filters = built
}

// Directives returns the directives that are valid at now, to be relayed to other nodes.
func (f *Follower) Directives(now time.Duration) []Directive {
	var valid []Directive
	for _, state := range f.services {
		if state.directive != nil && state.directive.IsValid(now) {
			valid = append(valid, *state.directive)
		}
	}
	return valid
}

// Filter returns the filter for a request of a route, nil if all workers are allowed. random is
// uniform in [0, 1). retry is set for a request that is retried after the target got it: it goes to
// the old workers or, during and after the shift, to any worker of the target.
func (f *Follower) Filter(now time.Duration, service fleet.PoolName, route RouteName, random float64, retry bool) *Filter {
	state := f.services[service]
	if state == nil {
		return f.filterWithoutOrder(now, service, nil)
	}
	directive := state.directive
	if directive == nil || !directive.IsValid(now) {
		return state.filters.old
	}
	switch directive.Stage {
	case StageCompleted:
		if now > directive.IssuedAt+completedTargetOnly {
			return f.filterWithoutOrder(now, service, state.filters.unrestricted)
		}
		return state.filters.completed
	case StageRolledBack:
		return f.filterWithoutOrder(now, service, state.filters.unrestricted)
	}
	if state.stopped {
		return state.filters.old
	}
	if directive.isShifted(now) {
		return state.filters.target
	}
	if retry || random >= directive.routeShare(route) {
		return state.filters.old
	}
	return state.filters.canary
}

// RecordOutcome counts an outcome. It reports whether the node has just stopped sending to the
// target because of its own evidence.
func (f *Follower) RecordOutcome(now time.Duration, outcome Outcome) bool {
	state := f.services[outcome.Service]
	if state == nil || state.directive != nil && state.directive.Stage.IsFinal() {
		return false
	}
	delta := Counts{}
	delta.add(&outcome)
	if outcome.Version != state.target {
		state.recordOld(&outcome, &delta)
		return false
	}
	state.recordNew(now, &outcome, &delta)
	if state.stopped || !state.judge.rejectsTarget() {
		return false
	}
	state.stopped = true
	return true
}

// recordOld counts a response of an old worker, unless its version is rejected or superseded.
func (s *followerState) recordOld(outcome *Outcome, delta *Counts) {
	if slices.Contains(s.rejected, outcome.Version) || slices.Contains(s.superseded, outcome.Version) {
		return
	}
	counts := s.old[outcome.Route]
	if counts == nil {
		counts = &Counts{}
		s.old[outcome.Route] = counts
	}
	counts.add(outcome)
	s.judge.observeOld(outcome.Route, delta)
}

// recordNew counts a response of a worker of the target.
func (s *followerState) recordNew(now time.Duration, outcome *Outcome, delta *Counts) {
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
	s.judge.observeNew(s.conditions(now), outcome.Route, outcome.Worker, delta)
}

func (s *followerState) conditions(now time.Duration) conditions {
	if s.directive == nil {
		return conditions{now: now}
	}
	shifted := s.directive.isShifted(now)
	return conditions{now: now, singleCanary: !shifted && len(s.directive.Canaries) == 1, surging: shifted}
}

// Evidence returns this node's evidence for all services with an unfinished order.
func (f *Follower) Evidence(_ time.Duration) []Evidence {
	var all []Evidence
	for service, state := range f.services {
		if state.directive != nil && state.directive.Stage.IsFinal() {
			continue
		}
		all = append(all, state.evidence(service))
	}
	return all
}

// evidence returns a copy of the counts that later responses don't change.
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

// cloneCounts returns a deep copy of the counts.
func cloneCounts[K comparable](counts map[K]*Counts) map[K]*Counts {
	copied := maps.Clone(counts)
	for key, value := range copied {
		clone := *value
		copied[key] = &clone
	}
	return copied
}
