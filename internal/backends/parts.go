package backends

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tillerfall/tillerfall/internal/cachefeed"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/prefixindex"
)

// Part is a part of a prompt. Parts with the same identifier and scope have the same text.
type Part struct {
	ID     string
	Tokens int
}

// partLifetime is how long a part is assumed to stay cached after its last use. Workers evict the
// least recently used parts.
const partLifetime = 9 * time.Second

// partIndex is a prefix index of prompt parts with expiry.
type partIndex struct {
	index *prefixindex.Index
	// uses is a queue of part uses in order of time, from which expire removes the oldest.
	uses    []partUse
	lastUse map[partKey]time.Duration
	// tracked holds the runs whose caches report their changes. Their parts do not expire.
	tracked map[fleet.EngineRun]bool
}

type partKey struct {
	run  fleet.EngineRun
	hash fleet.BlockHash
}

type partUse struct {
	key    partKey
	usedAt time.Duration
}

func newPartIndex(maxParts int) *partIndex {
	return &partIndex{
		index:   prefixindex.New(prefixindex.Options{MaxBlocks: maxParts, Directory: true}),
		lastUse: make(map[partKey]time.Duration),
		tracked: make(map[fleet.EngineRun]bool),
	}
}

func (p *partIndex) add(run fleet.EngineRun) { p.index.AddRun(run) }
func (p *partIndex) remove(run fleet.EngineRun) {
	p.index.RemoveRun(run)
	delete(p.tracked, run)
}

func (p *partIndex) clear(run fleet.EngineRun) { p.index.Clear(run) }

// store records that a run holds parts that were used at now.
func (p *partIndex) store(now time.Duration, run fleet.EngineRun, hashes []fleet.BlockHash) {
	p.index.Store(run, hashes)
	if p.tracked[run] {
		return
	}
	for _, hash := range hashes {
		key := partKey{run: run, hash: hash}
		p.lastUse[key] = now
		p.uses = append(p.uses, partUse{key: key, usedAt: now})
	}
	p.expire(now)
}

// expire removes the parts that have not been used for partLifetime.
func (p *partIndex) expire(now time.Duration) {
	done := 0
	for _, use := range p.uses {
		if use.usedAt+partLifetime > now {
			break
		}
		done++
		if p.lastUse[use.key] == use.usedAt {
			delete(p.lastUse, use.key)
			p.index.Remove(use.key.run, []fleet.BlockHash{use.key.hash})
		}
	}
	if done > 0 {
		p.uses = append(p.uses[:0], p.uses[done:]...)
	}
}

// Scope returns a key that separates cached parts which must not be shared: those of different
// model versions, and those of isolated tenants.
func Scope(model fleet.ModelName, version ModelVersion, tenant fleet.TenantName, isolated bool) string {
	scope := string(model) + "@" + strconv.FormatUint(uint64(version), 10)
	if isolated {
		scope += "/" + string(tenant)
	}
	return scope
}

// PartChange is a change of a cache: the part was added if Stored is set, else evicted.
type PartChange struct {
	Stored bool
	Scope  string
	Part   string
}

// ObserveCache applies changes of a run's cache, in order. If reset is set, the parts recorded
// before are discarded first. It returns the changes in the form in which they are relayed to
// peers.
func (r *Registry) ObserveCache(run fleet.EngineRun, reset bool, changes []PartChange) []cachefeed.Change {
	relayed := make([]cachefeed.Change, len(changes))
	for index, change := range changes {
		relayed[index] = cachefeed.Change{Block: hashPart(change.Scope, change.Part), Stored: change.Stored}
	}
	r.ObserveRelayedCache(run, reset, relayed)
	return relayed
}

// ObserveRelayedCache is like ObserveCache, for changes relayed by a peer.
func (r *Registry) ObserveRelayedCache(run fleet.EngineRun, reset bool, changes []cachefeed.Change) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.parts.add(run)
	if reset {
		r.parts.clear(run)
	}
	r.parts.tracked[run] = true
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

// UntrackCache discards the parts of a run whose cache changes can no longer be followed.
func (r *Registry) UntrackCache(run fleet.EngineRun) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.parts.clear(run)
	delete(r.parts.tracked, run)
}

func hashPart(scope, part string) fleet.BlockHash {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(scope)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(part)
	return fleet.BlockHash(digest.Sum64())
}

// hashParts returns the hashes of the parts in a scope.
func hashParts(scope string, parts []Part) []fleet.BlockHash {
	hashes := make([]fleet.BlockHash, len(parts))
	for index, part := range parts {
		hashes[index] = hashPart(scope, part.ID)
	}
	return hashes
}

// cumulativeTokens returns the number of tokens up to the end of each part.
func cumulativeTokens(parts []Part) []int {
	ends := make([]int, len(parts))
	total := 0
	for index, part := range parts {
		total += part.Tokens
		ends[index] = total
	}
	return ends
}
