package cachefeed

import (
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Follower is the position of a node in the log of another node.
type Follower struct {
	cursor Cursor
	// synced holds the caches whose state up to the cursor is known.
	synced map[fleet.EngineID]bool
}

// NewFollower returns a follower at the start of a log.
func NewFollower() *Follower { return &Follower{synced: make(map[fleet.EngineID]bool)} }

// Reset clears the position, such as to follow another log.
func (f *Follower) Reset() { f.cursor = Cursor{} }

// Query asks for the changes after a position, and for the complete state of the Missing caches,
// for which the follower has no state.
type Query struct {
	After   Cursor
	Missing []fleet.EngineID
}

// NextQuery returns the next query for the wanted caches.
func (f *Follower) NextQuery(wanted map[fleet.EngineID]bool) Query {
	for cache := range f.synced {
		if !wanted[cache] {
			delete(f.synced, cache)
		}
	}
	query := Query{After: f.cursor}
	if f.cursor == (Cursor{}) {
		return query
	}
	for cache := range wanted {
		if !f.synced[cache] {
			query.Missing = append(query.Missing, cache)
		}
	}
	slices.Sort(query.Missing)
	return query
}

// Apply advances the follower by a delta and returns the updates of the wanted caches.
func (f *Follower) Apply(delta Delta, wanted map[fleet.EngineID]bool) []Update {
	f.cursor = delta.Next
	listed := make(map[fleet.EngineID]bool, len(delta.Updates))
	var updates []Update
	for _, update := range delta.Updates {
		listed[update.Cache] = true
		switch {
		case !wanted[update.Cache] || (!update.Reset && !f.synced[update.Cache]):
			continue
		case update.Lost:
			delete(f.synced, update.Cache)
		default:
			f.synced[update.Cache] = true
		}
		updates = append(updates, update)
	}
	for cache := range f.synced {
		if delta.Complete && !listed[cache] {
			delete(f.synced, cache)
			updates = append(updates, Update{Cache: cache, Lost: true})
		}
	}
	return updates
}
