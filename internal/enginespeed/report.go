package enginespeed

import (
	"cmp"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const (
	// MaxReported is the maximum number of engines in a report, so that the speeds take at most
	// 450 B of it.
	MaxReported = 20
	// reportedChange is the factor by which an estimate changes at least to be reported again.
	reportedChange = 1.05
	// reportedGrowth is the factor by which the number of samples grows at least to be reported
	// again.
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
	// contactLifetime is the time without a report after which a peer counts as new.
	contactLifetime = 10 * time.Second
)

// contact records the reports to a peer.
type contact struct {
	first, last time.Duration
	// introduced is the number of engines that were sent while the peer was new.
	introduced int
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
	}
}

// isDue reports whether the values are part of reports at now.
func (s *reportedSpeed) isDue(now time.Duration) bool {
	return s.samples > 0 && now < s.changedAt+reportedFor
}

// Report returns what to report to a peer: the considerable changes of late in what this node has
// measured itself, the latest first, or all of it in turn to a new peer. It is empty while all
// engines are about as fast.
func (t *Table) Report(now time.Duration, to fleet.NodeID) []Speed {
	sent := t.contactWith(now, to)
	var due []fleet.EngineID
	for id, entry := range t.engines {
		isDue := entry.reported.isDue(now) || (sent.isNew(now) && entry.reported.samples > 0)
		if isDue && (t.uneven || !entry.factors.isEven()) {
			due = append(due, id)
		}
	}
	if sent.isNew(now) {
		due = t.nextIntroduced(due, sent)
	} else {
		slices.SortFunc(due, func(a, b fleet.EngineID) int {
			return cmp.Or(cmp.Compare(t.engines[b].reported.changedAt, t.engines[a].reported.changedAt), cmp.Compare(a, b))
		})
	}
	speeds := make([]Speed, 0, min(len(due), MaxReported))
	for _, id := range due[:min(len(due), MaxReported)] {
		entry := t.engines[id]
		speeds = append(speeds, Speed{
			Run: Run{Engine: id, StartTime: entry.startTime}, Ratios: entry.reported.ratios,
			Samples: decayed(entry.reported.samples, now-entry.reported.changedAt),
		})
	}
	return speeds
}

// nextIntroduced returns the engines that follow those sent to a new peer before.
func (t *Table) nextIntroduced(due []fleet.EngineID, sent *contact) []fleet.EngineID {
	if len(due) <= MaxReported {
		return due
	}
	slices.Sort(due)
	start := sent.introduced % len(due)
	sent.introduced += MaxReported
	return slices.Concat(due[start:], due[:start])
}
