package experiment

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
)

// resultsFile is the file name of the machine-readable results.
const resultsFile = "results.json"

// Record is the stored result of an experiment.
type Record struct {
	Label    string    `json:"label"`
	Finished time.Time `json:"finished"`
	// Seconds is the duration of the experiment with Workers concurrent runs.
	Seconds  float64   `json:"seconds"`
	Workers  int       `json:"workers"`
	Seed     uint64    `json:"seed"`
	Outcomes []Outcome `json:"outcomes"`
}

// find returns the outcome of a case, or nil if it was not run.
func (r *Record) find(wanted Case) *Outcome {
	for i := range r.Outcomes {
		if r.Outcomes[i].Case == wanted {
			return &r.Outcomes[i]
		}
	}
	return nil
}

func (r *Record) save(directory string) error {
	encoded, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	return os.WriteFile(filepath.Join(directory, resultsFile), append(encoded, '\n'), 0o644)
}

// latestRecord returns the most recently finished record under root whose label is not except, or
// nil if there is none.
func latestRecord(root, except string) (*Record, error) {
	paths, err := filepath.Glob(filepath.Join(root, "*", resultsFile))
	if err != nil {
		return nil, err
	}
	var latest *Record
	for _, path := range paths {
		record, err := loadRecord(path)
		if err != nil {
			return nil, err
		}
		if record.Label != except && (latest == nil || record.Finished.After(latest.Finished)) {
			latest = record
		}
	}
	return latest, nil
}

func loadRecord(path string) (*Record, error) {
	encoded, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var record Record
	if err := json.Unmarshal(encoded, &record); err != nil {
		return nil, errors.Wrapf(err, "parse %s", path)
	}
	return &record, nil
}
