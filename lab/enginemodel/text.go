package enginemodel

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// variantLetters is the number of letters that mark the output of different generations.
const variantLetters = 26

// variantFor returns the letter that marks the tokens of one stream in one incarnation of an
// engine.
func variantFor(run fleet.EngineRun, stream fleet.StreamID) rune {
	digest := xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%s", run.Engine, run.Incarnation, stream))
	return 'a' + rune(digest%variantLetters)
}

// chainHash hashes the prompt, the index of the token and the token before it.
func chainHash(promptDigest uint64, index int, previous string) uint16 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], promptDigest)
	binary.LittleEndian.PutUint64(buffer[8:], uint64(index))
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(buffer[:])
	_, _ = digest.WriteString(previous)
	return uint16(digest.Sum64())
}

func tokenText(promptDigest uint64, index int, variant rune, previous string) string {
	return fmt.Sprintf("%d%c%04x ", index, variant, chainHash(promptDigest, index, previous))
}

// VerifyOutput checks that tokens are a contiguous output for a prompt: the indexes count from 0,
// and each token is chained to the prompt and to the token before it. Two generations joined
// without a continuation break the chain, except with a probability of 1 in 65,536.
func VerifyOutput(promptText string, tokens []string) error {
	promptDigest := xxhash.Sum64String(promptText)
	previous := ""
	for position, text := range tokens {
		var index int
		var variant rune
		var hash uint16
		if _, err := fmt.Sscanf(text, "%d%c%04x ", &index, &variant, &hash); err != nil {
			return fmt.Errorf("token %d: %q is not a valid token: %w", position, text, err)
		}
		if index != position {
			return fmt.Errorf("token %d has index %d", position, index)
		}
		if text != tokenText(promptDigest, position, variant, previous) {
			return fmt.Errorf("token %d: %q does not follow %q for this prompt", position, text, previous)
		}
		previous = text
	}
	return nil
}

// SplitOutput splits an output text into its tokens.
func SplitOutput(text string) []string {
	var tokens []string
	start := 0
	for i := range len(text) {
		if text[i] == ' ' {
			tokens = append(tokens, text[start:i+1])
			start = i + 1
		}
	}
	if start < len(text) {
		tokens = append(tokens, text[start:])
	}
	return tokens
}
