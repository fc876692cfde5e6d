package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/lease"
)

// Report is an engine's report on its state.
type Report struct {
	// Versions holds the current version of each model.
	Versions map[fleet.ModelName]uint64
	// Busy is set while the engine carries out an order.
	Busy bool
	// Orders is the number of orders that this run has accepted.
	Orders int64
	// Running is the number of requests in flight at the engine.
	Running int
	// StartTime is when the reporting run started, in milliseconds since the Unix epoch; 0 if
	// unknown.
	StartTime uint64
}

// VersionOrder orders an engine to switch a model to a version.
type VersionOrder struct {
	Model   fleet.ModelName
	Version uint64
	Holder  lease.HolderID
	Token   fleet.FencingToken
	// ExpectedOrders is the number of orders that the engine must have accepted. An order that
	// arrives late, after another one, is thereby rejected.
	ExpectedOrders int64
}

// OrderResult is the result of an order.
type OrderResult int

// Results of orders.
const (
	// OrderUncertain means that no response arrived; the order may still be carried out.
	OrderUncertain OrderResult = iota
	// OrderAccepted means that the engine carries out the order.
	OrderAccepted
	// OrderAlreadyApplied means that the engine is already in the ordered state.
	OrderAlreadyApplied
	// OrderRejected means that the engine didn't accept the order.
	OrderRejected
)

// ErrDifferentRun means that the response came from another run of the engine than the expected
// one.
var ErrDifferentRun = errors.New("response came from a different engine run")

// Defaults of PacerOptions.
const (
	DefaultMinParallel         = 2
	DefaultUsualFraction       = 0.2
	DefaultMaxFraction         = 0.5
	DefaultChangeTime          = 2000 * time.Millisecond
	DefaultReserveFraction     = 0.1
	DefaultUnreachableParallel = 2
)

// PacerOptions configures a Pacer. Zero fields take the defaults.
type PacerOptions struct {
	// Within is the time from the publication of a version to its deadline, after which engines
	// with older versions get no more requests.
	Within time.Duration
	// MinParallel is the number of engines that may always change in parallel. UsualFraction is the
	// fraction of the engines that changes in parallel while loads don't slow each other down.
	// MaxFraction is the largest fraction, used to meet the deadline.
	MinParallel   int
	UsualFraction float64
	MaxFraction   float64
	// ChangeTime is the initial estimate of one engine's change.
	ChangeTime time.Duration
	// Reserve is how long before the deadline the last engine should have changed; 0 means a tenth
	// of Within.
	Reserve time.Duration
	// UnreachableParallel is the number of changes attempted in parallel on unreachable engines.
	UnreachableParallel int
}

// VersionedEngine is the state of an engine that the pacer needs.
type VersionedEngine struct {
	Engine  fleet.EngineID
	Version uint64
	// Changing is set while an order to the engine is in progress.
	Changing bool
	// Unreachable is set while the engine counts as unreachable. Failures is the number of
	// consecutive failed changes.
	Unreachable bool
	Failures    int
}

// publication records when a version was published or, if that is unknown, first seen.
type publication struct {
	version uint64
	at      time.Duration
	// assumed is set until a process that saw the publication has reported its time.
	assumed bool
}

// Pacer decides which engines change to a newly published version of one model, and when. A change
// empties an engine's cache and takes it out of service for a while. A usual fraction of the
// engines therefore changes in parallel, fewer if parallel loads slow each other down, and more if
// the deadline is close. The pacer has no I/O and no clock, and isn't safe for concurrent use.
type Pacer struct {
	options      PacerOptions
	publications []publication
	changeTime   time.Duration
	// usualFraction is the fraction of the engines that changes in parallel. shortestLoad is the
	// shortest time in which an engine has loaded a version.
	usualFraction float64
	shortestLoad  time.Duration
	// saturated is set while about the usual fraction is changing.
	saturated bool
	// credit is the number of changes that may start, accrued up to creditAt.
	credit   float64
	creditAt time.Duration
}

// NewPacer returns a pacer without versions.
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

// Publish adds a version that was published at the given time at the latest. It returns false if
// the version isn't newer than the newest one.
func (p *Pacer) Publish(at time.Duration, version uint64) bool { return p.add(at, version, false) }

// PublishAssumed adds a version whose publication time is unknown. The given time is assumed until
// ObservePublication replaces it.
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

// ObservePublication applies a publication time reported by another process. The earliest report is
// the most accurate, since no process sees a version before its publication. Versions that this
// process hasn't seen are added, since one published before it started is due earlier than a newer
// one.
func (p *Pacer) ObservePublication(at time.Duration, version uint64) {
	index, found := slices.BinarySearchFunc(p.publications, version, func(published publication, version uint64) int {
		return cmp.Compare(published.version, version)
	})
	if !found {
		p.publications = slices.Insert(p.publications, index, publication{version: version, at: at})
		return
	}
	published := &p.publications[index]
	if published.assumed || at < published.at {
		published.at, published.assumed = at, false
	}
}

// ResetPending restarts the period of versions that aren't due yet, after the store was unavailable
// and no process could see or order them. If only this process was cut off, the reports of others
// restore the earlier times.
func (p *Pacer) ResetPending(now, age time.Duration) {
	for index := range p.publications {
		published := &p.publications[index]
		if published.at+age > now {
			published.at = max(published.at, now)
		}
	}
}

// Publication is a version and its publication time.
type Publication struct {
	Version uint64
	At      time.Duration
}

