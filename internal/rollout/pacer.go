package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/lease"
)

// Report is an engine's own word on its state.
type Report struct {
	// Versions holds the version of each model.
	Versions map[fleet.ModelName]uint64
	// Busy is set while an order is being carried out.
	Busy bool
	// Orders counts the orders that this run has taken.
	Orders int64
	// Running counts the requests that it works on.
	Running int
	// StartTime is when the run that answers started, in milliseconds since 1970; 0 if it didn't
	// say.
	StartTime uint64
}

// VersionOrder has an engine take a version of a model's weights.
type VersionOrder struct {
	Model   fleet.ModelName
	Version uint64
	Holder  lease.HolderID
	Token   fleet.FencingToken
	// ExpectedOrders is the count of orders that the engine must have, so that an
	// order which arrives late, behind another one, changes nothing.
	ExpectedOrders int64
}

// OrderResult tells what became of an order.
type OrderResult int

// Results of orders.
const (
	// OrderUncertain means that no answer came: the order may still be carried out.
	OrderUncertain OrderResult = iota
	// OrderAccepted means that it is being carried out.
	OrderAccepted
	// OrderAlreadyApplied means that the engine is in the ordered state already.
	OrderAlreadyApplied
	// OrderRejected means that the engine did not take it.
	OrderRejected
)

// ErrDifferentRun means that another run than the one asked has answered.
var ErrDifferentRun = errors.New("another run has the address")

// Defaults of PacerOptions.
const (
	DefaultMinParallel         = 2
	DefaultUsualFraction       = 0.2
	DefaultMaxFraction         = 0.5
	DefaultChangeTime          = 2000 * time.Millisecond
	DefaultReserveFraction     = 0.1
	DefaultUnreachableParallel = 2
)

// PacerOptions sets up a Pacer; zero fields take the defaults.
type PacerOptions struct {
	// Within is the time from the naming of a version after which engines that
	// don't have it or a newer one get no more requests.
	Within time.Duration
	// MinParallel is the number of engines that may always change at once, UsualPart
	// the part of the engines that does while loads don't slow each other down, and
	// MaxPart the greatest part that changes at once before the engines are due.
	MinParallel   int
	UsualFraction float64
	MaxFraction   float64
	// ChangeTime is how long one engine takes before any was measured.
	ChangeTime time.Duration
	// Reserve is how much before it is due the last engine should have changed; 0
	// means a tenth of Within.
	Reserve time.Duration
	// UnreachableParallel is the number of engines that changes are tried at once of those that
	// can't be reached.
	UnreachableParallel int
}

// VersionedEngine is an engine as the pacer needs to know it.
type VersionedEngine struct {
	Engine  fleet.EngineID
	Version uint64
	// Changing is set while an order to it is under way.
	Changing bool
	// Unreachable is set while it can't be reached, by what is known. Failures counts
	// the changes in a row that failed.
	Unreachable bool
	Failures    int
}

// publication is when a version was named, or first heard of.
type publication struct {
	version uint64
	at      time.Duration
	// assumed is set while nobody who heard of it at once has told when.
	assumed bool
}

// Pacer decides when which engines take a newly named version of one model's
// weights. A change empties an engine's cache and keeps requests away from it, and
// what begins on replaced weights is worth less: so a usual part of the engines
// changes at once, fewer if loads at once slow each other down, more if they are
// due. The pacer has no I/O and no clock.
type Pacer struct {
	options      PacerOptions
	publications []publication
	changeTime   time.Duration
	// usualFraction is the part of the engines that changes at once, shortestLoad the
	// shortest load of weights so far.
	usualFraction float64
	shortestLoad  time.Duration
	// saturated is set while about the usual part changes.
	saturated bool
	// credit is the part of a change that may begin, by the time since creditAt.
	credit   float64
	creditAt time.Duration
}

