package enginespeed

import (
	"math"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Table holds the speeds of one service's engines.
type Table struct {
	engines map[fleet.EngineID]*engine
	// sorted holds the entries by name as of the last refresh, and added those that came since.
	sorted, added []*engine
	// usual holds the median ratio over the engines; 0 if none was measured.
	usual  [kindCount]float64
	uneven bool
	// contacts holds the peers that reports were sent to.
	contacts map[fleet.NodeID]*contact
	// due holds the engines whose estimates changed of late, the latest first, and reportable all
	// that may be reported, by name. Both are as of the last refresh.
	due, reportable []*engine
	// introduced is the engine that was last sent to a new peer in turn.
	introduced fleet.EngineID
	// updated holds the engines whose factors the last refresh changed.
	updated []fleet.EngineID
	buffer  []float64
}

// New returns an empty table.
func New() *Table {
	return &Table{engines: make(map[fleet.EngineID]*engine), contacts: make(map[fleet.NodeID]*contact)}
}

// Observe adds a ratio that this node has measured. Ratios out of range are limited to it.
func (t *Table) Observe(now time.Duration, run Run, kind Kind, ratio float64) {
	entry := t.entryOf(run)
	if entry == nil || math.IsNaN(ratio) {
		return
	}
	entry.own[kind].add(now, min(max(ratio, MinRatio), MaxRatio))
	entry.reported.update(now, entry)
	entry.combine(now)
	entry.updateFactors(t.usual)
}

// Merge adds what a peer has measured itself, and returns how many of its entries were out of
// range. Entries on earlier runs are ignored.
func (t *Table) Merge(now time.Duration, node fleet.NodeID, speeds []Speed) (invalid int) {
	for _, speed := range speeds {
		if !speed.isValid() {
			invalid++
			continue
		}
		if entry := t.entryOf(speed.Run); entry != nil {
			entry.merge(now, node, speed)
			entry.combine(now)
			entry.updateFactors(t.usual)
		}
	}
	return invalid
}

// entryOf returns the entry of a run. A later run of the same engine replaces the entry; for an
// earlier one, it returns nil.
func (t *Table) entryOf(run Run) *engine {
	entry := t.engines[run.Engine]
	isLater := entry != nil && entry.startTime != 0 && run.StartTime > entry.startTime
	switch {
	case entry == nil || isLater:
		t.Forget(run.Engine)
		entry = &engine{id: run.Engine, startTime: run.StartTime, factors: Unknown(), logged: Unknown()}
		t.engines[run.Engine] = entry
		t.added = append(t.added, entry)
	case run.StartTime != 0 && run.StartTime < entry.startTime:
		return nil
	case entry.startTime == 0:
		entry.startTime = run.StartTime
	}
	return entry
}

// Factors returns the factors of a run.
func (t *Table) Factors(run Run) Factors {
	entry := t.engines[run.Engine]
	if entry == nil || (run.StartTime != 0 && entry.startTime != 0 && run.StartTime != entry.startTime) {
		return Unknown()
	}
	return entry.factors
}

// Usual returns the median ratio of a kind over the service's engines; 0 if none was measured.
func (t *Table) Usual(kind Kind) float64 { return t.usual[kind] }

// IsUneven reports whether a considerable part of the engines is faster or slower than the others.
func (t *Table) IsUneven() bool { return t.uneven }

// Len returns the number of engines with estimates.
func (t *Table) Len() int { return len(t.engines) }

// Forget drops an engine that is no longer in use.
func (t *Table) Forget(engine fleet.EngineID) {
	if entry := t.engines[engine]; entry != nil {
		entry.dropped = true
		delete(t.engines, engine)
	}
}

// Change is a considerable change of an engine's factors.
type Change struct {
	Engine   fleet.EngineID
	From, To Factors
}

// minLoggedChange is the factor by which a factor changes at least for a Change.
const minLoggedChange = 1.3

// Refresh drops lapsed estimates, updates the usual ratios and all factors, and returns the
// considerable changes. Callers call it about once a second.
func (t *Table) Refresh(now time.Duration) []Change {
	t.updated = t.updated[:0]
	t.dropLapsed(now)
	t.updateSorted()
	for kind := range kindCount {
		t.usual[kind] = t.medianOf(kind)
	}
	var changes []Change
	for _, entry := range t.sorted {
		before := entry.factors
		entry.updateFactors(t.usual)
		if before.Prefill != entry.factors.Prefill || before.Step != entry.factors.Step {
			t.updated = append(t.updated, entry.id)
		}
		if entry.factors.Samples >= sureWeight && differsBy(minLoggedChange, entry.logged.Prefill, entry.factors.Prefill) {
			changes = append(changes, Change{Engine: entry.id, From: entry.logged, To: entry.factors})
			entry.logged = entry.factors
		}
	}
	t.updateUneven()
	t.updateReportable(now)
	return changes
}

// Updated returns the engines whose factors the last refresh changed. It is valid until
// the next refresh.
func (t *Table) Updated() []fleet.EngineID { return t.updated }

// dropLapsed drops lapsed estimates and contacts and updates the weights of the others.
func (t *Table) dropLapsed(now time.Duration) {
	for _, entries := range [][]*engine{t.sorted, t.added} {
		for _, entry := range entries {
			entry.updateWeights(now)
			if !entry.dropped && entry.hasLapsed() {
				t.Forget(entry.id)
				t.updated = append(t.updated, entry.id)
			}
		}
	}
	for node, sent := range t.contacts {
		if now >= sent.last+contactLifetime {
			delete(t.contacts, node)
		}
	}
}

// updateSorted brings the sorted entries up to date. Only those that were added are sorted, since a
// sort of all takes longer than the rest of a refresh.
func (t *Table) updateSorted() {
	isDropped := func(entry *engine) bool { return entry.dropped }
	t.sorted = slices.DeleteFunc(t.sorted, isDropped)
	added := slices.DeleteFunc(t.added, isDropped)
	t.added = nil
	if len(added) == 0 {
		return
	}
	slices.SortFunc(added, compareNames)
	merged := make([]*engine, 0, len(t.sorted)+len(added))
	rest := t.sorted
	for _, entry := range added {
		before, _ := slices.BinarySearchFunc(rest, entry, compareNames)
		merged = append(append(merged, rest[:before]...), entry)
		rest = rest[before:]
	}
	t.sorted = append(merged, rest...)
}

// updateUneven decides whether the service is uneven. Only measurements of prefill count: steps
// also take longer at engines with more requests. While too few engines are measured to tell, an
// uneven service stays so until the estimates lapse.
func (t *Table) updateUneven() {
	usual, sure := t.sureMedian(sureWeight)
	weight := sureWeight
	if sure < minSureEngines {
		weight = verySureWeight
		usual, sure = t.sureMedian(weight)
	}
	if sure < 2 {
		t.uneven = t.uneven && len(t.sorted) > 0
		return
	}
	different := 0
	for _, entry := range t.sorted {
		if entry.weights[Prefill] >= weight && entry.combined[Prefill].differsFrom(usual) {
			different++
		}
	}
	share := unevenShare
	if t.uneven {
		share = evenShare
	}
	t.uneven = different > 0 && float64(different) >= share*float64(sure)
}

// sureMedian returns the median ratio of prefill over the engines with at least a weight, and their
// number. Differences are told from these engines alone: next to engines that were measured once,
// two with slow moments would all be different.
func (t *Table) sureMedian(weight float64) (median float64, sure int) {
	t.buffer = t.buffer[:0]
	for _, entry := range t.sorted {
		if entry.weights[Prefill] >= weight {
			t.buffer = append(t.buffer, entry.combined[Prefill].median)
		}
	}
	return medianOf(t.buffer), len(t.buffer)
}

// medianOf returns the median ratio over the engines, each of which counts the same.
func (t *Table) medianOf(kind Kind) float64 {
	t.buffer = t.buffer[:0]
	for _, entry := range t.sorted {
		if entry.weights[kind] >= minWeight {
			t.buffer = append(t.buffer, entry.combined[kind].median)
		}
	}
	return medianOf(t.buffer)
}

// differsBy reports whether two positive values differ by at least a factor.
func differsBy(factor, one, other float64) bool {
	return one >= other*factor || other >= one*factor
}
