// Package prefixindex records which engine runs hold which cached blocks, as reported by cache
// events. The index is approximate: only the engine decides whether a block is a hit. The package
// has no I/O and no clock.
//
// Each run has a slot in a bank of 64. A bank is an open-addressing table from block hash to a bit
// mask of slots, 16 bytes per entry. Removing a run clears its bit in the bank's live mask; an
// incremental sweep then reclaims its bits in the entries, after which the slot is reused.
package prefixindex

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// DefaultMaxBlocks is the default of Options.MaxBlocks. 4 Mi entries take up to 96 MB.
const DefaultMaxBlocks = 4 << 20

// Match is the number of leading blocks of a prompt that an engine run holds.
type Match struct {
	Run    fleet.EngineRun
	Blocks int
}

// Options sets the limits of an index.
type Options struct {
	// MaxBlocks bounds the number of entries; 0 means DefaultMaxBlocks. At the bound, storing a
	// block evicts another one.
	MaxBlocks int
	// Directory keeps a map from each block to its banks, at about 60 bytes per block, to keep
	// LookupLimited fast with thousands of runs.
	Directory bool
}

// runLocation is the bank and slot of a run.
type runLocation struct {
	bank *bank
	slot Slot
}

// Index maps block hashes to the engine runs that hold them. It isn't safe for concurrent use.
type Index struct {
	maxBlocks    int
	useDirectory bool
	directory    directory
	banks        []*bank
	runs         map[fleet.EngineRun]runLocation
	evicted      uint64
}

// New returns an empty index.
func New(options Options) *Index {
	maxBlocks := options.MaxBlocks
	if maxBlocks <= 0 {
		maxBlocks = DefaultMaxBlocks
	}
	return &Index{
		maxBlocks:    maxBlocks,
		useDirectory: options.Directory,
		runs:         make(map[fleet.EngineRun]runLocation),
	}
}

// AddRun adds a run without blocks. Adding a known run has no effect.
func (x *Index) AddRun(run fleet.EngineRun) {
	if _, known := x.runs[run]; known {
		return
	}
	x.runs[run] = x.allocate(run)
}

// RemoveRun removes a run in constant time. Later calls of Store and Remove reclaim the memory of
// its blocks incrementally.
func (x *Index) RemoveRun(run fleet.EngineRun) {
	location, known := x.runs[run]
	if !known {
		return
	}
	location.bank.retire(location.slot)
	delete(x.runs, run)
}

// Clear removes the blocks of a run, which stays known.
func (x *Index) Clear(run fleet.EngineRun) {
	location, known := x.runs[run]
	if !known || location.bank.counts[location.slot] == 0 {
		return
	}
	location.bank.retire(location.slot)
	x.runs[run] = x.allocate(run)
}

// Store records that a run holds blocks. It has no effect for an unknown run, so a late event can't
// revive a removed one.
func (x *Index) Store(run fleet.EngineRun, hashes []fleet.BlockHash) {
	location, known := x.runs[run]
	if !known {
		return
	}
	x.storeAt(location, hashes)
}

func (x *Index) storeAt(location runLocation, hashes []fleet.BlockHash) {
	for _, hash := range hashes {
		if !location.bank.add(hash, location.slot) {
			continue
		}
		if x.useDirectory {
			x.addToDirectory(hash, location.bank.number)
		}
		if x.Blocks() > x.maxBlocks {
			x.evict(hash)
		}
	}
	location.bank.reclaimIncrementally(len(hashes))
}

// Remove records that a run no longer holds blocks.
func (x *Index) Remove(run fleet.EngineRun, hashes []fleet.BlockHash) {
	location, known := x.runs[run]
	if !known {
		return
	}
	for _, hash := range hashes {
		location.bank.remove(hash, location.slot)
	}
	location.bank.reclaimIncrementally(len(hashes))
}

