// Package traffic counts the bytes that a process sends and receives, by what they
// are for and by how far they go.
//
// A caller names both in the context of a call (With). Connections made by Dial, and
// calls made through RoundTripper, count for what the context names. The side that
// calls counts both directions, so that the sum over all processes holds each byte
// between two of them once. Bytes are those of the connection, without TCP's and IP's own.
package traffic

import (
	"context"
	"sync/atomic"

	"github.com/tillerfall/tillerfall/internal/membership"
)

// Purpose tells what bytes are for.
type Purpose uint8

// Purposes.
const (
	// Other is what no caller has named.
	Other Purpose = iota
	// Probes are the messages by which nodes learn who is alive.
	Probes
	// Exchanges are whole memberships.
	Exchanges
	// Loads are nodes' reports of what they have sent to workers.
	Loads
	// Announcements are reports of single placements and of changes at once.
	Announcements
	// Uses is what tenants have used.
	Uses
	// Watches bring rows of the store from another node.
	Watches
	// Store is what goes to and comes from the store.
	Store
	// CacheEvents are the changes of caches that a node follows.
	CacheEvents
	// WorkerCalls are reports of workers and orders to them.
	WorkerCalls
	// Requests are callers' requests as they go to workers, and the answers.
	Requests
	// Callers are callers' requests as they come in, and the answers.
	Callers
	// Directory is the questions of callers and the answers.
	Directory
	// Quarantine is what nodes tell at once of requests that end workers.
	Quarantine
	// Limits are the questions for requests to workers with limits, and what nodes tell at once
	// of limits.
	Limits
	// purposeCount is the number of purposeCount.
	purposeCount
)

// purposeNames are the purposes' names in metrics and log lines.
var purposeNames = [purposeCount]string{
	"other", "probes", "exchanges", "loads", "announcements", "uses", "watches", "store", "cache_events", "worker_calls",
	"requests", "callers", "directory", "quarantine", "limits",
}

// String returns the purpose's name.
func (p Purpose) String() string {
	if p < purposeCount {
		return purposeNames[p]
	}
	return purposeNames[Other]
}

// Distance tells how far bytes go.
type Distance uint8

// Distances.
const (
	// Unknown is the distance to whom no place is known of.
	Unknown Distance = iota
	SameZone
	OtherZone
	OtherRegion
	// distanceCount is the number of distanceCount.
	distanceCount
)

// distanceNames are the distances' names in metrics and log lines.
var distanceNames = [distanceCount]string{"unknown", "same_zone", "other_zone", "other_region"}

// String returns the distance's name.
func (d Distance) String() string {
	if d < distanceCount {
		return distanceNames[d]
	}
	return distanceNames[Unknown]
}

// Between returns the distance between two places, of which names may be empty if they
// aren't known.
func Between(one, other membership.Location) Distance {
	switch {
	case one.Zone == "" || other.Zone == "":
		return Unknown
	case one.Zone == other.Zone:
		return SameZone
	case one.Region != other.Region && one.Region != "" && other.Region != "":
		return OtherRegion
	default:
		return OtherZone
	}
}

// Direction tells where bytes go to.
type Direction uint8

// Directions.
const (
	Sent Direction = iota
	Received
	// directionCount is the number of directionCount.
	directionCount
)

// directionNames are the directions' names in metrics and log lines.
var directionNames = [directionCount]string{"sent", "received"}

// String returns the direction's name.
func (d Direction) String() string { return directionNames[d&1] }

// Count is the bytes of one purpose, distance and direction since the start.
type Count struct {
	Purpose   Purpose
	Distance  Distance
	Direction Direction
	Bytes     uint64
}

// counters counts the bytes of one purpose and distance.
type counters [directionCount]atomic.Uint64

// Meter counts bytes. It is safe for concurrent use; its zero value is ready.
type Meter struct {
	counters [purposeCount][distanceCount]counters
}

// Add counts bytes.
func (m *Meter) Add(purpose Purpose, distance Distance, direction Direction, bytes int) {
	if bytes > 0 {
		m.countersFor(purpose, distance)[direction].Add(uint64(bytes))
	}
}

func (m *Meter) countersFor(purpose Purpose, distance Distance) *counters {
	return &m.counters[purpose][distance]
}

// Counts returns all counts that aren't zero, by purpose, distance and direction.
func (m *Meter) Counts() []Count {
	var counts []Count
	for purpose := range purposeCount {
		for distance := range distanceCount {
			for direction := range directionCount {
				if bytes := m.counters[purpose][distance][direction].Load(); bytes > 0 {
					counts = append(counts, Count{Purpose: purpose, Distance: distance, Direction: direction, Bytes: bytes})
				}
			}
		}
	}
	return counts
}

// label is what a context names.
type label struct {
	purpose  Purpose
	distance Distance
}

// labelKey is the key of a context's label.
type labelKey struct{}

// With returns a context whose calls count for a purpose and a distance.
func With(ctx context.Context, purpose Purpose, distance Distance) context.Context {
	return context.WithValue(ctx, labelKey{}, label{purpose: purpose, distance: distance})
}

// labelOf returns what a context names: Other and Unknown if nothing.
func labelOf(ctx context.Context) label {
	named, _ := ctx.Value(labelKey{}).(label)
	return named
}
