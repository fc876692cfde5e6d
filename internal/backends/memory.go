package backends

import "github.com/tillerfall/tillerfall/internal/fleet"

// memoryUse is what this node's requests hold, or will hold, in one engine's
// memory: the shared part of a prompt once for all requests that have it.
type memoryUse struct {
	ownTokens int
	// sharedTokens is the sum over shared.
	sharedTokens int
	shared       map[fleet.BlockHash]sharedUse
}

// sharedUse is a shared part of prompts and the requests that hold it.
type sharedUse struct {
	tokens   int
	requests int
}

// memoryNeed is what one request needs.
type memoryNeed struct {
	// prefix names the shared part of the prompt of sharedTokens; 0 means none.
	prefix       fleet.BlockHash
	sharedTokens int
	// ownTokens is the rest of the prompt and the output.
	ownTokens int
}

// tokens returns the sum.
func (m *memoryUse) tokens() int { return m.ownTokens + m.sharedTokens }

// tokensWith returns the sum tokensWith one more request.
func (m *memoryUse) tokensWith(need memoryNeed) int {
	total := m.tokens() + need.ownTokens
	if m.shared[need.prefix].requests == 0 {
		total += need.sharedTokens
	}
	return total
}

// add takes a request in.
func (m *memoryUse) add(need memoryNeed) {
	m.ownTokens += need.ownTokens
	if need.sharedTokens == 0 {
		return
	}
	if m.shared == nil {
		m.shared = make(map[fleet.BlockHash]sharedUse)
	}
	use := m.shared[need.prefix]
	m.sharedTokens += max(need.sharedTokens-use.tokens, 0)
	use.tokens = max(use.tokens, need.sharedTokens)
	use.requests++
	m.shared[need.prefix] = use
}

// remove takes a request out.
func (m *memoryUse) remove(need memoryNeed) {
	m.ownTokens -= need.ownTokens
	if need.sharedTokens == 0 {
		return
	}
	use := m.shared[need.prefix]
	use.requests--
	if use.requests <= 0 {
		m.sharedTokens -= use.tokens
		delete(m.shared, need.prefix)
		return
	}
	m.shared[need.prefix] = use
}

// memoryNeedOf returns what a request needs of an engine's memory in a scope.
func memoryNeedOf(engine *EngineRequest, scoped *promptScope) memoryNeed {
	need := memoryNeed{ownTokens: engine.PromptTokens + engine.OutputTokens}
	shared := len(engine.Parts) - 1
	if shared <= 0 {
		return need
	}
	for _, part := range engine.Parts[:shared] {
		need.sharedTokens += part.Tokens
	}
	need.sharedTokens = min(need.sharedTokens, engine.PromptTokens)
	need.ownTokens -= need.sharedTokens
	need.prefix = scoped.hashes[shared-1]
	return need
}
