package routes

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

func testDocument() Document {
	split := []Share{{Service: "s", Weight: 1}}
	return Document{
		Version:  7,
		Services: []Service{{Name: "s"}, {Name: "other"}, {Name: "kept", Store: &StoreService{Address: "10.0.0.1:1"}}},
		Routes: []Route{
			{Name: "short", Host: "A.example", Prefix: "/x/", Kind: Safe, Split: split},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Kind: Unsafe, Split: split},
			{Name: "elsewhere", Host: "b.example", Prefix: "/", Kind: Streaming, Split: split},
		},
		Tenants: []Tenant{{Name: "t", Keys: []string{"k1", "k2"}}},
	}
}

// TestLongestPrefixOfTheHostWins guards against requests that match the wrong route.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table, err := Compile(testDocument())
	require.NoError(t, err)
	for _, test := range []struct{ host, path, route string }{
		{"a.example", "/x/1", "short"},
		{"a.example:8080", "/x/y/1", "long"},
		{"A.EXAMPLE", "/x/y", "short"},
		{"a.example", "/x", ""},
		{"a.example", "//x/y/", ""},
		{"a.example", "/x/../x/y/", "short"},
		{"b.example", "/anything", "elsewhere"},
		{"c.example", "/x/", ""},
		{"", "/x/", ""},
	} {
		route, found := table.Match(test.host, test.path)
		assert.Equal(t, test.route != "", found, test)
		if found {
			assert.Equal(t, test.route, route.Name, test)
		}
	}
}

// TestKeysIdentifyTheirTenants guards against keys that are assigned to the wrong tenant or ignored.
func TestKeysIdentifyTheirTenants(t *testing.T) {
	table, err := Compile(testDocument())
	require.NoError(t, err)
	tenant, found := table.Tenant("k2")
	require.True(t, found)
	assert.Equal(t, fleet.TenantName("t"), tenant.Name)
	_, found = table.Tenant("k3")
	assert.False(t, found)
	assert.True(t, table.RequiresKey())
	assert.Len(t, table.Stores(), 1)
}

// TestInvalidDocumentsAreRejected guards against invalid documents that compile.
func TestInvalidDocumentsAreRejected(t *testing.T) {
	for name, invalidate := range map[string]func(*Document){
		"unknown service": func(d *Document) { d.Routes[0].Split = []Share{{Service: "none", Weight: 1}} },
		"no service":      func(d *Document) { d.Routes[0].Split = nil },
		"negative weight": func(d *Document) { d.Routes[0].Split = []Share{{Service: "s", Weight: -1}} },
		"relative prefix": func(d *Document) { d.Routes[0].Prefix = "x/" },
		"unknown kind":    func(d *Document) { d.Routes[0].Kind = "sometimes" },
	} {
		document := testDocument()
		invalidate(&document)
		_, err := Compile(document)
		assert.Error(t, err, name)
	}
}

// TestSplitFollowsWeightsInShortSequences guards against shares that follow the weights only on average
// over many requests.
func TestSplitFollowsWeightsInShortSequences(t *testing.T) {
	route := &Route{Name: "r", Split: []Share{{"a", 70}, {"b", 20}, {"c", 10}, {"off", 0}}}
	splitter := NewSplitter()
	counts := map[fleet.PoolName]int{}
	for range 20 {
		name, found := splitter.Choose(route)
		require.True(t, found)
		counts[name]++
	}
	assert.Equal(t, map[fleet.PoolName]int{"a": 14, "b": 4, "c": 2}, counts)
	_, found := splitter.Choose(&Route{Name: "none", Split: []Share{{"a", 0}, {"b", 0}}})
	assert.False(t, found)
}

// TestHolderNeverRevertsToOlderTable guards against a late read that replaces the active table by an
// older one.
func TestHolderNeverRevertsToOlderTable(t *testing.T) {
	holder := NewHolder()
	assert.Nil(t, holder.Current())
	newer, older := testDocument(), testDocument()
	newer.Version, older.Version = 9, 8
	newTable, err := Compile(newer)
	require.NoError(t, err)
	oldTable, err := Compile(older)
	require.NoError(t, err)
	updated := holder.Updated()
	require.True(t, holder.InstallIfNewer(time.Second, 20, newTable))
	<-updated
	assert.False(t, holder.InstallIfNewer(2*time.Second, 19, oldTable))
	assert.False(t, holder.InstallIfNewer(2*time.Second, 20, oldTable))
	assert.EqualValues(t, 9, holder.Current().Table.Version())
	assert.Equal(t, time.Second, holder.Current().InstalledAt)
}

// TestHolderFollowsVersionsOverRestores guards against a restored store's older document that replaces
// the active table, and against newer ones that are refused for their lower revisions.
func TestHolderFollowsVersionsOverRestores(t *testing.T) {
	holder := NewHolder()
	for _, step := range []struct {
		epoch     fleet.StoreEpoch
		number    uint64
		version   fleet.Revision
		installed bool
	}{
		{1, 57, 21, true}, {2, 45, 9, false}, {2, 50, 21, true}, {1, 57, 21, false}, {2, 52, 25, true}, {1, 58, 23, false}, {1, 60, 27, true}, {2, 53, 25, false},
	} {
		document := testDocument()
		document.Version = step.version
		table, err := Compile(document)
		require.NoError(t, err)
		assert.Equal(t, step.installed, holder.InstallIfNewer(0, step.epoch.Revision(step.number), table), "%+v", step)
	}
	assert.EqualValues(t, 27, holder.Current().Table.Version())
}

// TestLateProofDoesNotRenewFreshness guards against an older proof that arrives late and replaces a
// newer one.
func TestLateProofDoesNotRenewFreshness(t *testing.T) {
	freshness := NewFreshness()
	assert.False(t, freshness.IsWithin(0, time.Hour), "no proof")
	freshness.Prove(10 * time.Second)
	freshness.Prove(4 * time.Second)
	age, proven := freshness.Age(12 * time.Second)
	require.True(t, proven)
	assert.Equal(t, 2*time.Second, age)
	assert.True(t, freshness.IsWithin(12*time.Second, 2*time.Second+1))
	assert.False(t, freshness.IsWithin(12*time.Second, 2*time.Second), "the proof expires while the process is frozen")
}
