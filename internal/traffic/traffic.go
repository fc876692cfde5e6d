// Package traffic counts the bytes that a process sends and receives, by purpose and distance.
//
// With returns a context labelled with the purpose and distance of a call. Connections made by Dial
// and calls made through RoundTripper are counted under the context's label. The calling side counts
// both directions, so the sum over all processes contains each byte between two of them once. TCP
// and IP headers aren't counted.
package traffic

import (
	"context"
	"sync/atomic"

	"github.com/tillerfall/tillerfall/internal/membership"
)

// Purpose is what bytes are sent for.
type Purpose uint8

// Purposes.
const (
	// Other is traffic without a label.
	Other Purpose = iota
	// Probes are the failure detector's messages between nodes.
	Probes
	// Exchanges are transfers of the full membership.
	Exchanges
	// LoadReports are nodes' reports of the requests that they have sent to workers.
	LoadReports
	// Announcements are immediate reports of single placements and of changes.
	Announcements
	// QuotaReports are reports of tenants' quota usage.
	QuotaReports
	// Watches are rows of the store that another node relays.
	Watches
	// Store is traffic with the store itself.
	Store
	// CacheEvents are events of the caches that a node subscribes to.
	CacheEvents
	// WorkerCalls are workers' reports and commands to workers.
	WorkerCalls
	// Requests are callers' requests as forwarded to workers, and the answers.
	Requests
	// Callers are incoming requests of callers, and the answers.
	Callers
	// Directory is callers' queries of the directory, and the answers.
	Directory
	// Quarantine is immediate reports between nodes of requests that crash workers.
	Quarantine
	// Limits is requests for grants to workers with rate limits, and immediate reports of such limits.
	Limits
	// StreamRecords is records of where streams began, and queries for them.
	StreamRecords
	// purposeCount is the number of purposes.
	purposeCount
)

// purposeNames are the purposes' names in metrics and log lines.
var purposeNames = [purposeCount]string{
	"other", "probes", "exchanges", "loads", "announcements", "uses", "watches", "store", "cache_events", "worker_calls",
	"requests", "callers", "directory", "quarantine", "limits", "stream_records",
}

// String returns the purpose's name.
func (p Purpose) String() string {
	if p < purposeCount {
		return purposeNames[p]
	}
	return purposeNames[Other]
}

// Distance is how far bytes travel.
type Distance uint8

// Distances.
const (
	// Unknown is the distance to a peer of unknown location.
	Unknown Distance = iota
	SameZone
	OtherZone
	OtherRegion
	// distanceCount is the number of distances.
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

// Between returns the distance between two locations. Empty names in a location are unknown.
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

// Direction is whether bytes are sent or received.
type Direction uint8

// Directions.
const (
	Sent Direction = iota
	Received
	// directionCount is the number of directions.
	directionCount
)

// directionNames are the directions' names in metrics and log lines.
var directionNames = [directionCount]string{"sent", "received"}

// String returns the direction's name.
func (d Direction) String() string { return directionNames[d&1] }

// Count is the number of bytes of one purpose, distance and direction since the process started.
type Count struct {
	Purpose   Purpose
	Distance  Distance
	Direction Direction
	Bytes     uint64
}

// counters holds the byte counts of one purpose and distance, by direction.
type counters [directionCount]atomic.Uint64

// Meter counts bytes. It is safe for concurrent use; its zero value is ready to use.
type Meter struct {
	counters [purposeCount][distanceCount]counters
}

// Add adds bytes to the count of a purpose, distance and direction.
func (m *Meter) Add(purpose Purpose, distance Distance, direction Direction, bytes int) {
	if bytes > 0 {
		m.countersFor(purpose, distance)[direction].Add(uint64(bytes))
	}
}

func (m *Meter) countersFor(purpose Purpose, distance Distance) *counters {
	return &m.counters[purpose][distance]
}

// Counts returns all counts that aren't zero, sorted by purpose, distance and direction.
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

// label is the purpose and distance that a context carries.
type label struct {
	purpose  Purpose
	distance Distance
}

// labelKey is the context key of a label.
type labelKey struct{}

// With returns a context whose calls are counted under a purpose and a distance.
func With(ctx context.Context, purpose Purpose, distance Distance) context.Context {
	return context.WithValue(ctx, labelKey{}, label{purpose: purpose, distance: distance})
}

// labelOf returns the context's label; Other and Unknown if it has none.
func labelOf(ctx context.Context) label {
	found, _ := ctx.Value(labelKey{}).(label)
	return found
}
