package streamorigin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const testLifetime = time.Minute

var (
	oldOrigin = Origin{Service: "s", Version: "v1"}
	newOrigin = Origin{Service: "s", Version: "v2"}
)

// recorded returns the answer of a node that holds a record.
func recorded(origin Origin) Answer { return Answer{HasRecord: true, Record: Record{Origin: origin}} }

// observed returns the answer of a node without a record that knows of versions.
func observed(complete bool, versions ...fleet.SoftwareVersion) Answer {
	return Answer{Versions: versions, Complete: complete}
}

// TestUnknownOriginIsNeverGuessed guards against streams that go on at a version which nobody has shown to
// be the one that began them, and against refusals of streams whose version is known.
func TestUnknownOriginIsNeverGuessed(t *testing.T) {
	ambiguous := recorded(oldOrigin)
	ambiguous.Record.Ambiguous = true
	for name, tested := range map[string]struct {
		evidence Evidence
		want     Origin
		known    bool
	}{
		"own record":                         {Evidence{Own: recorded(oldOrigin), NeedsAnswer: true}, oldOrigin, true},
		"a peer's record":                    {Evidence{NeedsAnswer: true, Others: []Answer{observed(true, "v2"), recorded(oldOrigin)}}, oldOrigin, true},
		"a record of another service":        {Evidence{Service: "other", Own: recorded(oldOrigin)}, oldOrigin, true},
		"two records":                        {Evidence{NeedsAnswer: true, Others: []Answer{recorded(newOrigin), recorded(oldOrigin)}}, newOrigin, false},
		"ambiguous record":                   {Evidence{NeedsAnswer: true, Others: []Answer{ambiguous}}, oldOrigin, false},
		"single version, alone":              {Evidence{Own: observed(true, "v1"), OnlyService: true}, oldOrigin, true},
		"single version, but no answer":      {Evidence{Own: observed(true, "v1"), OnlyService: true, NeedsAnswer: true}, oldOrigin, false},
		"single version, and a peer's":       {Evidence{Own: observed(true, "v1"), OnlyService: true, NeedsAnswer: true, Others: []Answer{observed(false, "v1")}}, oldOrigin, true},
		"observed by a peer alone":           {Evidence{Own: observed(false, "v1"), OnlyService: true, NeedsAnswer: true, Others: []Answer{observed(true, "v1")}}, oldOrigin, true},
		"a peer of an earlier release":       {Evidence{Own: observed(true, "v1"), OnlyService: true, NeedsAnswer: true, Others: []Answer{{}}}, oldOrigin, true},
		"observed by nobody for long enough": {Evidence{Own: observed(false, "v1"), OnlyService: true, NeedsAnswer: true, Others: []Answer{observed(false, "v1")}}, oldOrigin, false},
		"a peer knows of another version":    {Evidence{Own: observed(true, "v1"), OnlyService: true, NeedsAnswer: true, Others: []Answer{observed(true, "v1", "v2")}}, oldOrigin, false},
		"two versions":                       {Evidence{Own: observed(true, "v1", "v2"), OnlyService: true}, oldOrigin, false},
		"a route of several services":        {Evidence{Own: observed(true, "v1"), NeedsAnswer: true, Others: []Answer{observed(true, "v1")}}, oldOrigin, false},
		"no version":                         {Evidence{Own: observed(true), OnlyService: true}, oldOrigin, false},
	} {
		if tested.evidence.Service == "" {
			tested.evidence.Service = "s"
		}
		origin, known := tested.evidence.Decide()
		assert.Equal(t, tested.known, known, name)
		if known {
			assert.Equal(t, tested.want, origin, name)
		}
	}
}

// TestRecordsOutliveTheirStreams guards against records that are dropped before their stream's lifetime is
// over, that are kept forever, or that change.
func TestRecordsOutliveTheirStreams(t *testing.T) {
	records := NewRecords()
	key := KeyOf("tenant", "request")
	records.Add(0, testLifetime, key, oldOrigin, false)
	for second := range 61 {
		records.Add(time.Duration(second)*time.Second, testLifetime, Key(second), newOrigin, false)
		record, found := records.Find(key)
		require.True(t, found)
		assert.Equal(t, Record{Origin: oldOrigin}, record)
	}
	records.Add(3*testLifetime, testLifetime, 1, newOrigin, false)
	_, found := records.Find(key)
	assert.False(t, found)
	records.Add(3*testLifetime, testLifetime, 1, oldOrigin, false)
	record, _ := records.Find(1)
	assert.True(t, record.Ambiguous, "one identifier of two streams")
}