// NewPacer returns a pacer that knows of no version.
func NewPacer(options PacerOptions) *Pacer {
	if options.MinParallel <= 0 {
		options.MinParallel = DefaultMinParallel
	}
	if options.UsualFraction <= 0 {
		options.UsualFraction = DefaultUsualFraction
	}
	if options.MaxFraction <= 0 {
		options.MaxFraction = DefaultMaxFraction
	}
	if options.ChangeTime <= 0 {
		options.ChangeTime = DefaultChangeTime
	}
	if options.Reserve <= 0 {
		options.Reserve = time.Duration(float64(options.Within) * DefaultReserveFraction)
	}
	if options.UnreachableParallel <= 0 {
		options.UnreachableParallel = DefaultUnreachableParallel
	}
	return &Pacer{options: options, changeTime: options.ChangeTime, usualFraction: options.UsualFraction}
}

// Publish takes in that a version was named at a time, at the latest. It returns
// false for a version that isn't newer than the newest known.
func (p *Pacer) Publish(at time.Duration, version uint64) bool { return p.add(at, version, false) }

// PublishAssumed takes in a version that was named at an unknown time, for which at is
// taken until Learn tells better.
func (p *Pacer) PublishAssumed(at time.Duration, version uint64) bool {
	return p.add(at, version, true)
}

func (p *Pacer) add(at time.Duration, version uint64, assumed bool) bool {
	if version <= p.Newest() {
		return false
	}
	p.publications = append(p.publications, publication{version: version, at: at, assumed: assumed})
	return true
}

// LearnPublication takes in another process's word on when a version was named. The
// earliest word is the nearest, since nobody hears of a version before. Versions
// that this process never heard of count too: one that was named before it
// started is due earlier than a newer one that it has seen.
func (p *Pacer) LearnPublication(at time.Duration, version uint64) {
	index, known := slices.BinarySearchFunc(p.publications, version, func(named publication, version uint64) int {
		return cmp.Compare(named.version, version)
	})
	if !known {
		p.publications = slices.Insert(p.publications, index, publication{version: version, at: at})
		return
	}
	named := &p.publications[index]
	if named.assumed || at < named.at {
		named.at, named.assumed = at, false
	}
}

// ResetPending has the time of versions that aren't due yet begin anew: nobody could
// have learnt of them, nor ordered them, while the store was out of everybody's
// reach. A process that alone was out of reach learns better from the others.
func (p *Pacer) ResetPending(now, age time.Duration) {
	for index := range p.publications {
		named := &p.publications[index]
		if named.at+age > now {
			named.at = max(named.at, now)
		}
	}
}

// Publication is a version and when it was named.
type Publication struct {
	Version uint64
	At      time.Duration
}

// RecentPublications returns the latest versions whose time of naming isn't assumed, at most
// limit of them.
func (p *Pacer) RecentPublications(limit int) []Publication {
	var heard []Publication
	for _, named := range p.publications[max(len(p.publications)-limit, 0):] {
		if !named.assumed {
			heard = append(heard, Publication{Version: named.version, At: named.at})
		}
	}
	return heard
}

// Newest returns the newest named version, or 0.
func (p *Pacer) Newest() uint64 {
	if len(p.publications) == 0 {
		return 0
	}
	return p.publications[len(p.publications)-1].version
}

// NewestDue returns the newest version that was named at least age before now, or 0.
func (p *Pacer) NewestDue(now, age time.Duration) uint64 {
	due := uint64(0)
	for _, named := range p.publications {
		if named.at+age <= now {
			due = named.version
		}
	}
	return due
}

// Loads that take so many times as long as the shortest one have slowed each other
// down, or have not.
const (
	slowLoadRatio = 1.7
	fastLoadRatio = 1.3
)

// Factors by which the usual part changes after a load, and its least value.
const (
	decreaseFactor   = 0.93
	increaseFactor   = 1.03
	minUsualFraction = 0.02
	// saturatedFraction is the part of the usual number from which on loads show whether more
	// could be at once.
	saturatedFraction = 0.8
)

// ObserveChange takes in how long a change of one engine took, and the load of weights
// in it.
func (p *Pacer) ObserveChange(took, load time.Duration) {
	const weight = 4
	p.changeTime += (took - p.changeTime) / weight
	if p.shortestLoad == 0 || load < p.shortestLoad {
		p.shortestLoad = load
	}
	switch ratio := float64(load) / float64(max(p.shortestLoad, 1)); {
	case ratio > slowLoadRatio:
		p.usualFraction = max(p.usualFraction*decreaseFactor, minUsualFraction)
	case ratio < fastLoadRatio && p.saturated:
		p.usualFraction = min(p.usualFraction*increaseFactor, p.options.UsualFraction)
	}
}

