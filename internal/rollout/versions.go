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
	// OrderHolds means that the engine is in the ordered state already.
	OrderHolds
	// OrderRejected means that the engine did not take it.
	OrderRejected
)

// ErrOtherRun means that another run than the one asked has answered.
var ErrOtherRun = errors.New("another run has the address")

// Defaults of PacerOptions.
const (
	DefaultMinParallel = 4
	DefaultRounds      = 3
	DefaultLoadTime    = 2000 * time.Millisecond
	DefaultReserve     = 200 * time.Millisecond
)

// PacerOptions sets up a Pacer; zero fields take the defaults.
type PacerOptions struct {
	// Within is the time from the naming of a version after which engines that
	// don't have it or a newer one get no more requests.
	Within time.Duration
	// Rounds is the number of rounds that a pass over all engines takes: so many
	// change at once that it takes no more, MinParallel at the least.
	Rounds      int
	MinParallel int
	// LoadTime is how long one engine takes before any was measured.
	LoadTime time.Duration
	// Reserve is the time that a pass is begun earlier than it must.
	Reserve time.Duration
}

// VersionedEngine is an engine as the pacer needs to know it.
type VersionedEngine struct {
	Engine  fleet.EngineID
	Version uint64
	// Changing is set while an order to it is under way.
	Changing bool
}

// naming is when a version was named, or first heard of.
type naming struct {
	version uint64
	at      time.Duration
	// assumed is set while nobody who heard of it at once has told when.
	assumed bool
}

// Pacer decides when which engines take a newly named version of one model's
// weights. A change empties an engine's cache and costs a load, so a pass over
// the engines begins as late as its slowest part allows: versions that are
// named meanwhile are skipped. The pacer has no I/O and no clock.
type Pacer struct {
	options  PacerOptions
	namings  []naming
	loadTime time.Duration
	// target is the version that the pass under way brings everywhere; 0 between passes.
	target uint64
}

// NewPacer returns a pacer that knows of no version.
func NewPacer(options PacerOptions) *Pacer {
	if options.Rounds <= 0 {
		options.Rounds = DefaultRounds
	}
	if options.MinParallel <= 0 {
		options.MinParallel = DefaultMinParallel
	}
	if options.LoadTime <= 0 {
		options.LoadTime = DefaultLoadTime
	}
	if options.Reserve <= 0 {
		options.Reserve = DefaultReserve
	}
	return &Pacer{options: options, loadTime: options.LoadTime}
}

// Name takes in that a version was named at a time, at the latest. It returns
// false for a version that isn't newer than the newest known.
func (p *Pacer) Name(at time.Duration, version uint64) bool { return p.add(at, version, false) }

// Assume takes in a version that was named at an unknown time, for which at is
// taken until Learn tells better.
func (p *Pacer) Assume(at time.Duration, version uint64) bool { return p.add(at, version, true) }

func (p *Pacer) add(at time.Duration, version uint64, assumed bool) bool {
	if version <= p.Newest() {
		return false
	}
	p.namings = append(p.namings, naming{version: version, at: at, assumed: assumed})
	return true
}

// Learn takes in another process's word on when a version was named. The
// earliest word is the nearest, since nobody hears of a version before. Versions
// that this process never heard of count too: one that was named before it
// started is due earlier than a newer one that it has seen.
func (p *Pacer) Learn(at time.Duration, version uint64) {
	index, known := slices.BinarySearchFunc(p.namings, version, func(named naming, version uint64) int {
		return cmp.Compare(named.version, version)
	})
	if !known {
		p.namings = slices.Insert(p.namings, index, naming{version: version, at: at})
		return
	}
	named := &p.namings[index]
	if named.assumed || at < named.at {
		named.at, named.assumed = at, false
	}
}

// Hold has the time of versions that aren't due yet begin anew: nobody could
// have learnt of them, nor ordered them, while the store was out of everybody's
// reach. A process that alone was out of reach learns better from the others.
func (p *Pacer) Hold(now, age time.Duration) {
	for index := range p.namings {
		named := &p.namings[index]
		if named.at+age > now {
			named.at = max(named.at, now)
		}
	}
}

