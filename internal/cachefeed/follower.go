package cachefeed

import (
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Follower is how far one node has seen another's log.
type Follower struct {
	cursor Cursor
	// covered are the caches of which everything up to the cursor is known.
	covered map[fleet.EngineID]bool
}

// NewFollower returns a follower that has seen nothing.
func NewFollower() *Follower { return &Follower{covered: make(map[fleet.EngineID]bool)} }

// Reset forgets the position: another log is followed next.
func (f *Follower) Reset() { f.cursor = Cursor{} }

// Question is what a follower asks: what comes after a position, and besides all that is
// known of the caches of which it has seen nothing.
type Question struct {
	After   Cursor
	Missing []fleet.EngineID
}

// Ask returns the next question about the wanted caches.
func (f *Follower) Ask(wanted map[fleet.EngineID]bool) Question {
	for cache := range f.covered {
		if !wanted[cache] {
			delete(f.covered, cache)
		}
	}
	question := Question{After: f.cursor}
	if f.cursor == (Cursor{}) {
		return question
	}
	for cache := range wanted {
		if !f.covered[cache] {
			question.Missing = append(question.Missing, cache)
		}
	}
	slices.Sort(question.Missing)
	return question
}

// Take takes news in and returns those updates that say something of the wanted caches.
func (f *Follower) Take(news News, wanted map[fleet.EngineID]bool) []Update {
	f.cursor = news.Next
	named := make(map[fleet.EngineID]bool, len(news.Updates))
	var updates []Update
	for _, update := range news.Updates {
		named[update.Cache] = true
		switch {
		case !wanted[update.Cache] || (!update.Anew && !f.covered[update.Cache]):
			continue
		case update.Lost:
			delete(f.covered, update.Cache)
		default:
			f.covered[update.Cache] = true
		}
		updates = append(updates, update)
	}
	for cache := range f.covered {
		if news.Whole && !named[cache] {
			delete(f.covered, cache)
			updates = append(updates, Update{Cache: cache, Lost: true})
		}
	}
	return updates
}
