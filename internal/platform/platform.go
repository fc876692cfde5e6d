// Package platform is the only package that knows the platform's protocols:
// the transactional table service, the object store, the weight store and the
// list of machines. Another dialect replaces this package and nothing else.
package platform

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Errors that callers branch on.
var (
	// ErrConflict means that a compare of a transaction failed; nothing was written.
	ErrConflict = errors.New("compare failed")
	// ErrNotFound means that the key or object doesn't exist.
	ErrNotFound = errors.New("not found")
	// ErrRateLimited means that the service refused before doing anything.
	ErrRateLimited = errors.New("rate limited")
	// ErrUnknownOutcome means that the request may or may not have taken effect.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrUnavailable means that the request certainly had no effect: it did not
	// reach the service, the service refused it unread, or it was a read.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrInvalid means that the service rejected the request as malformed.
	ErrInvalid = errors.New("invalid request")
)

// Row is one versioned value of the table service. Revision is 1 for a row
// just created and rises by one with each write; 0 means that it doesn't exist.
type Row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	// StoreTime is the service's steady clock at the answer; 0 if it doesn't tell.
	StoreTime time.Duration `json:"-"`
}

// Compare demands a row's revision; 0 demands that the row doesn't exist.
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

// Transaction writes all rows or none, if every comparison holds.
type Transaction struct {
	Compares []Compare `json:"compares"`
	Writes   []Write   `json:"writes"`
}

// Tables is the transactional, rate-limited table service.
type Tables interface {
	// Get returns a row or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows whose key begins with prefix and is
	// greater than after, in order of key.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction. ErrUnknownOutcome must be resolved by reading.
	Commit(ctx context.Context, transaction Transaction) error
}

// Objects is the rate-limited object store.
type Objects interface {
	GetObject(ctx context.Context, name string) ([]byte, error)
	PutObject(ctx context.Context, name string, body []byte) error
}

// MachineState is the platform's view of a machine.
type MachineState string

// Machine states.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// MachineKind tells what runs on a machine.
type MachineKind string

// Machine kinds.
const (
	MachineEngine MachineKind = "engine"
	MachineRouter MachineKind = "router"
)

// Machine is one entry of the lagging list.
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

// WeightStoreStatus tells how busy the weight store is.
type WeightStoreStatus struct {
	// Loading is the number of loads in progress.
	Loading int `json:"loading"`
	// Limit is the number of loads that run at full speed together.
	Limit int `json:"limit"`
}

// Machines is the lagging list of live and leaving machines; it may show an
// older state again.
type Machines interface {
	ListMachines(ctx context.Context) ([]Machine, error)
}
