// Package prompt converts prompt text to tokens and tokens to chained block hashes. Agents, engines
// and the emulator share it because a prefix matches only if both sides compute the same hashes.
package prompt

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// bytesPerToken is the token width of the engine protocol's byte-level tokenizer: four bytes of
// text are one token, and the last token may be shorter.
const bytesPerToken = 4

// scopeSeparator separates the fields of a scope in its hash. Names can't contain it.
const scopeSeparator = "\x00"

// CountTokens returns the number of tokens of text.
func CountTokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

// CountBlocks returns the number of whole blocks in text. A partial last block is never cached and
// has no hash.
func CountBlocks(text string, blockTokens int) int {
	return len(text) / (bytesPerToken * blockTokens)
}

// HashBlocks returns the chained hashes of the whole blocks of text, ordered by prefix length. Each
// hash covers the scope and all earlier blocks. blockTokens is the number of tokens in a block and
// must be positive.
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
	modelVersion := scope.ModelVersion
	return xxhash.Sum64String(string(scope.Tenant) + scopeSeparator +
		string(modelVersion.Model) + scopeSeparator +
		string(modelVersion.Adapter) + scopeSeparator +
		string(modelVersion.Version))
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
