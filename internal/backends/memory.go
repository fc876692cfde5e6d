package backends

import "github.com/tillerfall/tillerfall/internal/fleet"

// memoryUse is the memory that this node's requests occupy, or will occupy, at an engine. A shared
// prefix counts once for all requests that use it.
type memoryUse struct {
	ownTokens int
	// sharedTokens is the total size of the prefixes in shared.
	sharedTokens int
	shared       map[fleet.BlockHash]sharedUse
}

// sharedUse is a shared prefix with the number of requests that use it.
type sharedUse struct {
	tokens   int
	requests int
}

// memoryNeed is the memory that one request needs.
type memoryNeed struct {
	// prefix identifies the shared prefix of sharedTokens tokens; 0 means none.
	prefix       fleet.BlockHash
	sharedTokens int
	// ownTokens is the size of the remaining prompt and the output.
	ownTokens int
}

// tokens returns the memory in use.
func (m *memoryUse) tokens() int { return m.ownTokens + m.sharedTokens }

// tokensWith returns the memory in use with one more request.
func (m *memoryUse) tokensWith(need memoryNeed) int {
	total := m.tokens() + need.ownTokens
	if m.shared[need.prefix].requests == 0 {
		total += need.sharedTokens
	}
	return total
}

// add adds a request.
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

// remove removes a request.
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

// memoryNeedOf returns the memory that a request needs at an engine.
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