// Naming is a version and when it was named.
type Naming struct {
	Version uint64
	At      time.Duration
}

// Heard returns the latest versions whose time of naming isn't assumed, at most
// limit of them.
func (p *Pacer) Heard(limit int) []Naming {
	var heard []Naming
	for _, named := range p.namings[max(len(p.namings)-limit, 0):] {
		if !named.assumed {
			heard = append(heard, Naming{Version: named.version, At: named.at})
		}
	}
	return heard
}

// Newest returns the newest named version, or 0.
func (p *Pacer) Newest() uint64 {
	if len(p.namings) == 0 {
		return 0
	}
	return p.namings[len(p.namings)-1].version
}

// Due returns the newest version that was named at least age before now, or 0.
func (p *Pacer) Due(now, age time.Duration) uint64 {
	due := uint64(0)
	for _, named := range p.namings {
		if named.at+age <= now {
			due = named.version
		}
	}
	return due
}

// Measured takes in how long a change of one engine took.
func (p *Pacer) Measured(took time.Duration) {
	const weight = 4
	p.loadTime += (took - p.loadTime) / weight
}

// Next returns the engines to change to the newest version now, those furthest
// behind first. A pass ends when every engine has what was newest at its start.
func (p *Pacer) Next(now time.Duration, engines []VersionedEngine) []fleet.EngineID {
	if len(behind(engines, p.target)) == 0 && !changing(engines, p.target) {
		p.target = 0
	}
	if p.target == 0 && !p.begin(now, engines) {
		return nil
	}
	waiting := behind(engines, p.target)
	slices.SortFunc(waiting, func(a, b VersionedEngine) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Engine, b.Engine))
	})
	room := p.parallel(len(engines))
	for _, engine := range engines {
		if engine.Changing {
			room--
		}
	}
	var chosen []fleet.EngineID
	for _, engine := range waiting[:min(max(room, 0), len(waiting))] {
		chosen = append(chosen, engine.Engine)
	}
	return chosen
}

// begin starts a pass if one is due.
func (p *Pacer) begin(now time.Duration, engines []VersionedEngine) bool {
	newest := p.Newest()
	waiting := behind(engines, newest)
	if len(waiting) == 0 {
		return false
	}
	oldest := newest
	for _, engine := range waiting {
		oldest = min(oldest, engine.Version)
	}
	if now < p.latestStart(oldest, len(waiting), p.parallel(len(engines))) {
		return false
	}
	p.target = newest
	return true
}

// behind returns the engines with an older version than target that aren't
// changing.
func behind(engines []VersionedEngine, target uint64) []VersionedEngine {
	var older []VersionedEngine
	for _, engine := range engines {
		if !engine.Changing && engine.Version < target {
			older = append(older, engine)
		}
	}
	return older
}

// changing tells whether an engine with an older version than target is changing.
func changing(engines []VersionedEngine, target uint64) bool {
	return slices.ContainsFunc(engines, func(engine VersionedEngine) bool {
		return engine.Changing && engine.Version < target
	})
}

// parallel returns how many of count engines change at once.
func (p *Pacer) parallel(count int) int {
	return max((count+p.options.Rounds-1)/p.options.Rounds, p.options.MinParallel)
}

// latestStart returns when a pass over count engines must begin, so that all but
// its last round have the first version newer than oldest in time. The engines
// of the last round get no requests from then on; the others can carry them.
func (p *Pacer) latestStart(oldest uint64, count, parallel int) time.Duration {
	for _, named := range p.namings {
		if named.version <= oldest {
			continue
		}
		rounds := (count + parallel - 1) / parallel
		pass := time.Duration(max(rounds-1, 1)) * p.loadTime
		return named.at + p.options.Within - pass - p.options.Reserve
	}
	return 0
}
