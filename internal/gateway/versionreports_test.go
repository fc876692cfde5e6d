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
	reports := newVersionReports()
	start := time.Minute
	assert.Equal(t, []engineVersion{one, two}, reports.due(start, "a", []engineVersion{one, two}), "full report first")
	assert.Empty(t, reports.due(start, "a", []engineVersion{one, two}), "nothing changed")
	later := start + versionReportWindow + time.Millisecond
	assert.Empty(t, reports.due(later, "a", []engineVersion{one, two}))
	assert.Equal(t, []engineVersion{one, two}, reports.due(later, "b", []engineVersion{one, two}), "full report to another node")
	assert.Equal(t, []engineVersion{changed}, reports.due(later, "a", []engineVersion{one, changed}))
	assert.Equal(t, []engineVersion{changed}, reports.due(later+versionReportWindow, "a", []engineVersion{one, changed}), "repeated within the window")
	assert.Empty(t, reports.due(later+versionReportWindow+time.Millisecond, "a", []engineVersion{one, changed}))
	assert.Equal(t, []engineVersion{one, changed}, reports.due(start+fullVersionReportInterval, "a", []engineVersion{one, changed}))
	assert.Empty(t, reports.due(start+fullVersionReportInterval, "a", []engineVersion{changed}))
	assert.Equal(t, []engineVersion{one}, reports.due(start+fullVersionReportInterval, "a", []engineVersion{one, changed}), "version that was gone counts as changed")
	reports.forget("b")
	assert.Len(t, reports.due(start+fullVersionReportInterval, "b", []engineVersion{one, changed}), 2, "full report after forget")
}
