package lease

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// ErrMalformedRecord means that the lease's row can't be read, so that the
// lease can neither be challenged nor taken.
var ErrMalformedRecord = errors.New("malformed lease record")

// HolderID names one run of one process. Empty means that nobody holds the lease.
type HolderID string

// NewHolderID joins a node's name to a random nonce of the process, so that a
// process never takes an earlier run's lease for its own.
func NewHolderID(node fleet.NodeID, nonce uint64) HolderID {
	return HolderID(fmt.Sprintf("%s/%016x", node, nonce))
}

// Machine returns the part of the identifier that names the machine: all runs of
// a process on it share it.
func (h HolderID) Machine() string {
	machine, _, _ := strings.Cut(string(h), "/")
	return machine
}

// Record is the value of a lease's row.
type Record struct {
	// Holder is empty after a release.
	Holder HolderID `json:"holder"`
	// Token rises by one with each change of holder. A release keeps it.
	Token fleet.FencingToken `json:"token"`
	// DurationMillis is the time that the holder counts on, in milliseconds.
	DurationMillis int64 `json:"duration_ms"`
	// IdleMillis is, in a released record, for how long at the release the holder
	// had not used the lease, in milliseconds.
	IdleMillis int64 `json:"idle_ms,omitempty"`
	// WrittenMillis is the store's time at the most when the record was written, in
	// milliseconds; 0 if the writer didn't know it.
	WrittenMillis int64 `json:"written_ms,omitempty"`
}

// Duration returns the time that the holder counts on.
func (r Record) Duration() time.Duration { return time.Duration(r.DurationMillis) * time.Millisecond }

func decodeRecord(value []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, errors.Wrap(ErrMalformedRecord, err.Error())
	}
	validToken := record.Token > 0 && record.Token < math.MaxUint64
	validDuration := record.DurationMillis > 0 && record.DurationMillis <= MaxDuration.Milliseconds()
	if !validToken || !validDuration {
		return Record{}, errors.Wrapf(ErrMalformedRecord, "token %d, duration %d ms", record.Token, record.DurationMillis)
	}
	return record, nil
}

func encodeRecord(record Record) []byte {
	value, err := json.Marshal(record)
	if err != nil {
		panic(err) // a struct of strings and integers always encodes
	}
	return value
}
