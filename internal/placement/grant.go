package placement

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// grantState is a grant in flight.
type grantState struct {
	request        *Request
	engine         *engineState
	rank           int
	uncachedTokens int
	grantedAt      time.Duration
	// prefillDoneAt is the predicted end of the prefill. From prefillOverdueAt on the prefill
	// counts as done even without a report.
	prefillDoneAt    time.Duration
	prefillOverdueAt time.Duration
	phase            Phase
	// expires is when the grant counts as lost unless a report arrives.
	expires   time.Duration
	heapIndex int

	ended   bool
	endedAt time.Duration
	// neverRan is set if the engine didn't receive the attempt.
	neverRan bool
}

// runtimeSlackFactor multiplies the predicted duration of a stream to get the time after which its
// grant counts as lost.
const runtimeSlackFactor = 4

// minimumRuntime is the least time for which an accepted grant is kept without a further report.
const minimumRuntime = 30 * time.Second

// prefillSlack is added to twice the predicted duration of a prefill to get the time after which it
// counts as done without a report.
const prefillSlack = 100 * time.Millisecond

// grantHeap orders grants by expiry.
type grantHeap []*grantState

func (h grantHeap) Len() int { return len(h) }

func (h grantHeap) Less(i, j int) bool {
	if order := cmp.Compare(h[i].expires, h[j].expires); order != 0 {
		return order < 0
	}
	return compareKeys(h[i].request.Key, h[j].request.Key) < 0
}

func (h grantHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *grantHeap) Push(element any) {
	grant := element.(*grantState)
	grant.heapIndex = len(*h)
	*h = append(*h, grant)
}

// Pop implements heap.Interface.
func (h *grantHeap) Pop() any {
	last := len(*h) - 1
	grant := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return grant
}

func compareKeys(a, b Key) int {
	if order := cmp.Compare(a.Request, b.Request); order != 0 {
		return order
	}
	return cmp.Compare(a.Attempt, b.Attempt)
}

// startGrant records a new grant as in flight.
func (c *Core) startGrant(now time.Duration, grant *grantState) {
	state := grant.engine
	queued := time.Duration(state.load.tokens(now)+grant.uncachedTokens) * state.load.timePerToken()
	grant.grantedAt = now
	grant.prefillDoneAt = now + queued + state.load.step
	grant.prefillOverdueAt = grant.prefillDoneAt + (grant.prefillDoneAt - now) + prefillSlack
	grant.expires = now + c.options.GrantValid + c.options.ReportGrace
	state.load.add(now, grant)
	state.prefilling = append(state.prefilling, grant)
	state.inFlight++
	c.grants[grant.request.Key] = grant
	heap.Push(&c.grantExpiry, grant)
}

// endGrant removes a grant from the load of its engine and from the core's indexes.
func (c *Core) endGrant(now time.Duration, grant *grantState, neverRan bool) {
	if grant.ended {
		return
	}
	state := grant.engine
	grant.ended = true
	grant.endedAt = now
	grant.neverRan = neverRan
	grant.request.Blocks = nil
	state.endPrefill(grant)
	state.inFlight--
	if neverRan {
		state.load.retract(now, grant, c.options.DispatchDelay)
	}
	c.dropGrant(grant)
}

// dropGrant removes a grant from the core's indexes.
func (c *Core) dropGrant(grant *grantState) {
	heap.Remove(&c.grantExpiry, grant.heapIndex)
	if c.grants[grant.request.Key] == grant {
		delete(c.grants, grant.request.Key)
	}
}

// endGrantsOf ends the grants of a run that is over.
func (c *Core) endGrantsOf(now time.Duration, state *engineState) {
	var ended []*grantState
	for _, grant := range c.grantExpiry {
		if grant.engine == state {
			ended = append(ended, grant)
		}
	}
	for _, grant := range ended {
		c.endGrant(now, grant, false)
	}
}

// dropOverduePrefills removes the prefills whose report is overdue.
func (e *engineState) dropOverduePrefills(now time.Duration) {
	e.prefilling = slices.DeleteFunc(e.prefilling, func(grant *grantState) bool {
		return grant.prefillOverdueAt <= now
	})
}

// isPrefilling reports whether other requests may wait for the grant's prompt.
func (g *grantState) isPrefilling(now time.Duration) bool {
	return !g.ended && g.phase < PhaseFirstToken && now < g.prefillOverdueAt
}

// endPrefill removes a grant from the prefills in progress.
func (e *engineState) endPrefill(grant *grantState) {
	if position := slices.Index(e.prefilling, grant); position >= 0 {
		e.prefilling = slices.Delete(e.prefilling, position, position+1)
	}
}

// Report applies an agent's report on a granted attempt. A report on an attempt that isn't in
// flight here, or of another run, has no effect, except that EngineLost still marks the engine
// unreachable.
func (c *Core) Report(now time.Duration, report AttemptReport) {
	c.advance(now)
	grant := c.grants[report.Key]
	if grant != nil && grant.engine.run == report.Run {
		c.applyReport(now, grant, report)
	}
	if report.EngineLost {
		c.markUnreachable(report)
	}
	c.dispatchWaiting(now)
}

func (c *Core) applyReport(now time.Duration, grant *grantState, report AttemptReport) {
	if report.Phase <= grant.phase {
		return
	}
	if report.Phase == PhaseFinished {
		grant.engine.recordStreamTime(now - grant.grantedAt)
	}
	if report.Phase.isTerminal() {
		c.endGrant(now, grant, report.Phase != PhaseFinished && grant.phase == 0)
		return
	}
	if report.Phase == PhaseFirstToken {
		c.finishPrefill(grant)
	}
	grant.phase = report.Phase
	grant.expires = now + c.longestRuntime(grant)
	heap.Fix(&c.grantExpiry, grant.heapIndex)
}

// finishPrefill adds a computed prompt to the index ahead of the engine's cache events.
func (c *Core) finishPrefill(grant *grantState) {
	state := grant.engine
	state.endPrefill(grant)
	if state.feed != nil {
		c.index.Store(state.run, grant.request.Blocks)
	}
	grant.request.Blocks = nil
}

// longestRuntime returns the time after which an accepted stream counts as lost.
func (c *Core) longestRuntime(grant *grantState) time.Duration {
	state := grant.engine
	step := max(state.load.step, time.Millisecond) + time.Duration(state.load.stepTokens)*state.load.perToken
	output := time.Duration(grant.request.MaxTokens) * step
	prompt := time.Duration(grant.uncachedTokens) * state.load.timePerToken()
	return max(runtimeSlackFactor*(output+prompt), minimumRuntime) + c.options.ReportGrace
}

// markUnreachable stops placement on an engine that an agent couldn't reach until its next status.
func (c *Core) markUnreachable(report AttemptReport) {
	state := c.engines[report.Run.Engine]
	if state == nil || state.run != report.Run || state.unreachable {
		return
	}
	state.unreachable = true
}

// expireGrants ends the grants whose reports are overdue.
func (c *Core) expireGrants(now time.Duration) {
	for len(c.grantExpiry) > 0 && c.grantExpiry[0].expires <= now {
		grant := c.grantExpiry[0]
		c.lostGrants++
		c.endGrant(now, grant, false)
	}
}
