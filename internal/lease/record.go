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

// ErrMalformedRecord reports a lease row that cannot be decoded. The lease can then be neither
// challenged nor taken.
var ErrMalformedRecord = errors.New("malformed lease record")

// HolderID identifies one run of one process. The empty value means that the lease has no holder.
type HolderID string

// NewHolderID combines a node name with a random nonce, which prevents a restarted process from
// mistaking the lease of its previous run for its own.
func NewHolderID(node fleet.NodeID, nonce uint64) HolderID {
	return HolderID(fmt.Sprintf("%s/%016x", node, nonce))
}

// Machine returns the machine part of the identifier, which all runs of a process on that machine
// share.
func (h HolderID) Machine() string {
	machine, _, _ := strings.Cut(string(h), "/")
	return machine
}

// Record is the value of a lease row.
type Record struct {
	// Holder is empty after a release.
	Holder HolderID `json:"holder"`
	// Token increases with each change of holder: by one, or more after the table service was
	// restored. A release keeps it.
	Token fleet.FencingToken `json:"token"`
	// DurationMillis is the lease duration, in milliseconds.
	DurationMillis int64 `json:"duration_ms"`
	// IdleMillis is set in a released record: the time since the lease was last used, in
	// milliseconds.
	IdleMillis int64 `json:"idle_ms,omitempty"`
	// WrittenMillis is an upper bound of the store's time when the record was written, in
	// milliseconds, or 0 if the writer did not know the store's time.
	WrittenMillis int64 `json:"written_ms,omitempty"`
	// Epoch is the epoch of the table service in which the record was written; 0 if it isn't
	// reported.
	Epoch fleet.StoreEpoch `json:"epoch,omitempty"`
}

// Duration returns the lease duration.
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
