package backends

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// Parameters of a simulated fleet of engines, as seen by one of a dozen nodes.
const (
	simulatedPeers = 12
	simulatedSlots = 12
	simulatedZones = 3
	// prefixesPerEngine is the number of long shared prefixes for each engine, and
	// maxHoldersPerPrefix the maximum number of engines that hold one of them.
	prefixesPerEngine   = 4
	maxHoldersPerPrefix = 6
	// commonPrefixes is the number of short prefixes that every engine holds.
	commonPrefixes = 16
	longShare      = 0.08
)

// simulatedFleet is a registry of engines under load, with a stream of requests.
type simulatedFleet struct {
	registry *Registry
	random   *rand.Rand
	engines  int
	// meanInFlight is the mean number of requests in flight at an engine over all nodes.
	meanInFlight float64
	now          time.Duration
	requests     int
	placements   []*Placement
	// sorted holds the engines by load, and nodeEngines those assigned to one node, for
	// BenchmarkStrategies.
	sorted, nodeEngines []*workerState
}

func newSimulatedFleet(engines int, meanInFlight float64, options Options) *simulatedFleet {
	options.Random = rand.New(rand.NewPCG(1, 2))
	options.Scheduling = scheduling.DefaultOptions()
	options.Scheduling.TieFraction, options.Scheduling.ImportWeight = 0.02, 45*time.Microsecond
	options.MaxParts = 1 << 21
	f := &simulatedFleet{registry: New(options), random: rand.New(rand.NewPCG(3, uint64(engines))), engines: engines, meanInFlight: meanInFlight}
	for number := range engines {
		worker := engineWorker(number, 1)
		worker.Slots = simulatedSlots
		worker.Zone = fleet.ZoneName(fmt.Sprintf("z%d", number%simulatedZones))
		f.registry.Observe(fleet.Revision(number+1), worker)
	}
	f.registry.SetMemoryCapacity("engines", 130_000)
	f.registry.SetPeerCount(simulatedPeers)
	f.fillCaches()
	f.reportPeers()
	return f
}

// fillCaches stores the common prefixes at all engines and each long prefix at a few.
func (f *simulatedFleet) fillCaches() {
	scope := Scope(testModel, 1, "t", false)
	changes := make([][]PartChange, f.engines)
	for number := range changes {
		for common := range commonPrefixes {
			changes[number] = append(changes[number], PartChange{true, scope, fmt.Sprint("common-", common)})
		}
	}
	for prefix := range prefixesPerEngine * f.engines {
		for range 1 + f.random.IntN(maxHoldersPerPrefix) {
			index := f.random.IntN(f.engines)
			changes[index] = append(changes[index], PartChange{true, scope, fmt.Sprint("long-", prefix)})
		}
	}
	for number, held := range changes {
		f.registry.ObserveCache(fleet.EngineRun{Engine: engineWorker(number, 1).ID}, true, held)
	}
}

// reportPeers observes a report of each peer.
func (f *simulatedFleet) reportPeers() {
	for peer := range simulatedPeers {
		var report PeerReport
		for number := range f.engines {
			if load, any := f.peerLoad(number); any {
				report.Loads = append(report.Loads, load)
			}
		}
		f.registry.ObservePeer(f.now, fleet.NodeID(fmt.Sprint(peer)), report)
	}
}

// peerLoad returns a random load of one peer at an engine, and whether it is not empty.
func (f *simulatedFleet) peerLoad(number int) (Load, bool) {
	load := Load{Engine: engineWorker(number, 1).ID}
	for f.random.Float64() < f.meanInFlight/simulatedPeers/(1+f.meanInFlight/simulatedPeers) {
		load.InFlight++
		load.MemoryTokens += 2000
		if f.random.IntN(4) == 0 {
			load.PrefillTokens += f.random.IntN(4000)
		}
	}
	load.Priorities[1] = PriorityLoad{InFlight: int32(load.InFlight), PrefillTokens: int32(load.PrefillTokens)}
	return load, load.InFlight > 0
}

// request returns the next request: a short prompt with a common prefix, or a long one.
func (f *simulatedFleet) request() *Request {
	f.requests++
	own := fmt.Sprint("own-", f.requests)
	engine := &EngineRequest{
		Model: testModel, Tenant: "t", TokenBytes: 160_000, LinkMegabits: 550_000, OutputTokens: 40, Priority: 1,
		Target: 500 * time.Millisecond, TimeLeft: 500 * time.Millisecond, MayRefuse: true, EventTokens: 7,
		Store: testStore, StoreMegabits: 340_000,
	}
	if f.random.Float64() < longShare {
		prefix := fmt.Sprint("long-", f.random.IntN(prefixesPerEngine*f.engines))
		engine.Parts = []Part{{prefix, 13_300}, {own, 3_720}}
		engine.PromptTokens = 17_020
	} else {
		engine.Parts = []Part{{fmt.Sprint("common-", f.random.IntN(commonPrefixes)), 92}, {own, 291}}
		engine.PromptTokens = 383
	}
	return &Request{Service: "engines", Engine: engine, HasConnection: func(*Worker) bool { return true }}
}

// step advances the time, ends requests and applies a load update of a peer.
func (f *simulatedFleet) step() {
	f.now += time.Millisecond
	if len(f.placements) > 64 {
		f.placements[0].FirstByte(f.now)
		f.placements[0].End(f.now, Succeeded)
		f.placements = f.placements[1:]
	}
	load, _ := f.peerLoad(f.random.IntN(f.engines))
	f.registry.UpdatePeerLoads(fleet.NodeID(fmt.Sprint(f.random.IntN(simulatedPeers))), []Load{load})
	if f.now%(600*time.Millisecond) == 0 {
		f.reportPeers()
	}
}

// BenchmarkChoose measures the choice of an engine for several fleet sizes.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{12, 90, 1000, 3000, 10_000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			simulated := newSimulatedFleet(engines, simulatedSlots/3, Options{Zone: "z0"})
			histogram := hdrhistogram.New(1, int64(10*time.Second), 3)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				simulated.step()
				request := simulated.request()
				b.StartTimer()
				start := time.Now()
				placement, refusal := simulated.registry.Choose(simulated.now, request)
				elapsed := time.Since(start)
				if placement == nil {
					b.Fatal(refusal)
				}
				_ = histogram.RecordValue(int64(elapsed))
				simulated.placements = append(simulated.placements, placement)
			}
			const nanosPerMicro = 1e3
			b.ReportMetric(float64(histogram.ValueAtQuantile(50))/nanosPerMicro, "p50-µs")
			b.ReportMetric(float64(histogram.ValueAtQuantile(99))/nanosPerMicro, "p99-µs")
		})
	}
}

// BenchmarkObservePeer measures replacing a peer's report with requests at a quarter of the
// engines, during which choices are blocked.
func BenchmarkObservePeer(b *testing.B) {
	for _, engines := range []int{90, 1000, 10_000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			simulated := newSimulatedFleet(engines, simulatedSlots/3, Options{Zone: "z0"})
			var reports [2]PeerReport
			for index := range reports {
				for number := range engines {
					if load, any := simulated.peerLoad(number); any {
						reports[index].Loads = append(reports[index].Loads, load)
					}
				}
			}
			turn := 0
			for b.Loop() {
				turn++
				simulated.registry.ObservePeer(0, "0", reports[turn%len(reports)])
			}
		})
	}
}
