package delivery

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// completedLimits is how long after a completion requests go to the target only: until
// the stop of the old workers is known everywhere. Later releases aren't held up by it.
const completedLimits = 30 * time.Second

// Follower is what one node knows and does about deliveries.
type Follower struct {
	services map[fleet.PoolName]*followed
	listings map[fleet.PoolName]*listing
}

// followed is a follower's state of one service.
type followed struct {
	revision fleet.Revision
	target   fleet.SoftwareVersion
	// directive is the newest one of the revision, nil if none was heard.
	directive *Directive
	// condemned is what the last directive listed. superseded holds targets of earlier
	// orders whose end isn't known here: they are avoided while others are listed.
	condemned  []fleet.SoftwareVersion
	superseded []fleet.SoftwareVersion
	// stopped is set once the node's own evidence condemns the target.
	stopped bool
	old     map[RouteName]*Counts
	new     map[RouteName]map[fleet.EngineID]*Counts
	judge   *judge
	choices choices
}

// choices are the possible answers of Choose, made when a directive or order comes, so
// that a choice allocates nothing.
type choices struct {
	// any excludes condemned versions only, and is nil if there are none.
	any, old, canary, target, completed *Choice
}

// NewFollower returns a follower that knows of no order.
func NewFollower(_ Options) *Follower {
	return &Follower{
		services: map[fleet.PoolName]*followed{},
		listings: map[fleet.PoolName]*listing{},
	}
}

// SetOrder takes in an order that is in the store; it tells whether it is news. An
// order that is invalid or older than the one known changes nothing.
func (f *Follower) SetOrder(_ time.Duration, order Order) (bool, error) {
	if err := order.Validate(); err != nil {
		return false, errors.Wrap(err, "invalid order")
	}
	return f.advance(order.Service, order.Revision, order.Target), nil
}

// advance moves a service on to an order, unless it isn't newer than the one known.
func (f *Follower) advance(service fleet.PoolName, revision fleet.Revision, target fleet.SoftwareVersion) bool {
	before := f.services[service]
	if before != nil && revision <= before.revision {
		return false
	}
	next := &followed{
		revision: revision,
		target:   target,
		old:      map[RouteName]*Counts{},
		new:      map[RouteName]map[fleet.EngineID]*Counts{},
		judge:    newJudge(),
	}
	if before != nil {
		next.condemned = before.condemned
		next.superseded = before.unfinishedTargets(target)
	}
	next.rebuild()
	f.services[service] = next
	return true
}

// unfinishedTargets returns the targets so far whose end isn't known, but for the next.
func (s *followed) unfinishedTargets(next fleet.SoftwareVersion) []fleet.SoftwareVersion {
	targets := slices.Clone(s.superseded)
	if s.directive == nil || !s.directive.Stage.Final() {
		targets = append(targets, s.target)
	}
	return slices.DeleteFunc(targets, func(version fleet.SoftwareVersion) bool { return version == next })
}

// Take takes a directive in, from the director or by way of another node; it tells
// whether it changed the stage or the shares.
func (f *Follower) Take(now time.Duration, directive Directive) bool {
	if directive.Service == "" || directive.Target == "" || !directive.Valid(now) {
		return false
	}
	directive.IssuedAt = min(directive.IssuedAt, now)
	f.advance(directive.Service, directive.Revision, directive.Target)
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
		known.condemned = slices.Clone(directive.Condemned)
		known.superseded = nil
		known.rebuild()
	}
	return changed
}

// replaces tells whether a directive of the same order is to be followed instead of the
// one held: a final one stays, a lapsed one gives way to any that counts.
func (s *followed) replaces(now time.Duration, directive *Directive) bool {
	held := s.directive
	switch {
	case held == nil:
		return true
	case held.Stage.Final():
		return false
	case directive.Stage.Final() || !held.Valid(now):
		return true
	case directive.Sequence != held.Sequence:
		return directive.Sequence > held.Sequence
	default:
		return directive.IssuedAt > held.IssuedAt
	}
}

