package enginemodel

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Execution is the admission of a stream to a batch.
type Execution struct {
	Stream fleet.StreamID
	At     time.Duration
	// Scope is the cache scope of the stream. It is empty for streams without text.
	Scope fleet.CacheScope
	// CachedBlocks counts the leading blocks taken from the cache, ForeignBlocks those among them
	// that were computed for another scope.
	CachedBlocks  int
	ForeignBlocks int
}

// history records what invariant checkers need. It is empty unless Config.RecordHistory is set.
type history struct {
	executions []Execution
	stored     map[fleet.BlockHash]struct{}
}

func (e *Engine) recordExecution(s *stream, cached int) {
	if !e.config.RecordHistory {
		return
	}
	execution := Execution{Stream: s.id, At: e.now, CachedBlocks: cached}
	if s.text != nil {
		execution.Scope = s.text.scope
	}
	for _, hash := range s.hashes[:cached] {
		if !e.blocks.isInScope(hash, s.scope) {
			execution.ForeignBlocks++
		}
	}
	e.history.executions = append(e.history.executions, execution)
}

// TakeExecutions returns the executions recorded since the last call, oldest first.
// Config.RecordHistory must be set.
func (e *Engine) TakeExecutions() []Execution {
	executions := e.history.executions
	e.history.executions = nil
	return executions
}

// EverStored reports whether the current incarnation has held a block at any time.
// Config.RecordHistory must be set.
func (e *Engine) EverStored(hash fleet.BlockHash) bool {
	_, stored := e.history.stored[hash]
	return stored
}