// Next returns the engines to change to the newest version now, those that are
// due first before others.
func (p *Pacer) Next(now time.Duration, engines []VersionedEngine) []fleet.EngineID {
	var waiting, doubtful []VersionedEngine
	changing, trying := 0, 0
	for _, engine := range engines {
		switch {
		case engine.Changing && engine.Unreachable:
			trying++
		case engine.Changing:
			changing++
		case engine.Version >= p.Newest() || now < p.nextPublishedAt(engine.Version):
		case engine.Unreachable:
			doubtful = append(doubtful, engine)
		default:
			waiting = append(waiting, engine)
		}
	}
	sortByDue(waiting)
	sortByDue(doubtful)
	p.saturated = float64(changing) >= saturatedFraction*p.usualFraction*float64(len(engines))
	parallel, urgent := p.requiredParallel(now, waiting, changing, len(engines))
	room := min(parallel-changing, p.startAllowance(now, parallel))
	chosen := firstEngines(waiting, max(room, min(urgent, parallel-changing)))
	p.credit -= float64(len(chosen))
	return append(chosen, firstEngines(doubtful, p.options.UnreachableParallel-trying)...)
}

// startAllowance returns how many changes may begin now so that so many are under way at
// a time, one after the other: engines that load at once slow each other down.
func (p *Pacer) startAllowance(now time.Duration, parallel int) int {
	rate := float64(parallel) / p.changeTime.Seconds()
	p.credit = min(max(p.credit, 0)+(now-p.creditAt).Seconds()*rate, max(1, rate*maxCreditTime.Seconds()))
	p.creditAt = now
	return int(p.credit)
}

// maxCreditTime is the time for which changes that could have begun are saved up.
const maxCreditTime = 200 * time.Millisecond

// firstEngines returns the identifiers of at most count engines.
func firstEngines(engines []VersionedEngine, count int) []fleet.EngineID {
	var chosen []fleet.EngineID
	for _, engine := range engines[:min(max(count, 0), len(engines))] {
		chosen = append(chosen, engine.Engine)
	}
	return chosen
}

// sortByDue orders engines by when they are due, those first that failed least.
func sortByDue(engines []VersionedEngine) {
	slices.SortFunc(engines, func(a, b VersionedEngine) int {
		return cmp.Or(cmp.Compare(a.Failures, b.Failures), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Engine, b.Engine))
	})
}

// requiredParallel returns how many engines are to change at once so that each of those
// that wait, in order of when they are due, has changed in time, and how many of
// them must begin now for that.
func (p *Pacer) requiredParallel(now time.Duration, waiting []VersionedEngine, changing, count int) (needed, urgent int) {
	needed = max(p.options.MinParallel, int(p.usualFraction*float64(count)))
	overdue := 0
	for position, engine := range waiting {
		left := p.dueAt(engine.Version) - p.options.Reserve - now
		if left < p.changeTime {
			urgent++
		}
		if left <= 0 {
			// It gets no requests soon whether it changes or not.
			overdue++
			continue
		}
		// Of the changes under way, half of the time is over in the mean.
		work := time.Duration(2*(position+1)+changing) * p.changeTime / 2
		needed = max(needed, int((work+left-1)/left))
	}
	most := max(int(p.options.MaxFraction*float64(count)), p.options.MinParallel)
	return max(min(needed, most), changing+overdue), urgent
}

// dueAt returns when an engine with a version gets no more requests.
func (p *Pacer) dueAt(version uint64) time.Duration {
	return p.nextPublishedAt(version) + p.options.Within
}

// nextPublishedAt returns when the first version newer than the given one was named.
func (p *Pacer) nextPublishedAt(version uint64) time.Duration {
	for _, named := range p.publications {
		if named.version > version {
			return named.at
		}
	}
	return 0
}