// rebuild makes the choices that follow from orders and directive.
func (s *followed) rebuild() {
	made := choices{}
	if len(s.condemned) > 0 {
		made.any = &Choice{condemned: s.condemned}
	}
	made.old = &Choice{target: s.target, condemned: s.condemned, fallback: made.any}
	if len(s.superseded) > 0 {
		avoided := slices.Concat(s.condemned, s.superseded)
		made.old = &Choice{target: s.target, condemned: avoided, fallback: made.old}
	}
	if made.old.fallback == nil {
		made.old.fallback = &Choice{}
	}
	made.target = &Choice{target: s.target, wantsTarget: true, condemned: s.condemned, fallback: made.old}
	canary := *made.target
	if s.directive != nil {
		canary.canaries = make(map[fleet.EngineID]bool, len(s.directive.Canaries))
		for _, worker := range s.directive.Canaries {
			canary.canaries[worker] = true
		}
	}
	made.canary = &canary
	made.completed = &Choice{target: s.target, wantsTarget: true, settled: true, condemned: s.condemned, fallback: made.any}
	if made.any == nil {
		made.completed.fallback = &Choice{}
	}
	s.choices = made
}

// Directives returns the directives to pass on: those that count at now.
func (f *Follower) Directives(now time.Duration) []Directive {
	var counting []Directive
	for _, known := range f.services {
		if known.directive != nil && known.directive.Valid(now) {
			counting = append(counting, *known.directive)
		}
	}
	return counting
}

// Choose returns what limits the choice of a worker for a request of a route, nil if
// nothing does. random is uniform in [0, 1). A request that is sent again after it was at
// the target passes again as true, and goes elsewhere: to the old side, or once that is
// being emptied to another worker of the target.
func (f *Follower) Choose(now time.Duration, service fleet.PoolName, route RouteName, random float64, again bool) *Choice {
	known := f.services[service]
	if known == nil {
		return f.undirected(now, service, nil)
	}
	directive := known.directive
	if directive == nil || !directive.Valid(now) {
		return known.choices.old
	}
	switch directive.Stage {
	case StageCompleted:
		if now > directive.IssuedAt+completedLimits {
			return f.undirected(now, service, known.choices.any)
		}
		return known.choices.completed
	case StageRolledBack:
		return f.undirected(now, service, known.choices.any)
	}
	if known.stopped {
		return known.choices.old
	}
	if directive.shifted(now) {
		return known.choices.target
	}
	if again || random >= directive.share(route) {
		return known.choices.old
	}
	return known.choices.canary
}

// Note counts an outcome. It tells whether the node has just stopped sending to the
// target by its own evidence.
func (f *Follower) Note(now time.Duration, outcome Outcome) bool {
	known := f.services[outcome.Service]
	if known == nil || known.directive != nil && known.directive.Stage.Final() {
		return false
	}
	one := Counts{}
	one.add(&outcome)
	if outcome.Version != known.target {
		known.noteOld(&outcome, &one)
		return false
	}
	known.noteNew(now, &outcome, &one)
	if known.stopped || !known.judge.condemns() {
		return false
	}
	known.stopped = true
	return true
}

// noteOld counts an answer of the old side, unless it is of a version that is being
// left behind.
func (s *followed) noteOld(outcome *Outcome, one *Counts) {
	if slices.Contains(s.condemned, outcome.Version) || slices.Contains(s.superseded, outcome.Version) {
		return
	}
	counts := s.old[outcome.Route]
	if counts == nil {
		counts = &Counts{}
		s.old[outcome.Route] = counts
	}
	counts.add(outcome)
	s.judge.noteOld(outcome.Route, one)
}

// noteNew counts an answer of the target.
func (s *followed) noteNew(now time.Duration, outcome *Outcome, one *Counts) {
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
	s.judge.noteNew(s.situation(now), outcome.Route, outcome.Worker, one)
}

func (s *followed) situation(now time.Duration) situation {
	if s.directive == nil {
		return situation{now: now}
	}
	shifted := s.directive.shifted(now)
	return situation{now: now, single: !shifted && len(s.directive.Canaries) == 1, surging: shifted}
}

// Evidence returns what this node has seen of services with an order that isn't
// finished.
func (f *Follower) Evidence(_ time.Duration) []Evidence {
	var all []Evidence
	for service, known := range f.services {
		if known.directive != nil && known.directive.Stage.Final() {
			continue
		}
		all = append(all, known.evidence(service))
	}
	return all
}

// evidence returns a copy of the counts, which later answers don't change.
func (s *followed) evidence(service fleet.PoolName) Evidence {
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
