package scheduling_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/prefixindex"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

const (
	indexBlocks  = 2_500_000
	sharedBlocks = 250_000
	promptTokens = 32 << 10
)

// benchmarkFixture is a full-size prefix index and a snapshot of engines.
type benchmarkFixture struct {
	index     *prefixindex.Index
	endpoints []scheduling.Endpoint
	positions map[fleet.EngineRun]int
	shared    []fleet.BlockHash
	random    *rand.Rand
}

// newBenchmarkFixture stores sharedBlocks at every engine and splits the remaining blocks among the
// engines.
func newBenchmarkFixture(engines int) *benchmarkFixture {
	fixture := &benchmarkFixture{
		index:     prefixindex.New(prefixindex.Options{}),
		positions: make(map[fleet.EngineRun]int),
		random:    rand.New(rand.NewPCG(1, uint64(engines))),
	}
	fixture.shared = fixture.randomHashes(sharedBlocks)
	for number := range engines {
		run := fleet.EngineRun{Engine: fleet.EngineID(fmt.Sprintf("engine-%03d", number)), Incarnation: 1}
		fixture.index.AddRun(run)
		fixture.index.Store(run, fixture.shared)
		fixture.index.Store(run, fixture.randomHashes((indexBlocks-sharedBlocks)/engines))
		fixture.positions[run] = number
		fixture.endpoints = append(fixture.endpoints, scheduling.Endpoint{
			Run: run, Pool: "pool", Ready: true,
			Serves:        func(version fleet.ModelVersion) bool { return version.Model == "m" },
			InFlight:      fixture.random.IntN(8),
			PrefillTokens: fixture.random.IntN(60_000),
		})
	}
	return fixture
}

func (b *benchmarkFixture) randomHashes(count int) []fleet.BlockHash {
	hashes := make([]fleet.BlockHash, count)
	for position := range hashes {
		hashes[position] = fleet.BlockHash(b.random.Uint64())
	}
	return hashes
}

// prompt returns a chain at a random offset of the index: nine tenths are held by every engine, the
// rest by none.
func (b *benchmarkFixture) prompt(blocks int) []fleet.BlockHash {
	start := b.random.IntN(sharedBlocks - blocks)
	prompt := append([]fleet.BlockHash(nil), b.shared[start:start+blocks]...)
	copy(prompt[blocks*9/10:], b.randomHashes(blocks-blocks*9/10))
	return prompt
}

// decide makes one decision, from block hashes to an engine.
func (b *benchmarkFixture) decide(scheduler *scheduling.Scheduler, request scheduling.Request, prompt []fleet.BlockHash, matches []prefixindex.Match) ([]prefixindex.Match, bool) {
	matches = b.index.Lookup(prompt, matches)
	for position := range b.endpoints {
		b.endpoints[position].CachedBlocks = 0
	}
	for _, match := range matches {
		b.endpoints[b.positions[match.Run]].CachedBlocks = match.Blocks
	}
	_, found := scheduler.Schedule(request, b.endpoints, b.random)
	return matches, found
}

// BenchmarkDecision measures prefix lookup and scheduling for a prompt of 32 Ki tokens over an
// index of 2.5 million blocks.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{16, 64} {
		fixture := newBenchmarkFixture(engines)
		for _, blockTokens := range []int{64, 16} {
			name := fmt.Sprintf("engines=%d/blocks=%d", engines, promptTokens/blockTokens)
			b.Run(name, func(b *testing.B) { benchmarkDecision(b, fixture, blockTokens) })
		}
	}
}

func benchmarkDecision(b *testing.B, fixture *benchmarkFixture, blockTokens int) {
	scheduler := scheduling.New(scheduling.DefaultOptions())
	request := scheduling.Request{
		ModelVersion: fleet.ModelVersion{Model: "m"}, Pool: "pool",
		PromptTokens: promptTokens, BlockTokens: blockTokens,
	}
	histogram := hdrhistogram.New(1, int64(time.Second), 3)
	var matches []prefixindex.Match
	b.ReportAllocs()
	for range b.N {
		prompt := fixture.prompt(promptTokens / blockTokens)
		start := time.Now()
		var found bool
		matches, found = fixture.decide(scheduler, request, prompt, matches)
		elapsed := time.Since(start)
		if !found {
			b.Fatal("no endpoint was found")
		}
		_ = histogram.RecordValue(int64(elapsed))
	}
	const nanosPerMicro = 1e3
	b.ReportMetric(float64(histogram.ValueAtQuantile(50))/nanosPerMicro, "p50-µs")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/nanosPerMicro, "p99-µs")
}
