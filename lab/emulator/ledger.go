package emulator

import "github.com/tillerfall/tillerfall/internal/fleet"

// prefillLedger counts the prompt work of a run that no router could have avoided: the
// first computation of each distinct block, and of each prompt what doesn't
// fill a block, at least one token.
type prefillLedger struct {
	seen        map[fleet.BlockHash]struct{}
	unavoidable int64
}

func newPrefillLedger() *prefillLedger {
	return &prefillLedger{seen: make(map[fleet.BlockHash]struct{})}
}

// recordPrompt counts a prompt that an engine has accepted.
func (l *prefillLedger) recordPrompt(blocks []fleet.BlockHash, promptTokens, blockTokens int) {
	for _, block := range blocks {
		if _, known := l.seen[block]; known {
			continue
		}
		l.seen[block] = struct{}{}
		l.unavoidable += int64(blockTokens)
	}
	l.unavoidable += int64(max(promptTokens-len(blocks)*blockTokens, 1))
}
