package enginespeed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const (
	// MaxReported is the maximum number of engines in a report, so that the speeds take at most
	// 450 B of it.
	MaxReported = 20
	// reportedChange is the factor by which an estimate changes at least to be reported again: well
	// within evenFactor, so that peers agree on which engines differ.
	reportedChange = 1.05
	// reportedGrowth is the factor by which the number of samples grows at least to be reported
	// again: 1, 2, 3, 5, 8 and so on, so that few measurements are known soon and many aren't sent
	// each time.
	reportedGrowth = 1.5
	// renewalInterval is the time after which an engine that is still being measured is reported
	// again, before peers discount the previous report much.
	renewalInterval = 10 * time.Second
	// reportedFor is how long a change is part of the reports: as long as it takes to exchange
	// reports with all load-sharing peers of a fleet of medium size.
	reportedFor = 3 * time.Second
	// introductionPeriod is how long a new peer is sent everything that was measured rather than
	// the changes.
	introductionPeriod = 3 * time.Second
	// minReportedSamples is the number of samples below which an estimate isn't reported: reports
	// hold whole numbers, and it would round to none. It is above minWeight.
	minReportedSamples = 0.5
	// contactLifetime is the time without a report after which a peer counts as new.
	contactLifetime = 10 * time.Second
)

// contact records the reports to a peer.
type contact struct {
	first, last time.Duration
}

// contactWith records a report to a peer.
func (t *Table) contactWith(now time.Duration, node fleet.NodeID) *contact {
	sent := t.contacts[node]
	if sent == nil || now >= sent.last+contactLifetime {
		sent = &contact{first: now}
		t.contacts[node] = sent
	}
	sent.last = now
	return sent
}

// isNew reports whether the peer is new.
func (c *contact) isNew(now time.Duration) bool { return now < c.first+introductionPeriod }

// reportedSpeed is what this node has measured of a run, as of its last considerable change.
type reportedSpeed struct {
	ratios    [kindCount]float64
	samples   float64
	changedAt time.Duration
	// lapsesAt is when fewer than minReportedSamples are left.
	lapsesAt time.Duration
}

// update replaces the values if they have changed considerably.
func (s *reportedSpeed) update(now time.Duration, measured *engine) {
	var buffer [maxMeasurements]weightedRatio
	var ratios [kindCount]float64
	samples := 0.0
	changed := s.samples == 0 || now >= s.changedAt+renewalInterval
	for kind := range kindCount {
		own := estimateOf(measured.own[kind].appendTo(now, buffer[:0]))
		ratios[kind] = own.median
		changed = changed || differsBy(reportedChange, max(ratios[kind], MinRatio), max(s.ratios[kind], MinRatio))
		if samples == 0 {
			samples = own.weight
		}
	}
	if changed || samples >= s.samples*reportedGrowth {
		*s = reportedSpeed{ratios: ratios, samples: samples, changedAt: now}
		s.lapsesAt = now + time.Duration(math.Log2(samples/minReportedSamples)*float64(halfLife))
	}
}

// isDue reports whether the values are part of reports at now.
func (s *reportedSpeed) isDue(now time.Duration) bool {
	return s.samples > 0 && now < s.changedAt+reportedFor
}

// updateReportable collects what reports are made of, so that a report only takes a part of it.
// Nothing is reported while all engines are about as fast.
func (t *Table) updateReportable(now time.Duration) {
	clear(t.due)
	clear(t.reportable)
	t.due, t.reportable = t.due[:0], t.reportable[:0]
	for _, entry := range t.sorted {
		if now >= entry.reported.lapsesAt || (!t.uneven && entry.factors.isEven()) {
			continue
		}
		t.reportable = append(t.reportable, entry)
		if entry.reported.isDue(now) {
			t.due = append(t.due, entry)
		}
	}
	slices.SortFunc(t.due, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(b.reported.changedAt, a.reported.changedAt), compareNames(a, b))
	})
}

func compareNames(a, b *engine) int { return cmp.Compare(a.id, b.id) }

// Report returns what to report to a peer in a room of at most MaxReported entries, as of the last refresh: the considerable changes of late
// in what this node has measured itself, the latest first, and to a new peer also the rest in turn.
// It is empty while all engines are about as fast.
func (t *Table) Report(now time.Duration, to fleet.NodeID, room int) []Speed {
	if room <= 0 {
		return nil
	}
	sent := t.contactWith(now, to)
	if len(t.reportable) == 0 {
		return nil
	}
	changes := room
	if sent.isNew(now) {
		// Where changes alone fill reports, peers that are always new would never hear of the rest.
		changes = room / 2
	}
	var speeds []Speed
	for _, entry := range t.due {
		if len(speeds) == changes || !entry.reported.isDue(now) {
			break
		}
		speeds = t.appendSpeed(speeds, now, entry)
	}
	if sent.isNew(now) {
		speeds = t.appendInTurn(speeds, now, room)
	}
	return speeds
}

// appendInTurn fills a report with the engines that follow those last sent in turn. The turn is
// kept for all peers together: where a peer is met so rarely that it is new each time, a turn of its
// own would always begin anew.
func (t *Table) appendInTurn(speeds []Speed, now time.Duration, room int) []Speed {
	start, found := slices.BinarySearchFunc(t.reportable, t.introduced, func(entry *engine, id fleet.EngineID) int {
		return cmp.Compare(entry.id, id)
	})
	if found {
		start++
	}
	latest := speeds
	for offset := range t.reportable {
		if len(speeds) >= room {
			break
		}
		entry := t.reportable[(start+offset)%len(t.reportable)]
		t.introduced = entry.id
		if !slices.ContainsFunc(latest, func(speed Speed) bool { return speed.Engine == entry.id }) {
			speeds = t.appendSpeed(speeds, now, entry)
		}
	}
	return speeds
}

// appendSpeed appends what this node has measured of an engine, unless it was dropped meanwhile or
// is too old.
func (t *Table) appendSpeed(speeds []Speed, now time.Duration, entry *engine) []Speed {
	if entry.dropped || now >= entry.reported.lapsesAt {
		return speeds
	}
	return append(speeds, Speed{
		Run: Run{Engine: entry.id, StartTime: entry.startTime}, Ratios: entry.reported.ratios,
		Samples: decayed(entry.reported.samples, now-entry.reported.changedAt),
	})
}
