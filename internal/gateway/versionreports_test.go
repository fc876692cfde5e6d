package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestVersionsAreReportedOnChangeAndPeriodically(t *testing.T) {
	one := engineVersion{engineModel{"one", "model"}, 1}
	two := engineVersion{engineModel{"two", "model"}, 1}
	changed := engineVersion{engineModel{"two", "model"}, 2}
	told := newVersionReports()
	start := time.Minute
	assert.Equal(t, []engineVersion{one, two}, told.due(start, "a", []engineVersion{one, two}), "all at first")
	assert.Empty(t, told.due(start, "a", []engineVersion{one, two}), "once is enough")
	later := start + versionReportWindow + time.Millisecond
	assert.Empty(t, told.due(later, "a", []engineVersion{one, two}))
	assert.Equal(t, []engineVersion{one, two}, told.due(later, "b", []engineVersion{one, two}), "another node hears all")
	assert.Equal(t, []engineVersion{changed}, told.due(later, "a", []engineVersion{one, changed}))
	assert.Equal(t, []engineVersion{changed}, told.due(later+versionReportWindow, "a", []engineVersion{one, changed}), "named again: a report may get lost")
	assert.Empty(t, told.due(later+versionReportWindow+time.Millisecond, "a", []engineVersion{one, changed}))
	assert.Equal(t, []engineVersion{one, changed}, told.due(start+fullVersionReportInterval, "a", []engineVersion{one, changed}))
	assert.Empty(t, told.due(start+fullVersionReportInterval, "a", []engineVersion{changed}))
	assert.Equal(t, []engineVersion{one}, told.due(start+fullVersionReportInterval, "a", []engineVersion{one, changed}), "gone and back counts as changed")
	told.forget("b")
	assert.Len(t, told.due(start+fullVersionReportInterval, "b", []engineVersion{one, changed}), 2, "a node that comes back hears all")
}
