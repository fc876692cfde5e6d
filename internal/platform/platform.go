// Package platform defines the interfaces to the platform's services and implements an HTTP client
// for them: the transactional table service, the object store, the weight store and the machine
// list.
package platform

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Errors that calls to the platform return, wrapped with the operation.
var (
	// ErrConflict means that a comparison of a transaction failed, so nothing was written.
	ErrConflict = errors.New("compare failed")
	// ErrNotFound means that the key or object doesn't exist.
	ErrNotFound = errors.New("not found")
	// ErrRateLimited means that the service rejected the request without effect due to its rate
	// limit.
	ErrRateLimited = errors.New("rate limited")
	// ErrUnknownOutcome means that the request may or may not have taken effect.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrUnavailable means that the request certainly had no effect: it did not reach the service,
	// the service rejected it before processing, or it was a read.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrTooLarge means that a read failed since its response is larger than this client takes. It is an
	// ErrUnavailable too.
	ErrTooLarge = errors.New("answer too large")
	// ErrInvalid means that the service rejected the request as malformed.
	ErrInvalid = errors.New("invalid request")
)

// Row is a versioned value of the table service. Revision is 1 for a new row and increases by one
// with each write; 0 means that the row doesn't exist.
type Row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	// StoreTime is the service's monotonic clock at the time of the response; 0 if it isn't
	// reported.
	StoreTime time.Duration `json:"-"`
	// Epoch counts how often the service has been restored from an older copy; 0 if it isn't
	// reported. Revisions are given out again in a later epoch.
	Epoch fleet.StoreEpoch `json:"-"`
}

// Compare requires a row to have a revision; 0 requires that the row doesn't exist.
type Compare struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Write puts or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction applies all writes atomically if every comparison holds, and none otherwise.
type Transaction struct {
	Compares []Compare `json:"compares"`
	Writes   []Write   `json:"writes"`
}

// Tables is the transactional, rate-limited table service.
type Tables interface {
	// Get returns a row or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows whose key begins with prefix and is greater than after, in
	// ascending order of key.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction. After ErrUnknownOutcome, the caller must read the rows to
	// determine whether it took effect.
	Commit(ctx context.Context, transaction Transaction) error
}

// Objects is the rate-limited object store.
type Objects interface {
	GetObject(ctx context.Context, name string) ([]byte, error)
	PutObject(ctx context.Context, name string, body []byte) error
}

// MachineState is the state of a machine as listed by the platform.
type MachineState string

// Machine states.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// MachineKind is the kind of process that runs on a machine.
type MachineKind string

// Machine kinds.
const (
	MachineEngine MachineKind = "engine"
	MachineRouter MachineKind = "router"
)

// Machine is an entry of the machine list, which may be stale.
type Machine struct {
	ID          string            `json:"id"`
	Kind        MachineKind       `json:"kind"`
	Address     fleet.Address     `json:"address"`
	Region      fleet.RegionName  `json:"region,omitempty"`
	Zone        fleet.ZoneName    `json:"zone"`
	Pool        fleet.PoolName    `json:"pool,omitempty"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	State       MachineState      `json:"state"`
}

// WeightStoreStatus is the current load of the weight store.
type WeightStoreStatus struct {
	// Loading is the number of loads in progress.
	Loading int `json:"loading"`
	// Limit is the number of concurrent loads that run at full speed.
	Limit int `json:"limit"`
}

// Machines provides the list of live and leaving machines. The list may be stale, and a later call
// may return an older state than an earlier one.
type Machines interface {
	ListMachines(ctx context.Context) ([]Machine, error)
}
