package emulator

import "github.com/tillerfall/tillerfall/internal/fleet"

// prefillLedger counts the prompt tokens of a run that have to be computed under any policy: each
// distinct block once, and for each prompt the remainder that doesn't fill a block, at least one
// token.
type prefillLedger struct {
	seen              map[fleet.BlockHash]struct{}
	unavoidableTokens int64
}

func newPrefillLedger() *prefillLedger {
	return &prefillLedger{seen: make(map[fleet.BlockHash]struct{})}
}

// recordPrompt adds a prompt that an engine has accepted.
func (l *prefillLedger) recordPrompt(blocks []fleet.BlockHash, promptTokens, blockTokens int) {
	for _, block := range blocks {
		if _, known := l.seen[block]; known {
			continue
		}
		l.seen[block] = struct{}{}
		l.unavoidableTokens += int64(blockTokens)
	}
	l.unavoidableTokens += int64(max(promptTokens-len(blocks)*blockTokens, 1))
}
