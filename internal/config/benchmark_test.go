package config

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// fleetDocument returns a document with the given number of tenants and 13 models.
func fleetDocument(revision fleet.Revision, tenants int) Document {
	var names []fleet.TenantName
	for index := range tenants - 1 {
		names = append(names, fleet.TenantName(fmt.Sprintf("tenant-%04d", index)))
	}
	document := validDocument(revision, names...)
	for index := range 12 {
		model := document.Models[0]
		model.Name = fleet.ModelName(fmt.Sprintf("model-%02d", index))
		document.Models = append(document.Models, model)
	}
	return Canonical(document)
}

// BenchmarkOfferChange measures the time to apply a change of one tenant, and the sizes of the
// change and of the whole document.
func BenchmarkOfferChange(b *testing.B) {
	for _, tenants := range []int{8, 108, 430, 1720} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			before := fleetDocument(1, tenants)
			after := Canonical(before)
			after.Revision = 2
			after.Tenants[0].Weight = 2
			change, err := Diff(before, after)
			require.NoError(b, err)
			patch, err := json.Marshal(change)
			require.NoError(b, err)
			whole, err := json.Marshal(after)
			require.NoError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				holder := NewHolder()
				_, err := holder.OfferSnapshot(before)
				require.NoError(b, err)
				b.StartTimer()
				accepted, _, err := holder.OfferChanges([]Change{change})
				require.NoError(b, err)
				require.True(b, accepted)
			}
			b.ReportMetric(float64(len(patch)), "change-bytes")
			b.ReportMetric(float64(len(whole)), "document-bytes")
		})
	}
}

func BenchmarkTenantByKey(b *testing.B) {
	view, err := NewView(fleetDocument(1, 430))
	require.NoError(b, err)
	for b.Loop() {
		view.TenantByKey("tenant-0007")
	}
}
