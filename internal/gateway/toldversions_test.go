package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestVersionsAreToldWhenTheyChangeAndNowAndThenAll(t *testing.T) {
	one := engineVersion{engineModel{"one", "model"}, 1}
	two := engineVersion{engineModel{"two", "model"}, 1}
	changed := engineVersion{engineModel{"two", "model"}, 2}
	told := newToldVersions()
	start := time.Minute
	assert.Equal(t, []engineVersion{one, two}, told.due(start, "a", []engineVersion{one, two}), "all at first")
	assert.Empty(t, told.due(start, "a", []engineVersion{one, two}), "once is enough")
	later := start + versionsTold + time.Millisecond
	assert.Empty(t, told.due(later, "a", []engineVersion{one, two}))
	assert.Equal(t, []engineVersion{one, two}, told.due(later, "b", []engineVersion{one, two}), "another node hears all")
	assert.Equal(t, []engineVersion{changed}, told.due(later, "a", []engineVersion{one, changed}))
	assert.Equal(t, []engineVersion{changed}, told.due(later+versionsTold, "a", []engineVersion{one, changed}), "named again: a report may get lost")
	assert.Empty(t, told.due(later+versionsTold+time.Millisecond, "a", []engineVersion{one, changed}))
	assert.Equal(t, []engineVersion{one, changed}, told.due(start+versionsWhole, "a", []engineVersion{one, changed}))
	assert.Empty(t, told.due(start+versionsWhole, "a", []engineVersion{changed}))
	assert.Equal(t, []engineVersion{one}, told.due(start+versionsWhole, "a", []engineVersion{one, changed}), "gone and back counts as changed")
	told.forget("b")
	assert.Len(t, told.due(start+versionsWhole, "b", []engineVersion{one, changed}), 2, "a node that comes back hears all")
}
