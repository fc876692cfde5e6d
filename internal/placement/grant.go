package placement

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// grantState is one grant that counts as in flight.
type grantState struct {
	request        *Request
	engine         *engineState
	rank           int
	uncachedTokens int
	grantedAt      time.Duration
	// prefillDoneAt is when the prompt should be computed, computingUntil when it
	// counts as computed even if no report says so.
	prefillDoneAt    time.Duration
	prefillOverdueAt time.Duration
	phase            Phase
	// expires is when the grant counts as over unless a report comes.
	expires   time.Duration
	heapIndex int

	ended   bool
	endedAt time.Duration
	// neverRan tells that the engine didn't get the attempt.
	neverRan bool
}

// runtimeSlackFactor multiplies the predicted run time of a stream before its grant
// counts as lost.
const runtimeSlackFactor = 4

// minimumRuntime is the least time that an accepted grant is kept without a
// further report.
const minimumRuntime = 30 * time.Second

// prefillSlack is added to twice the predicted time of a prompt's computation
// before it counts as over without a report.
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

// startGrant counts a new grant as in flight.
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

// endGrant takes a grant out of the counts.
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

// dropGrantsOf forgets the grants of a run that is over.
func (c *Core) dropGrantsOf(now time.Duration, state *engineState) {
	var over []*grantState
	for _, grant := range c.grantExpiry {
		if grant.engine == state {
			over = append(over, grant)
		}
	}
	for _, grant := range over {
		c.endGrant(now, grant, false)
	}
}

// dropOverduePrefills stops counting prompts as being computed whose report is overdue.
func (e *engineState) dropOverduePrefills(now time.Duration) {
	e.prefilling = slices.DeleteFunc(e.prefilling, func(grant *grantState) bool {
		return grant.prefillOverdueAt <= now
	})
}

// isPrefilling tells whether others may wait for the grant's prompt.
func (g *grantState) isPrefilling(now time.Duration) bool {
	return !g.ended && g.phase < PhaseFirstToken && now < g.prefillOverdueAt
}

// endPrefill notes that a grant's prompt isn't being computed any more.
func (e *engineState) endPrefill(grant *grantState) {
	if position := slices.Index(e.prefilling, grant); position >= 0 {
		e.prefilling = slices.Delete(e.prefilling, position, position+1)
	}
}

// Report takes an agent's word on a granted attempt. Reports of attempts that
// aren't in flight here, or of another run, change nothing but the doubt about
// a lost engine.
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

// finishPrefill tells the index what the engine now holds, ahead of its late
// cache events.
func (c *Core) finishPrefill(grant *grantState) {
	state := grant.engine
	state.endPrefill(grant)
	if state.feed != nil {
		c.index.Store(state.run, grant.request.Blocks)
	}
	grant.request.Blocks = nil
}

// longestRuntime bounds the time until an accepted stream must have ended.
func (c *Core) longestRuntime(grant *grantState) time.Duration {
	state := grant.engine
	step := max(state.load.step, time.Millisecond) + time.Duration(state.load.stepTokens)*state.load.perToken
	output := time.Duration(grant.request.MaxTokens) * step
	prompt := time.Duration(grant.uncachedTokens) * state.load.timePerToken()
	return max(runtimeSlackFactor*(output+prompt), minimumRuntime) + c.options.ReportGrace
}

// markUnreachable stops placing on an engine that an agent couldn't reach, until it gives
// its status again.
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
