// Package prompt turns prompt text into tokens and tokens into chained block
// hashes. Agents, engines and the emulator share it, because a prefix is found
// only where both sides hash alike.
package prompt

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// bytesPerToken is the width of a token in the engine protocol's byte-level
// tokenizer: each run of four bytes of text is one token, the last may be shorter.
const bytesPerToken = 4

// scopeSeparator keeps adjacent scope fields from running together; no name
// may contain it.
const scopeSeparator = "\x00"

// CountTokens returns the number of tokens of text.
func CountTokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

// CountBlocks returns how many whole blocks text fills. A partial last block is
// never cached and has no hash.
func CountBlocks(text string, blockTokens int) int {
	return len(text) / (bytesPerToken * blockTokens)
}

// HashBlocks returns the chained hashes of the whole blocks of text, longest
// prefix last. Every hash covers the scope and all earlier blocks. blockTokens
// is the number of tokens in a block and must be positive.
func HashBlocks(scope fleet.CacheScope, text string, blockTokens int) []fleet.BlockHash {
	blockBytes := bytesPerToken * blockTokens
	hashes := make([]fleet.BlockHash, 0, len(text)/blockBytes)
	parent := scopeHash(scope)
	for start := 0; start+blockBytes <= len(text); start += blockBytes {
		parent = chainHash(parent, text[start:start+blockBytes])
		hashes = append(hashes, fleet.BlockHash(parent))
	}
	return hashes
}

func scopeHash(scope fleet.CacheScope) uint64 {
	weights := scope.ModelVersion
	return xxhash.Sum64String(string(scope.Tenant) + scopeSeparator +
		string(weights.Model) + scopeSeparator +
		string(weights.Adapter) + scopeSeparator +
		string(weights.Version))
}

func chainHash(parent uint64, block string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(parent)
	var prefix [8]byte
	binary.LittleEndian.PutUint64(prefix[:], parent)
	_, _ = digest.Write(prefix[:])
	_, _ = digest.WriteString(block)
	return digest.Sum64()
}
