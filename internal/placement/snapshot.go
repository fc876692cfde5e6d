package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/flowcontrol"
)

// EngineCondition summarises whether an engine gets requests.
type EngineCondition string

// Conditions of an engine.
const (
	EngineReady       EngineCondition = "ready"
	EngineLeaving     EngineCondition = "leaving"
	EngineUnreachable EngineCondition = "unreachable"
	// EngineUnknown means that the current run hasn't reported its status recently.
	EngineUnknown EngineCondition = "unknown"
)

// EngineSnapshot describes a listed engine.
type EngineSnapshot struct {
	Run       fleet.EngineRun
	Address   fleet.Address
	Zone      fleet.ZoneName
	Pool      fleet.PoolName
	Role      engine.Role
	Condition EngineCondition
	Leaving   LeavingSource
	Owned     bool
	Loaded    []fleet.ModelVersion
	// InFlight counts the streams granted here and not known to have ended. Streams also includes
	// those of other routers.
	InFlight int
	Streams  int
	// QueueTokens and QueueTime are the estimated prompt work.
	QueueTokens int
	QueueTime   time.Duration
	// CachedBlocks is the number of blocks that the index holds for the run. CacheTrusted is false
	// for an engine that isn't owned, before the first cache snapshot, and from a loss of events
	// until the next one.
	CachedBlocks int
	CacheTrusted bool
}

// Snapshot is a router's state for operators.
type Snapshot struct {
	Node     fleet.NodeID
	Revision fleet.Revision
	Draining bool
	Engines  []EngineSnapshot
	Waiting  []flowcontrol.ClassWaiting
	// WaitingRequests and InFlight count requests and grants; LostGrants counts the grants whose
	// end was never reported.
	WaitingRequests int
	InFlight        int
	LostGrants      uint64
	IndexBlocks     int
	IndexBytes      int
}

// Snapshot returns the state at now, with engines ordered by identifier.
func (c *Core) Snapshot(now time.Duration) Snapshot {
	snapshot := Snapshot{
		Node:            c.options.Node,
		Draining:        c.draining,
		Waiting:         c.flow.Snapshot(now),
		WaitingRequests: len(c.waiting),
		InFlight:        len(c.grants),
		LostGrants:      c.lostGrants,
		IndexBlocks:     c.index.Blocks(),
		IndexBytes:      c.index.Bytes(),
	}
	if c.view != nil {
		snapshot.Revision = c.view.Revision()
	}
	for _, state := range c.ordered {
		snapshot.Engines = append(snapshot.Engines, c.describe(now, state))
	}
	return snapshot
}

func (c *Core) describe(now time.Duration, state *engineState) EngineSnapshot {
	tokens := state.load.tokens(now)
	described := EngineSnapshot{
		Run:          state.run,
		Address:      state.machine.Address,
		Zone:         state.machine.Zone,
		Pool:         state.machine.Pool,
		Condition:    state.condition(now, c.options.StatusTTL),
		Leaving:      state.leavingSource(),
		Owned:        state.owned,
		InFlight:     state.inFlight,
		Streams:      state.streams(),
		QueueTokens:  tokens,
		QueueTime:    time.Duration(tokens) * state.load.timePerToken(),
		CachedBlocks: c.index.BlocksOf(state.run),
		CacheTrusted: state.feed != nil && !state.feed.IsOutOfSync(),
	}
	if state.status != nil {
		described.Role = state.status.Role
		for _, version := range state.status.Loaded {
			described.Loaded = append(described.Loaded, fleet.ModelVersion(version))
		}
	}
	return described
}

func (e *engineState) condition(now, statusTTL time.Duration) EngineCondition {
	switch {
	case e.leavingSource() != LeavingNone:
		return EngineLeaving
	case e.unreachable:
		return EngineUnreachable
	case !e.isReady(now, statusTTL):
		return EngineUnknown
	default:
		return EngineReady
	}
}

// HoldersOf returns the engine runs that hold a block according to the index.
func (c *Core) HoldersOf(hash fleet.BlockHash) []fleet.EngineRun { return c.index.HoldersOf(hash) }

// Position returns the queue position of a waiting attempt, and false if it isn't waiting.
func (c *Core) Position(now time.Duration, key Key) (flowcontrol.Position, bool) {
	return c.flow.Position(now, key)
}

func sortNewestFirst(explanations []Explanation) {
	slices.SortFunc(explanations, func(a, b Explanation) int {
		return cmp.Compare(b.Key.Attempt, a.Key.Attempt)
	})
}
