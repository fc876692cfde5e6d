package backends

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

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
		index: prefixindex.New(prefixindex.Options{MaxBlocks: maxParts}),
		last:  make(map[partKey]time.Duration),
	}
}

func (p *partIndex) add(run fleet.EngineRun)    { p.index.AddRun(run) }
func (p *partIndex) remove(run fleet.EngineRun) { p.index.RemoveRun(run) }
func (p *partIndex) clear(run fleet.EngineRun)  { p.index.Clear(run) }

// store notes that a run holds parts, used at now.
func (p *partIndex) store(now time.Duration, run fleet.EngineRun, hashes []fleet.BlockHash) {
	p.index.Store(run, hashes)
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

// hashParts returns the hashes of parts in a scope.
func hashParts(scope string, parts []Part) []fleet.BlockHash {
	hashes := make([]fleet.BlockHash, len(parts))
	var digest xxhash.Digest
	for index, part := range parts {
		digest.Reset()
		_, _ = digest.WriteString(scope)
		_, _ = digest.WriteString("\x00")
		_, _ = digest.WriteString(part.ID)
		hashes[index] = fleet.BlockHash(digest.Sum64())
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
