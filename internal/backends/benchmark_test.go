package backends

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// BenchmarkChooseWithManyPeers measures a choice among 3,000 engines after each load update, with a
// dozen peers that each use 600 of them.
func BenchmarkChooseWithManyPeers(b *testing.B) {
	const engines, peers, used = 3000, 12, 600
	random := rand.New(rand.NewPCG(1, 2))
	registry := New(Options{Zone: "a", Random: random, Scheduling: scheduling.DefaultOptions()})
	for number := range engines {
		registry.Observe(fleet.Revision(number+1), engineWorker(number, 1))
	}
	registry.SetPeerCount(peers)
	load := func(number int) Load {
		load := Load{Engine: fleet.EngineID(fmt.Sprintf("e%d", number)), InFlight: 3, PrefillTokens: 900, MemoryTokens: 9000}
		load.Priorities[number%3] = PriorityLoad{InFlight: 3, PrefillTokens: 900}
		return load
	}
	for peer := range peers {
		report := PeerReport{}
		for range used {
			report.Loads = append(report.Loads, load(random.IntN(engines)))
		}
		registry.ObservePeer(0, fleet.NodeID(fmt.Sprint(peer)), report)
	}
	b.ReportAllocs()
	for b.Loop() {
		registry.UpdatePeerLoads(fleet.NodeID(fmt.Sprint(random.IntN(peers))), []Load{load(random.IntN(engines))})
		placement, _ := registry.Choose(0, engineRequest("p"))
		placement.End(0, Succeeded)
	}
}
