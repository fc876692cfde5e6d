package fleetsync

import (
	"cmp"
	"slices"
)

// maxRemovals limits the removed entries that a changelog keeps. A subscriber at an older version
// gets the whole list.
const maxRemovals = 4096

// changelog is a versioned list of named entries that records the version of each entry's last
// change.
type changelog[T any] struct {
	name  func(T) string
	equal func(a, b T) bool
	// version is incremented by each change; 0 means that no list has been set.
	version uint64
	// entries is sorted by name.
	entries []versionedEntry[T]
	// removals holds the last removed names, ordered by version.
	removals []removal
	// oldestVersion is the oldest version for which the later changes are known.
	oldestVersion uint64
}

type versionedEntry[T any] struct {
	value   T
	changed uint64
}

type removal struct {
	name    string
	version uint64
}

// delta holds the changes between two versions.
type delta[T any] struct {
	changed []T
	removed []string
}

// set replaces the list. listed must be sorted by name and contain no duplicates.
func (l *changelog[T]) set(listed []T) {
	next := l.version + 1
	entries := make([]versionedEntry[T], 0, len(listed))
	var removed []removal
	changes := 0
	rest := l.entries
	for _, value := range listed {
		for len(rest) > 0 && l.name(rest[0].value) < l.name(value) {
			removed = append(removed, removal{name: l.name(rest[0].value), version: next})
			rest = rest[1:]
		}
		entry := versionedEntry[T]{value: value, changed: next}
		if len(rest) > 0 && l.name(rest[0].value) == l.name(value) {
			if l.equal(rest[0].value, value) {
				entry.changed = rest[0].changed
			}
			rest = rest[1:]
		}
		if entry.changed == next {
			changes++
		}
		entries = append(entries, entry)
	}
	for _, entry := range rest {
		removed = append(removed, removal{name: l.name(entry.value), version: next})
	}
	if changes+len(removed) == 0 && l.version > 0 {
		return
	}
	l.version = next
	l.entries = entries
	l.recordRemovals(removed)
}

func (l *changelog[T]) recordRemovals(removed []removal) {
	l.removals = append(l.removals, removed...)
	excess := len(l.removals) - maxRemovals
	if excess <= 0 {
		return
	}
	l.oldestVersion = l.removals[excess-1].version
	l.removals = slices.Clone(l.removals[excess:])
}

// since returns the changes after version. The second result is false if they are not known.
func (l *changelog[T]) since(version uint64) (delta[T], bool) {
	var step delta[T]
	switch {
	case version == 0 || version < l.oldestVersion || version > l.version:
		return step, false
	case version == l.version:
		return step, true
	}
	for _, entry := range l.entries {
		if entry.changed > version {
			step.changed = append(step.changed, entry.value)
		}
	}
	first, _ := slices.BinarySearchFunc(l.removals, version+1, func(r removal, from uint64) int {
		return cmp.Compare(r.version, from)
	})
	for _, removal := range l.removals[first:] {
		if !l.contains(removal.name) {
			step.removed = append(step.removed, removal.name)
		}
	}
	return step, true
}

// contains reports whether the list currently has an entry; a removed entry may have been added
// again.
func (l *changelog[T]) contains(name string) bool {
	_, found := slices.BinarySearchFunc(l.entries, name, func(entry versionedEntry[T], name string) int {
		return cmp.Compare(l.name(entry.value), name)
	})
	return found
}

// all returns the values of all entries.
func (l *changelog[T]) all() []T {
	values := make([]T, 0, len(l.entries))
	for _, entry := range l.entries {
		values = append(values, entry.value)
	}
	return values
}

// applyDelta returns a copy of a sorted list with the changes applied.
func applyDelta[T any](listed []T, step delta[T], name func(T) string) []T {
	byName := func(entry T, wanted string) int { return cmp.Compare(name(entry), wanted) }
	merged := slices.Clone(listed)
	for _, removed := range step.removed {
		if index, found := slices.BinarySearchFunc(merged, removed, byName); found {
			merged = slices.Delete(merged, index, index+1)
		}
	}
	for _, value := range step.changed {
		index, found := slices.BinarySearchFunc(merged, name(value), byName)
		if found {
			merged[index] = value
			continue
		}
		merged = slices.Insert(merged, index, value)
	}
	return merged
}
