package config

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// drawHistory returns consecutive valid documents, starting at revision 1.
func drawHistory(t *rapid.T, length int) []Document {
	history := make([]Document, 0, length)
	for revision := 1; revision <= length; revision++ {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`t[a-d]`), 0, 3, rapid.ID[string]).Draw(t, "tenants")
		var tenants []fleet.TenantName
		for _, name := range names {
			tenants = append(tenants, fleet.TenantName(name))
		}
		document := validDocument(fleet.Revision(revision), tenants...)
		for index := range document.Tenants {
			document.Tenants[index].Weight = float64(rapid.IntRange(1, 3).Draw(t, "weight"))
		}
		for incarnation := range rapid.IntRange(0, 2).Draw(t, "directives") {
			document.Directives = append(document.Directives,
				Directive{Engine: "e1", Incarnation: fleet.Incarnation(incarnation), Kind: DirectiveDrain})
		}
		history = append(history, Canonical(document))
	}
	return history
}

func TestApplyOfDiffYieldsNextDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t, 2)
		change, err := Diff(history[0], history[1])
		require.NoError(t, err)
		messages, err := ChangeMessages([]Change{change})
		require.NoError(t, err)
		decoded, err := ChangesFromMessages(messages)
		require.NoError(t, err)
		next, err := Apply(history[0], decoded[0])
		require.NoError(t, err)
		assert.Equal(t, history[1], next)
	})
}

func TestDiffContainsOnlyChangedItems(t *testing.T) {
	before := validDocument(1, "a", "b", "c")
	after := Canonical(before)
	after.Revision = 2
	after.Tenants[1].Weight = 9
	change, err := Diff(before, after)
	require.NoError(t, err)
	require.Len(t, change.Patch, 1)
	assert.Equal(t, string(after.Tenants[1].Name), change.Patch[0].Name)
}

// TestHolderNeverReverts guards against a holder that replaces its configuration with an older or
// invalid one. Snapshots and changes arrive in any order, with duplicates.
func TestHolderNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := append([]Document{{}}, drawHistory(t, 6)...)
		holder := NewHolder()
		for range rapid.IntRange(1, 25).Draw(t, "offers") {
			before := holder.Revision()
			revision := fleet.Revision(rapid.IntRange(1, 6).Draw(t, "revision"))
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				accepted, err := holder.OfferSnapshot(history[revision])
				require.NoError(t, err)
				assert.Equal(t, revision > before, accepted)
			case 1:
				change, err := Diff(history[revision-1], history[revision])
				require.NoError(t, err)
				accepted, gap, err := holder.OfferChanges([]Change{change})
				require.NoError(t, err)
				assert.Equal(t, revision == before+1, accepted)
				assert.Equal(t, revision > before+1, gap)
			case 2:
				invalid := Canonical(history[revision])
				invalid.Pools = nil
				accepted, _ := holder.OfferSnapshot(invalid)
				assert.False(t, accepted)
			}
			require.GreaterOrEqual(t, holder.Revision(), before)
			if view := holder.Current(); view != nil {
				require.Equal(t, history[view.Revision()], view.Document())
			}
		}
	})
}

func TestHolderReturnsRetainedChanges(t *testing.T) {
	holder := NewHolder()
	_, err := holder.OfferSnapshot(validDocument(1))
	require.NoError(t, err)
	updated := holder.Updated()
	previous := validDocument(1)
	for revision := fleet.Revision(2); revision <= MaxLoggedChanges+10; revision++ {
		next := Canonical(previous)
		next.Revision = revision
		next.Pools[0].MaxStreams++
		change, err := Diff(previous, next)
		require.NoError(t, err)
		accepted, _, err := holder.OfferChanges([]Change{change})
		require.NoError(t, err)
		require.True(t, accepted)
		previous = next
	}
	select {
	case <-updated:
	default:
		t.Fatal("the channel of Updated was not closed")
	}
	_, ok := holder.ChangesAfter(1)
	assert.False(t, ok, "dropped changes are not returned")
	changes, ok := holder.ChangesAfter(20)
	require.True(t, ok)
	assert.Equal(t, fleet.Revision(21), changes[0].Revision)
	assert.Equal(t, holder.Revision(), changes[len(changes)-1].Revision)
}

func TestHolderKeepsValidDocumentOverInvalidChange(t *testing.T) {
	holder := NewHolder()
	_, err := holder.OfferSnapshot(validDocument(1))
	require.NoError(t, err)
	removal := Change{Revision: 2, Patch: []ItemChange{{Kind: ItemPool, Name: "main"}}}
	accepted, _, err := holder.OfferChanges([]Change{removal})
	require.Error(t, err)
	assert.False(t, accepted)
	assert.Equal(t, fleet.Revision(1), holder.Revision())
}

func TestResolveModel(t *testing.T) {
	document, problems := Parse([]byte(validYAML))
	require.Empty(t, problems)
	view, err := NewView(*document)
	require.NoError(t, err)
	version, _, found := view.ResolveModel("notes:billing")
	require.True(t, found)
	assert.Equal(t, fleet.ModelVersion{Model: "notes", Adapter: "billing", Version: "a1"}, version)
	for _, unknown := range []string{"", "notes:", "notes:x", "x", "notes:billing:a1"} {
		_, _, found := view.ResolveModel(unknown)
		assert.False(t, found, unknown)
	}
	state, _ := view.VersionState(fleet.ModelVersion{Model: "notes", Version: "v2"})
	assert.Equal(t, VersionLoading, state)
}

func FuzzChangeDecoding(f *testing.F) {
	f.Add([]byte(`[{"kind":"pool","name":"main","value":{"name":"main","max_streams":1,"max_loads":1}}]`))
	f.Fuzz(func(t *testing.T, patch []byte) {
		changes, err := ChangesFromMessages([]*rpc.ConfigChange{{Revision: 2, Patch: patch}})
		if err != nil {
			return
		}
		holder := NewHolder()
		_, err = holder.OfferSnapshot(validDocument(1))
		require.NoError(t, err)
		if _, _, err = holder.OfferChanges(changes); err != nil {
			require.Equal(t, fleet.Revision(1), holder.Revision())
		}
	})
}
