package gateway

import (
	"fmt"
	"testing"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

// BenchmarkDeriveShare measures the derivation of a gateway's share of the slots of a service, which a
// gateway makes at most each shareInterval while the service's workers bear few rejections.
func BenchmarkDeriveShare(b *testing.B) {
	for _, size := range []struct{ gateways, workers int }{{7, 22}, {195, 2000}, {985, 9998}} {
		b.Run(fmt.Sprintf("%d gateways, %d workers", size.gateways, size.workers), func(b *testing.B) {
			serving := make([]membership.Member, size.gateways)
			for number := range serving {
				serving[number].Node = fleet.NodeID(fmt.Sprintf("node-%04d", number))
			}
			all := make([]backends.Worker, size.workers)
			for number := range all {
				all[number] = backends.Worker{ID: fleet.EngineID(fmt.Sprintf("w-%05d", number)), Service: "app", Slots: 6}
			}
			workers := make([]backends.Worker, len(all))
			b.ReportAllocs()
			for b.Loop() {
				copy(workers, all)
				deriveShare("node-0003", "app", workers, serving)
			}
		})
	}
}
