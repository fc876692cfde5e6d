package enginemodel

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Engine models an engine over successive incarnations. It is not safe for concurrent use. Times
// are elapsed times of one clock; a time earlier than the latest one seen counts as the latest.
type Engine struct {
	config      Config
	incarnation fleet.Incarnation
	now         time.Duration

	blocks  *blockStore
	events  *eventLog
	scopes  map[fleet.CacheScope]int32
	imports []pendingImport

	streams      map[fleet.StreamID]*stream
	closed       map[fleet.StreamID]closedStream
	retained     []*stream
	waiting      waitingQueue
	running      []*stream
	streamEvents []StreamEvent

	stepping bool
	stepEnd  time.Duration

	loads   loadHistory
	control controlState

	counters Counters
	history  history
}

// Counters counts the work of an engine since New. A restart does not reset them.
type Counters struct {
	// PrefillTokens counts computed prompt tokens, HitTokens those taken from the cache.
	PrefillTokens int64
	HitTokens     int64
	// PromptTokens counts the prompt tokens of admitted streams.
	PromptTokens   int64
	OutputTokens   int64
	EvictedBlocks  int64
	ImportedBlocks int64
	Steps          int64
}

// New returns an engine that starts at time 0.
func New(config Config) *Engine {
	config = config.withDefaults()
	e := &Engine{config: config, incarnation: config.Incarnation}
	e.clear()
	e.control.loaded = append(e.control.loaded, config.Loaded...)
	return e
}

// Restart begins the next incarnation with an empty state: no streams, no cache, event numbers from
// the start, and no weights unless Config.KeepWeights is set.
func (e *Engine) Restart(now time.Duration) {
	e.now = max(e.now, now)
	e.counters.EvictedBlocks += int64(e.blocks.evicted)
	e.incarnation++
	e.clear()
	if e.config.KeepWeights {
		e.control.loaded = append(e.control.loaded, e.config.Loaded...)
	}
}

func (e *Engine) clear() {
	e.events = &eventLog{delay: e.config.EventDelay, loss: e.config.EventLoss, random: e.config.Random}
	e.blocks = newBlockStore(e.config.CacheBlocks, e.events)
	if e.config.RecordHistory {
		e.history.stored = make(map[fleet.BlockHash]struct{})
		e.blocks.everStored = e.history.stored
	}
	e.scopes = make(map[fleet.CacheScope]int32)
	e.imports = nil
	e.streams = make(map[fleet.StreamID]*stream)
	e.closed = make(map[fleet.StreamID]closedStream)
	e.retained = nil
	e.waiting = waitingQueue{}
	e.running = nil
	e.streamEvents = nil
	e.stepping = false
	e.loads = loadHistory{}
	e.control = controlState{role: engine.RoleServe}
	e.sampleLoad(e.now)
}

// Advance processes everything that is due up to now.
func (e *Engine) Advance(now time.Duration) {
	for {
		due, found := e.NextWakeup()
		if !found || due > now {
			break
		}
		e.now = max(e.now, due)
		e.processDue()
	}
	e.now = max(e.now, now)
	e.expire()
	e.loads.sampleIfDue(e)
}

// NextWakeup returns when Advance next has work: at the end of a step, of a load or of an import.
// It returns false if nothing is pending.
func (e *Engine) NextWakeup() (time.Duration, bool) {
	var next time.Duration
	found := false
	consider := func(due time.Duration) {
		if !found || due < next {
			next, found = due, true
		}
	}
	if e.stepping {
		consider(e.stepEnd)
	}
	if due, loading := e.control.nextLoad(); loading {
		consider(due)
	}
	if len(e.imports) > 0 {
		consider(e.imports[0].readyAt)
	}
	return next, found
}

// processDue processes what is due at e.now and starts the next step.
func (e *Engine) processDue() {
	e.expire()
	e.control.finishLoads(e.now)
	e.finishImports()
	if e.stepping && e.stepEnd <= e.now {
		e.finishStep()
	}
	e.startStep()
	e.events.flush(e.now)
	e.loads.sampleIfDue(e)
}

// expire evicts idle blocks and discards the frames of streams past their retention.
func (e *Engine) expire() {
	if ttl := e.config.BlockIdleTTL; ttl > 0 {
		e.blocks.expire(e.now - ttl)
		e.events.flush(e.now)
	}
	for len(e.retained) > 0 {
		oldest := e.retained[0]
		if len(e.retained) <= e.config.MaxRetained && oldest.endedAt+e.config.FrameRetention > e.now {
			return
		}
		e.retained[0] = nil
		e.retained = e.retained[1:]
		e.discard(oldest)
	}
}

func (e *Engine) scopeNumber(tenant fleet.TenantName, weights engine.ModelVersion) int32 {
	key := cacheScope(tenant, weights)
	number, found := e.scopes[key]
	if !found {
		number = int32(len(e.scopes))
		e.scopes[key] = number
	}
	return number
}

func cacheScope(tenant fleet.TenantName, weights engine.ModelVersion) fleet.CacheScope {
	return fleet.CacheScope{Tenant: tenant, ModelVersion: fleet.ModelVersion(weights)}
}

func (e *Engine) newError(code engine.ErrorCode, message string) *engine.Error {
	return &engine.Error{Code: code, Message: message, Incarnation: e.incarnation, Sent: true}
}

// ID returns the engine's identifier.
func (e *Engine) ID() fleet.EngineID { return e.config.ID }

// Incarnation returns the number of the current incarnation.
func (e *Engine) Incarnation() fleet.Incarnation { return e.incarnation }

// Config returns the configuration with its defaults filled in.
func (e *Engine) Config() Config { return e.config }

// Counters returns the work counted since New.
func (e *Engine) Counters() Counters {
	counters := e.counters
	counters.EvictedBlocks += int64(e.blocks.evicted)
	return counters
}

// CachedPrefix returns how many leading blocks are cached at the time of the last Advance.
func (e *Engine) CachedPrefix(hashes []fleet.BlockHash) int {
	cached, _ := e.blocks.prefix(hashes)
	return cached
}

// ExpectedPrefix returns how many leading blocks are cached or scheduled to be computed for
// accepted streams.
func (e *Engine) ExpectedPrefix(hashes []fleet.BlockHash) int {
	return e.blocks.expected(hashes)
}

// QueuedPrefillTokens returns the prompt tokens still to be computed for accepted streams. A
// waiting stream counts without the blocks that were cached or scheduled for an earlier stream when
// it arrived.
func (e *Engine) QueuedPrefillTokens() int {
	tokens := e.waiting.prefillTokens
	for _, running := range e.running {
		tokens += running.remainingPrefill
	}
	return tokens
}

// RunningStreams returns the number of streams in the batch.
func (e *Engine) RunningStreams() int { return len(e.running) }

// WaitingStreams returns the number of streams in the queue.
func (e *Engine) WaitingStreams() int { return len(e.waiting.streams) }

// SetEventDelay changes the delay of later cache events.
func (e *Engine) SetEventDelay(delay time.Duration) {
	e.config.EventDelay = delay
	e.events.delay = delay
}

// SetEventLoss changes the probability that a later cache event is lost.
func (e *Engine) SetEventLoss(probability float64) {
	e.config.EventLoss = probability
	e.events.loss = probability
}

// SetLoadLag changes the minimum age of the reported load.
func (e *Engine) SetLoadLag(lag time.Duration) { e.config.LoadLag = lag }

// SetLoadTime changes the duration of later loads of weights.
func (e *Engine) SetLoadTime(duration time.Duration) { e.config.Costs.LoadTime = duration }
