package quarantine

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// StoredCrashes are the crashes that a stored row lists. A row holds no times, since clocks differ and it
// outlives its writer.
type StoredCrashes struct {
	// Workers are the workers that crashed, the earliest first.
	Workers []fleet.EngineID
	// Causes holds how many workers in turn crashed at once. If it is empty, each crashed by itself.
	Causes []int
}

// HasValidCauses reports whether Causes, if there are any, cover all workers.
func (s StoredCrashes) HasValidCauses() bool {
	sum := 0
	for _, size := range s.Causes {
		if size <= 0 || size > len(s.Workers)-sum {
			return false
		}
		sum += size
	}
	return len(s.Causes) == 0 || sum == len(s.Workers)
}

// byCause returns the workers that crashed at once, by cause.
func (s StoredCrashes) byCause() [][]fleet.EngineID {
	var causes [][]fleet.EngineID
	workers := s.Workers
	for _, size := range s.Causes {
		causes, workers = append(causes, workers[:size]), workers[size:]
	}
	for _, worker := range workers {
		causes = append(causes, []fleet.EngineID{worker})
	}
	return causes
}

// StoredCrashes returns what the row of a record lists: its last crashes, as many as count against it. Of a
// quarantined part it lists all, since they explain those of parts that came with it.
func (t *Tracker) StoredCrashes(record *Record) StoredCrashes {
	crashes := t.countedCrashes(record)
	if !record.Fingerprint.IsPart() {
		return StoredCrashes{Workers: workersOf(crashes)}
	}
	for counted := t.crashCount(record); !record.Quarantined && countCauses(crashes) > counted; {
		crashes = crashes[firstCauseSize(crashes):]
	}
	stored := StoredCrashes{Workers: workersOf(crashes)}
	if countCauses(crashes) == len(crashes) {
		return stored
	}
	for rest := crashes; len(rest) > 0; rest = rest[firstCauseSize(rest):] {
		stored.Causes = append(stored.Causes, firstCauseSize(rest))
	}
	return stored
}

func workersOf(crashes []Crash) []fleet.EngineID {
	workers := make([]fleet.EngineID, len(crashes))
	for index, crash := range crashes {
		workers[index] = crash.Worker
	}
	return workers
}

// StoredRecord returns the record of a stored row. Its last crashes and trials count as of now, earlier crashes of
// a part as long before them as they need to count by themselves. Workers that crashed at once did so when one of
// them is known to have crashed.
func (t *Tracker) StoredRecord(now time.Duration, fingerprint Fingerprint, crashes StoredCrashes, trials int, quarantined bool) Record {
	record := Record{Fingerprint: fingerprint, Trials: trials, Quarantined: quarantined}
	if trials > 0 {
		record.LastTrialAt = now
	}
	if !fingerprint.IsPart() {
		for _, worker := range crashes.Workers {
			record.Crashes = append(record.Crashes, Crash{Worker: worker, At: now})
		}
		return record
	}
	causes := crashes.byCause()
	for index, workers := range causes {
		at := now - time.Duration(len(causes)-1-index)*sameCause
		for _, worker := range workers {
			if known, found := t.parts.known[worker]; found {
				at = min(at, known)
			}
		}
		for _, worker := range workers {
			record.Crashes = append(record.Crashes, Crash{Worker: worker, At: at})
		}
	}
	return record
}
