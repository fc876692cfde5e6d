package prefixindex

import (
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const (
	benchmarkBlocks = 2_500_000
	benchmarkRuns   = 24
	// hotBlocks are held by every run.
	hotBlocks = 20_000
	batchSize = 64
)

// filledIndex returns an index of benchmarkBlocks distinct blocks. Every run holds the hot blocks;
// a tenth of the others have two or three holders, the rest one.
func filledIndex(random *rand.Rand) (*Index, []fleet.BlockHash) {
	index := New(Options{})
	hashes := make([]fleet.BlockHash, benchmarkBlocks)
	for position := range hashes {
		hashes[position] = fleet.BlockHash(random.Uint64())
	}
	for engine := range benchmarkRuns {
		index.AddRun(testRun(engine, 1))
		index.Store(testRun(engine, 1), hashes[:hotBlocks])
	}
	for position, hash := range hashes[hotBlocks:] {
		holders := 1
		if position%10 == 0 {
			holders = 2 + random.IntN(2)
		}
		for range holders {
			index.Store(testRun(random.IntN(benchmarkRuns), 1), []fleet.BlockHash{hash})
		}
	}
	return index, hashes
}

func heapBytes() uint64 {
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return statistics.HeapAlloc
}

// BenchmarkMemory reports the bytes per block, as counted by the tables and by the growth of the
// heap.
func BenchmarkMemory(b *testing.B) {
	for range b.N {
		before := heapBytes()
		index, hashes := filledIndex(rand.New(rand.NewPCG(1, 2)))
		grown := heapBytes() - before - uint64(len(hashes))*8
		b.ReportMetric(float64(index.Bytes())/float64(index.Blocks()), "table-B/block")
		b.ReportMetric(float64(grown)/float64(index.Blocks()), "heap-B/block")
		runtime.KeepAlive(hashes)
	}
}

// BenchmarkLookup looks up prompts whose blocks are all held by every run, the most expensive case,
// at varying places in the table.
func BenchmarkLookup(b *testing.B) {
	index, hashes := filledIndex(rand.New(rand.NewPCG(1, 2)))
	for name, blocks := range map[string]int{"512-blocks": 512, "2048-blocks": 2048} {
		b.Run(name, func(b *testing.B) {
			random := rand.New(rand.NewPCG(3, 4))
			prompt := make([]fleet.BlockHash, blocks)
			matches := make([]Match, 0, benchmarkRuns)
			b.ReportAllocs()
			for range b.N {
				b.StopTimer()
				start := random.IntN(hotBlocks - blocks)
				copy(prompt, hashes[start:start+blocks])
				b.StartTimer()
				matches = index.Lookup(prompt, matches)
			}
		})
	}
}

// BenchmarkChange stores and removes a block, or a batch of blocks, in a full-size index.
func BenchmarkChange(b *testing.B) {
	for name, batch := range map[string]int{"one-by-one": 1, "batches-of-64": batchSize} {
		b.Run(name, func(b *testing.B) {
			random := rand.New(rand.NewPCG(5, 6))
			index, _ := filledIndex(random)
			run := testRun(0, 1)
			fresh := make([]fleet.BlockHash, batch*b.N)
			for position := range fresh {
				fresh[position] = fleet.BlockHash(random.Uint64())
			}
			b.ReportAllocs()
			b.ResetTimer()
			for start := 0; start < len(fresh); start += batch {
				index.Store(run, fresh[start:start+batch])
				index.Remove(run, fresh[start:start+batch])
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(2*len(fresh)), "ns/block")
		})
	}
}