// Replace replaces all blocks of a run. Its duration grows with their number; BeginReplace does the
// same in steps.
func (x *Index) Replace(run fleet.EngineRun, hashes []fleet.BlockHash) {
	x.Clear(run)
	x.Store(run, hashes)
}

// Correct applies an engine's own report on a prompt: it held the first held blocks and none of the
// others.
func (x *Index) Correct(run fleet.EngineRun, hashes []fleet.BlockHash, held int) {
	held = min(max(held, 0), len(hashes))
	x.Store(run, hashes[:held])
	x.Remove(run, hashes[held:])
}

// Lookup appends to into[:0] every run that holds at least the first block of a prompt, with the
// length of its unbroken prefix. Blocks after a missing one don't count, because an engine can't
// use them. Matches are ordered by falling length, then by engine and incarnation.
func (x *Index) Lookup(hashes []fleet.BlockHash, into []Match) []Match {
	matches := into[:0]
	for _, bank := range x.banks {
		matches = bank.lookup(hashes, matches)
	}
	slices.SortFunc(matches, compareMatches)
	return matches
}

// HoldersOf returns the runs that hold a block, by engine and incarnation.
func (x *Index) HoldersOf(hash fleet.BlockHash) []fleet.EngineRun {
	var holders []fleet.EngineRun
	for _, bank := range x.banks {
		mask := bank.holders(hash)
		for ; mask != 0; mask &= mask - 1 {
			holders = append(holders, bank.runs[bits.TrailingZeros64(mask)])
		}
	}
	slices.SortFunc(holders, compareRuns)
	return holders
}

// Blocks returns the number of entries. It includes entries of removed runs that haven't been
// reclaimed yet, and counts a block once per bank that holds it.
func (x *Index) Blocks() int {
	total := 0
	for _, bank := range x.banks {
		total += bank.entries
	}
	return total
}

// BlocksOf returns the number of blocks that a run holds.
func (x *Index) BlocksOf(run fleet.EngineRun) int {
	location, known := x.runs[run]
	if !known {
		return 0
	}
	return location.bank.counts[location.slot]
}

// Bytes returns the memory used by the tables.
func (x *Index) Bytes() int {
	total := 0
	for _, bank := range x.banks {
		total += bank.bytes()
	}
	return total
}

// Evicted returns the number of entries evicted to stay within MaxBlocks.
func (x *Index) Evicted() uint64 { return x.evicted }

// Reclaim frees the memory of all removed runs at once. It visits the whole index, so call it only
// when idle.
func (x *Index) Reclaim() {
	for _, bank := range x.banks {
		bank.reclaimAll()
	}
}

// allocate returns a free slot, else one whose reclaim can be completed now, else one in a new
// bank.
func (x *Index) allocate(run fleet.EngineRun) runLocation {
	for _, bank := range x.banks {
		if slot, found := bank.allocate(run); found {
			return runLocation{bank: bank, slot: slot}
		}
	}
	for _, bank := range x.banks {
		if bank.dead == 0 {
			continue
		}
		bank.reclaimAll()
		slot, _ := bank.allocate(run)
		return runLocation{bank: bank, slot: slot}
	}
	added := newBank(len(x.banks))
	x.banks = append(x.banks, added)
	slot, _ := added.allocate(run)
	return runLocation{bank: added, slot: slot}
}

// evict removes an entry other than keep from the largest bank.
func (x *Index) evict(keep fleet.BlockHash) {
	largest := x.banks[0]
	for _, bank := range x.banks[1:] {
		if bank.entries > largest.entries {
			largest = bank
		}
	}
	if largest.evict(keep) {
		x.evicted++
	}
}

func compareMatches(a, b Match) int {
	if a.Blocks != b.Blocks {
		return cmp.Compare(b.Blocks, a.Blocks)
	}
	return compareRuns(a.Run, b.Run)
}

func compareRuns(a, b fleet.EngineRun) int {
	if a.Engine != b.Engine {
		return cmp.Compare(a.Engine, b.Engine)
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}
