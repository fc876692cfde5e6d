package emulator

import (
	"github.com/cespare/xxhash/v2"

	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/prefixindex"
)

// RoundRobin uses the engines in turn, with a different start at each router.
func RoundRobin() Policy {
	return Policy{Name: PolicyRoundRobin, Routing: RouteRoundRobin, New: newBaselineRouter(chooseRoundRobin, false)}
}

func chooseRoundRobin(r *baselineRouter, _ *placement.Request, candidates []*baselineEngine) *baselineEngine {
	r.turn++
	return candidates[r.turn%len(candidates)]
}

// LeastLoaded uses the engine with the fewest streams: those of the lagging load report plus the
// router's own grants since its measurement. Ties are broken at random.
func LeastLoaded() Policy {
	return Policy{Name: PolicyLeastLoaded, Routing: RouteRoundRobin, New: newBaselineRouter(chooseLeastLoaded, false)}
}

func chooseLeastLoaded(r *baselineRouter, _ *placement.Request, candidates []*baselineEngine) *baselineEngine {
	var best *baselineEngine
	equal := 0
	for _, candidate := range candidates {
		switch {
		case best == nil || candidate.streams() < best.streams():
			best, equal = candidate, 1
		case candidate.streams() == best.streams():
			equal++
			if r.random.IntN(equal) == 0 {
				best = candidate
			}
		}
	}
	return best
}

func (e *baselineEngine) streams() int {
	return e.load.RunningStreams + e.load.WaitingStreams + len(e.recentGrants)
}

// PrefixHash maps equal prompt prefixes to one engine by rendezvous hashing (Thaler and Ravishankar
// 1998). It ignores load.
func PrefixHash() Policy {
	return Policy{Name: PolicyPrefixHash, Routing: RouteRoundRobin, New: newBaselineRouter(chooseByHash, false)}
}

// hashedBlocks is the number of leading blocks that select the engine. Every prompt of the workloads
// has at least one.
const hashedBlocks = 4

func chooseByHash(_ *baselineRouter, request *placement.Request, candidates []*baselineEngine) *baselineEngine {
	key := uint64(request.Blocks[min(len(request.Blocks), hashedBlocks)-1])
	var best *baselineEngine
	var bestScore uint64
	for _, candidate := range candidates {
		var digest xxhash.Digest
		digest.ResetWithSeed(key)
		_, _ = digest.WriteString(string(candidate.run.Engine))
		if score := digest.Sum64(); best == nil || score > bestScore {
			best, bestScore = candidate, score
		}
	}
	return best
}

// PrefixMatch uses the engine with the longest cached prefix according to the router's lagging
// index, and the least loaded among equal ones.
func PrefixMatch() Policy {
	return Policy{Name: PolicyPrefixMatch, Routing: RouteByPrefix, New: newBaselineRouter(chooseByPrefixMatch, true)}
}

func chooseByPrefixMatch(r *baselineRouter, request *placement.Request, candidates []*baselineEngine) *baselineEngine {
	r.matches = r.index.Lookup(request.Blocks, r.matches)
	longest := 0
	var holders []*baselineEngine
	for _, candidate := range candidates {
		blocks := matchedBlocks(r.matches, candidate)
		if blocks > longest {
			longest = blocks
			holders = holders[:0]
		}
		if blocks == longest {
			holders = append(holders, candidate)
		}
	}
	return chooseLeastLoaded(r, request, holders)
}

// matchedBlocks returns the length in blocks of the prefix that matches report for a candidate.
func matchedBlocks(matches []prefixindex.Match, candidate *baselineEngine) int {
	for _, match := range matches {
		if match.Run == candidate.run {
			return match.Blocks
		}
	}
	return 0
}