// TestRecordsAreBounded guards against memory that grows with the rate of streams.
func TestRecordsAreBounded(t *testing.T) {
	records := NewRecords()
	for key := range Key(5 * maxRecords) {
		records.Add(0, testLifetime, key, oldOrigin, false)
	}
	assert.LessOrEqual(t, len(records.current)+len(records.previous), 2*maxRecords)
	_, found := records.Find(5*maxRecords - 1)
	assert.True(t, found)
}

// TestPrivateRecordsAreTakenOnce guards against streams whose records no other node is sent although a
// second version has appeared.
func TestPrivateRecordsAreTakenOnce(t *testing.T) {
	records := NewRecords()
	records.Add(0, testLifetime, 1, oldOrigin, true)
	records.Add(2*testLifetime, testLifetime, 2, oldOrigin, true)
	records.Add(2*testLifetime, testLifetime, 3, oldOrigin, false)
	records.Add(2*testLifetime, testLifetime, 4, Origin{Service: "other", Version: "v1"}, true)
	assert.Equal(t, map[Key]Origin{1: oldOrigin, 2: oldOrigin}, records.TakePrivate("s"))
	assert.Empty(t, records.TakePrivate("s"))
}

// TestKeysOfTenantsDiffer guards against a tenant that resumes or blocks another one's stream.
func TestKeysOfTenantsDiffer(t *testing.T) {
	assert.NotEqual(t, KeyOf("a", "request"), KeyOf("b", "request"))
	assert.NotEqual(t, KeyOf("a", "brequest"), KeyOf("ab", "request"))
}

// TestLeftVersionCountsForAStreamsLifetime guards against a service that is taken for one of a single
// version while streams of the version before can still be resumed.
func TestLeftVersionCountsForAStreamsLifetime(t *testing.T) {
	history := NewHistory(0, false)
	one, both, two := []fleet.SoftwareVersion{"v1"}, []fleet.SoftwareVersion{"v1", "v2"}, []fleet.SoftwareVersion{"v2"}
	assert.False(t, history.Observe(0, testLifetime, "s", one), "the first version")
	assert.False(t, history.Observe(time.Second, testLifetime, "s", one))
	assert.True(t, history.Observe(2*time.Second, testLifetime, "s", both))
	assert.False(t, history.Observe(3*time.Second, testLifetime, "s", append(both, "v3")), "a third one changes nothing")
	assert.False(t, history.Observe(testLifetime+time.Second, testLifetime, "s", two))
	assert.ElementsMatch(t, []fleet.SoftwareVersion{"v1", "v2", "v3"}, history.Versions(testLifetime+2*time.Second, testLifetime, "s"))
	assert.Equal(t, two, history.Versions(testLifetime+3*time.Second, testLifetime, "s"))
	assert.Empty(t, history.Versions(testLifetime, testLifetime, "other"))
	history.Expire(testLifetime+3*time.Second, testLifetime)
	assert.Len(t, history.services["s"], 1)
	assert.True(t, history.Observe(testLifetime+4*time.Second, testLifetime, "s", both), "the former version returns")
	history.Expire(3*testLifetime, testLifetime)
	assert.Empty(t, history.services)

	assert.False(t, history.IsComplete(testLifetime-1, testLifetime, "s"))
	assert.True(t, history.IsComplete(testLifetime, testLifetime, "s"))
	assert.True(t, NewHistory(0, true).IsComplete(0, testLifetime, "s"), "no stream is older than the fleet")
}

// TestAdoptedVersionsCompleteTheHistory guards against streams that can't be resumed after a restart
// although the versions before it are known, and against ones that are taken for streams of the versions
// since.
func TestAdoptedVersionsCompleteTheHistory(t *testing.T) {
	history := NewHistory(0, false)
	history.Observe(0, testLifetime, "s", []fleet.SoftwareVersion{"v2"})
	assert.False(t, history.IsComplete(0, testLifetime, "s"))
	history.Adopt(time.Second, "s", []fleet.SoftwareVersion{"v1", "v2"})
	assert.True(t, history.IsComplete(time.Second, testLifetime, "s"))
	assert.False(t, history.IsComplete(time.Second, testLifetime, "other"))
	assert.ElementsMatch(t, []fleet.SoftwareVersion{"v1", "v2"}, history.Versions(testLifetime, testLifetime, "s"))
}

// TestConstraintAllowsItsVersionOnly guards against a constraint that is wider than the stream's version.
func TestConstraintAllowsItsVersionOnly(t *testing.T) {
	assert.True(t, Any().Allows("v1"))
	assert.True(t, Constraint{}.IsAny())
	assert.True(t, Only("v1").Allows("v1"))
	assert.False(t, Only("v1").Allows("v2"))
	assert.False(t, Only("").Allows("v1"))
	assert.False(t, None().Allows(""))
	version, bound := Only("v1").Version()
	assert.True(t, bound)
	assert.Equal(t, fleet.SoftwareVersion("v1"), version)
	_, bound = None().Version()
	assert.False(t, bound)
}
