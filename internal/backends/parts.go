package backends

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tillerfall/tillerfall/internal/cachefeed"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/prefixindex"
)

// Part is one named part of a prompt. Parts with the same identifier in the
// same scope are the same text.
type Part struct {
	ID     string
	Tokens int
}

// partLifetime is how long a part counts as held after its last use: a worker
// drops the parts that were unused longest.
const partLifetime = 9 * time.Second

// partIndex is a prefix index over named parts, whose entries run out.
type partIndex struct {
	index *prefixindex.Index
	// uses is a queue of the uses in order of time, which expire counts down.
	uses []partUse
	last map[partKey]time.Duration
	// followed holds the runs whose changes are followed, so that nothing of
	// theirs needs to run out.
	followed map[fleet.EngineRun]bool
}

type partKey struct {
	run  fleet.EngineRun
	hash fleet.BlockHash
}

type partUse struct {
	key partKey
	at  time.Duration
}

func newPartIndex(maxParts int) *partIndex {
	return &partIndex{
		index:    prefixindex.New(prefixindex.Options{MaxBlocks: maxParts, Directory: true}),
		last:     make(map[partKey]time.Duration),
		followed: make(map[fleet.EngineRun]bool),
	}
}

func (p *partIndex) add(run fleet.EngineRun) { p.index.AddRun(run) }
func (p *partIndex) remove(run fleet.EngineRun) {
	p.index.RemoveRun(run)
	delete(p.followed, run)
}

func (p *partIndex) clear(run fleet.EngineRun) { p.index.Clear(run) }

// store notes that a run holds parts, used at now.
func (p *partIndex) store(now time.Duration, run fleet.EngineRun, hashes []fleet.BlockHash) {
	p.index.Store(run, hashes)
	if p.followed[run] {
		return
	}
	for _, hash := range hashes {
		key := partKey{run: run, hash: hash}
		p.last[key] = now
		p.uses = append(p.uses, partUse{key: key, at: now})
	}
	p.expire(now)
}

// expire removes the parts that have not been used for their lifetime.
func (p *partIndex) expire(now time.Duration) {
	done := 0
	for _, use := range p.uses {
		if use.at+partLifetime > now {
			break
		}
		done++
		if p.last[use.key] == use.at {
			delete(p.last, use.key)
			p.index.Remove(use.key.run, []fleet.BlockHash{use.key.hash})
		}
	}
	if done > 0 {
		p.uses = append(p.uses[:0], p.uses[done:]...)
	}
}

// Scope returns the text that separates cached parts which must not meet: those
// of different versions of a model's weights, and those of an isolated tenant
// from all others'.
func Scope(model fleet.ModelName, version WeightsVersion, tenant fleet.TenantName, isolated bool) string {
	scope := string(model) + "@" + strconv.FormatUint(uint64(version), 10)
	if isolated {
		scope += "/" + string(tenant)
	}
	return scope
}

// PartChange tells that a cache holds or has dropped a part.
type PartChange struct {
	Held  bool
	Scope string
	Part  string
}

// ObserveCache takes in changes of a cache, in order. anew is set if what was
// known of it before doesn't hold any more. It returns the changes as other nodes are told
// them.
func (r *Registry) ObserveCache(run fleet.EngineRun, anew bool, changes []PartChange) []cachefeed.Change {
	told := make([]cachefeed.Change, len(changes))
	for index, change := range changes {
		told[index] = cachefeed.Change{Block: hashPart(change.Scope, change.Part), Stored: change.Held}
	}
	r.ObserveTold(run, anew, told)
	return told
}

// ObserveTold is ObserveCache for changes by another node's word.
func (r *Registry) ObserveTold(run fleet.EngineRun, anew bool, changes []cachefeed.Change) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.parts.add(run)
	if anew {
		r.parts.clear(run)
	}
	r.parts.followed[run] = true
	var hash [1]fleet.BlockHash
	for _, change := range changes {
		hash[0] = change.Block
		if change.Stored {
			r.parts.index.Store(run, hash[:])
		} else {
			r.parts.index.Remove(run, hash[:])
		}
	}
}

// LoseCache takes in that a cache can't be followed any more.
func (r *Registry) LoseCache(run fleet.EngineRun) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.parts.clear(run)
	delete(r.parts.followed, run)
}

func hashPart(scope, part string) fleet.BlockHash {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(scope)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(part)
	return fleet.BlockHash(digest.Sum64())
}

// hashParts returns the hashes of parts in a scope.
func hashParts(scope string, parts []Part) []fleet.BlockHash {
	hashes := make([]fleet.BlockHash, len(parts))
	for index, part := range parts {
		hashes[index] = hashPart(scope, part.ID)
	}
	return hashes
}

// cumulate returns the tokens up to the end of each part.
func cumulate(parts []Part) []int {
	ends := make([]int, len(parts))
	total := 0
	for index, part := range parts {
		total += part.Tokens
		ends[index] = total
	}
	return ends
}