// RecentPublications returns those of the last limit versions whose publication time isn't assumed.
func (p *Pacer) RecentPublications(limit int) []Publication {
	var recent []Publication
	for _, published := range p.publications[max(len(p.publications)-limit, 0):] {
		if !published.assumed {
			recent = append(recent, Publication{Version: published.version, At: published.at})
		}
	}
	return recent
}

// Newest returns the newest published version, or 0.
func (p *Pacer) Newest() uint64 {
	if len(p.publications) == 0 {
		return 0
	}
	return p.publications[len(p.publications)-1].version
}

// NewestDue returns the newest version that was published at least age before now, or 0.
func (p *Pacer) NewestDue(now, age time.Duration) uint64 {
	due := uint64(0)
	for _, published := range p.publications {
		if published.at+age <= now {
			due = published.version
		}
	}
	return due
}

// Ratios of a load's duration to the shortest one: from slowLoadRatio on, parallel loads slow each
// other down; below fastLoadRatio they don't.
const (
	slowLoadRatio = 1.7
	fastLoadRatio = 1.3
)

// Adjustment of the usual fraction after a load.
const (
	decreaseFactor   = 0.93
	increaseFactor   = 1.03
	minUsualFraction = 0.02
	// saturatedFraction is the fraction of the usual number of parallel changes from which a fast
	// load shows that more are possible.
	saturatedFraction = 0.8
)

// ObserveChange updates the estimates after the change of an engine, which includes loading the
// version.
func (p *Pacer) ObserveChange(duration, load time.Duration) {
	const weight = 4
	p.changeTime += (duration - p.changeTime) / weight
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

// Next returns the engines to change to the newest version now, those with the earliest deadline
// first.
func (p *Pacer) Next(now time.Duration, engines []VersionedEngine) []fleet.EngineID {
	var waiting, unreachable []VersionedEngine
	changing, unreachableChanging := 0, 0
	for _, engine := range engines {
		switch {
		case engine.Changing && engine.Unreachable:
			unreachableChanging++
		case engine.Changing:
			changing++
		case engine.Version >= p.Newest() || now < p.nextPublishedAt(engine.Version):
		case engine.Unreachable:
			unreachable = append(unreachable, engine)
		default:
			waiting = append(waiting, engine)
		}
	}
	sortByDue(waiting)
	sortByDue(unreachable)
	p.saturated = float64(changing) >= saturatedFraction*p.usualFraction*float64(len(engines))
	parallel, urgent := p.requiredParallel(now, waiting, changing, len(engines))
	allowed := min(parallel-changing, p.startAllowance(now, parallel))
	chosen := firstEngines(waiting, max(allowed, min(urgent, parallel-changing)))
	p.credit -= float64(len(chosen))
	return append(chosen, firstEngines(unreachable, p.options.UnreachableParallel-unreachableChanging)...)
}

// startAllowance returns how many changes may start now. Starts are spread over the duration of a
// change, because engines that load at the same time slow each other down.
func (p *Pacer) startAllowance(now time.Duration, parallel int) int {
	rate := float64(parallel) / p.changeTime.Seconds()
	p.credit = min(max(p.credit, 0)+(now-p.creditAt).Seconds()*rate, max(1, rate*maxCreditTime.Seconds()))
	p.creditAt = now
	return int(p.credit)
}

// maxCreditTime is the time for which unused starts accumulate.
const maxCreditTime = 200 * time.Millisecond

// firstEngines returns the identifiers of the first count engines, or of fewer if there aren't as
// many.
func firstEngines(engines []VersionedEngine, count int) []fleet.EngineID {
	var chosen []fleet.EngineID
	for _, engine := range engines[:min(max(count, 0), len(engines))] {
		chosen = append(chosen, engine.Engine)
	}
	return chosen
}

// sortByDue sorts engines by their number of failures, then by their deadline.
func sortByDue(engines []VersionedEngine) {
	slices.SortFunc(engines, func(a, b VersionedEngine) int {
		return cmp.Or(cmp.Compare(a.Failures, b.Failures), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Engine, b.Engine))
	})
}

// requiredParallel returns how many engines must change in parallel so that each waiting engine, in
// order of deadline, has changed in time, and how many of them must start now.
func (p *Pacer) requiredParallel(now time.Duration, waiting []VersionedEngine, changing, count int) (needed, urgent int) {
	needed = max(p.options.MinParallel, int(p.usualFraction*float64(count)))
	overdue := 0
	for position, engine := range waiting {
		left := p.dueAt(engine.Version) - p.options.Reserve - now
		if left < p.changeTime {
			urgent++
		}
		if left <= 0 {
			// The engine gets no more requests soon, whether it changes or not.
			overdue++
			continue
		}
		// On average, half of each change in progress is done.
		work := time.Duration(2*(position+1)+changing) * p.changeTime / 2
		needed = max(needed, int((work+left-1)/left))
	}
	most := max(int(p.options.MaxFraction*float64(count)), p.options.MinParallel)
	return max(min(needed, most), changing+overdue), urgent
}

// dueAt returns when an engine with the given version stops getting requests.
func (p *Pacer) dueAt(version uint64) time.Duration {
	return p.nextPublishedAt(version) + p.options.Within
}

// nextPublishedAt returns when the first version newer than the given one was published.
func (p *Pacer) nextPublishedAt(version uint64) time.Duration {
	for _, published := range p.publications {
		if published.version > version {
			return published.at
		}
	}
	return 0
}
