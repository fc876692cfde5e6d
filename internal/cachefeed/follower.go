package cachefeed

import (
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Follower is how far one node has seen another's log.
type Follower struct {
	cursor Cursor
	// synced are the caches of which everything up to the cursor is known.
	synced map[fleet.EngineID]bool
}

// NewFollower returns a follower that has seen nothing.
func NewFollower() *Follower { return &Follower{synced: make(map[fleet.EngineID]bool)} }

// Reset forgets the position: another log is followed next.
func (f *Follower) Reset() { f.cursor = Cursor{} }

// Query is what a follower asks: what comes after a position, and besides all that is
// known of the caches of which it has seen nothing.
type Query struct {
	After   Cursor
	Missing []fleet.EngineID
}

// NextQuery returns the next question about the wanted caches.
func (f *Follower) NextQuery(wanted map[fleet.EngineID]bool) Query {
	for cache := range f.synced {
		if !wanted[cache] {
			delete(f.synced, cache)
		}
	}
	question := Query{After: f.cursor}
	if f.cursor == (Cursor{}) {
		return question
	}
	for cache := range wanted {
		if !f.synced[cache] {
			question.Missing = append(question.Missing, cache)
		}
	}
	slices.Sort(question.Missing)
	return question
}

// Apply takes news in and returns those updates that say something of the wanted caches.
func (f *Follower) Apply(news Delta, wanted map[fleet.EngineID]bool) []Update {
	f.cursor = news.Next
	named := make(map[fleet.EngineID]bool, len(news.Updates))
	var updates []Update
	for _, update := range news.Updates {
		named[update.Cache] = true
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
		if news.Complete && !named[cache] {
			delete(f.synced, cache)
			updates = append(updates, Update{Cache: cache, Lost: true})
		}
	}
	return updates
}
