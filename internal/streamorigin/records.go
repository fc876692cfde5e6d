package streamorigin

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Origin is where a stream began: the service and the software version of the worker that sent its
// first event.
type Origin struct {
	Service fleet.PoolName
	Version fleet.SoftwareVersion
}

// Record is what a node holds of the origin of one stream.
type Record struct {
	Origin Origin
	// Ambiguous is set if the stream was recorded with two origins: two requests of a tenant had the same
	// identifier. Which of them a caller resumes can't be known.
	Ambiguous bool
}

// maxRecords bounds the records of one generation. When there are more, the oldest ones are dropped
// early, and their streams are refused.
const maxRecords = 1 << 16

// Records holds the origins of streams for at least their lifetime and at most twice as long.
type Records struct {
	// current receives new records; previous is dropped when current takes its place.
	current, previous map[Key]entry
	rotatedAt         time.Duration
	// origins are the distinct origins. Entries refer to them by their index, which keeps them small.
	origins []Origin
}

// entry is the record of one stream.
type entry struct {
	origin    int32
	ambiguous bool
	// private is set as long as no other node has been sent the record.
	private bool
}

// NewRecords returns an empty set of records.
func NewRecords() *Records { return &Records{current: make(map[Key]entry)} }

// Add records the origin of a stream. private is set if no other node is sent the record. The first
// origin stays; another one makes the record ambiguous.
func (r *Records) Add(now, lifetime time.Duration, key Key, origin Origin, private bool) {
	r.rotate(now, lifetime)
	index := r.indexOf(origin)
	added, found := r.find(key)
	if !found {
		added = entry{origin: index, private: private}
	}
	added.ambiguous = added.ambiguous || added.origin != index
	added.private = added.private && private
	r.current[key] = added
}

// rotate starts a new generation if the current one is as old as a stream can be, or full.
func (r *Records) rotate(now, lifetime time.Duration) {
	if now < r.rotatedAt+lifetime && len(r.current) < maxRecords {
		return
	}
	r.previous = r.current
	r.current = make(map[Key]entry)
	r.rotatedAt = now
}

func (r *Records) indexOf(origin Origin) int32 {
	if index := slices.Index(r.origins, origin); index >= 0 {
		return int32(index)
	}
	r.origins = append(r.origins, origin)
	return int32(len(r.origins) - 1)
}

func (r *Records) find(key Key) (entry, bool) {
	if found, ok := r.current[key]; ok {
		return found, true
	}
	found, ok := r.previous[key]
	return found, ok
}

// Find returns the record of a stream.
func (r *Records) Find(key Key) (Record, bool) {
	found, ok := r.find(key)
	if !ok {
		return Record{}, false
	}
	return Record{Origin: r.origins[found.origin], Ambiguous: found.ambiguous}, true
}

// TakePrivate returns the streams of a service whose records no other node was sent. From then on they
// count as sent.
func (r *Records) TakePrivate(service fleet.PoolName) map[Key]Origin {
	taken := make(map[Key]Origin)
	for _, generation := range []map[Key]entry{r.previous, r.current} {
		for key, held := range generation {
			origin := r.origins[held.origin]
			if !held.private || origin.Service != service {
				continue
			}
			held.private = false
			generation[key] = held
			taken[key] = origin
		}
	}
	return taken
}
