package workload

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Blocks returns the chained hashes of the whole blocks of the prompt, computed from segment
// identifiers instead of text. Requests of one scope share exactly the hashes of the blocks in
// their common token prefix.
func (r Request) Blocks(blockTokens int) []fleet.BlockHash {
	total := r.PromptTokens() / blockTokens
	hashes := make([]fleet.BlockHash, 0, total)
	cursor := segmentCursor{segments: r.Segments}
	parent := xxhash.Sum64String(string(r.Tenant) + "\x00" + string(r.ModelVersion.Model) +
		"\x00" + string(r.ModelVersion.Adapter) + "\x00" + string(r.ModelVersion.Version))
	for range total {
		parent = cursor.hashBlock(parent, blockTokens)
		hashes = append(hashes, fleet.BlockHash(parent))
	}
	return hashes
}

// segmentCursor is a token position in a list of segments.
type segmentCursor struct {
	segments []Segment
	segment  int
	offset   int
}

// hashBlock folds the next count tokens into the hash of the parent block. A block may span several
// segments.
func (c *segmentCursor) hashBlock(parent uint64, count int) uint64 {
	hash := parent
	for count > 0 {
		current := c.segments[c.segment]
		taken := min(count, current.Tokens-c.offset)
		hash = hashValues(hash, current.ID, uint64(c.offset), uint64(taken))
		c.advance(taken)
		count -= taken
	}
	return hash
}

func (c *segmentCursor) advance(tokens int) {
	c.offset += tokens
	if c.offset == c.segments[c.segment].Tokens {
		c.segment++
		c.offset = 0
	}
}

func hashValues(values ...uint64) uint64 {
	var buffer [32]byte
	for i, value := range values {
		binary.LittleEndian.PutUint64(buffer[i*8:], value)
	}
	return xxhash.Sum64(buffer[:len(values)*8])
}
