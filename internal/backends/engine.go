package backends

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// EngineRequest is what a choice among engines needs besides.
type EngineRequest struct {
	ID       fleet.RequestID
	Model    fleet.ModelName
	Tenant   fleet.TenantName
	Isolated bool
	// Parts is the prompt; the last part belongs to the request or its session.
	Parts        []Part
	PromptTokens int
	OutputTokens int
	// Priority is the request's at the engine, 0 to Priorities - 1, 0 first.
	Priority int
	// TimeLeft is the time within which the first event should come; 0 if unknown.
	TimeLeft time.Duration
	// MayRefuse is set if the request is to be refused rather than made to wait for
	// longer than its target allows.
	MayRefuse bool
	// Target is the time within which the first event should come, from the start.
	Target time.Duration
	// WantsCopy has another engine hold a copy of the run as it grows.
	WantsCopy bool
	// EventTokens is the number of tokens in an event of a stream; 0 if unknown.
	EventTokens int
	// TokenBytes, LinkMegabits describe the engines, to predict moves of KV cache.
	TokenBytes   int
	LinkMegabits float64
	// Store is a store of kept KV cache that may hold the parts; empty if none.
	// StoreZone is where it is, StoreMegabits the bandwidth of its link, which all engines
	// share.
	Store         fleet.Address
	StoreZone     fleet.ZoneName
	StoreMegabits float64
}

// EnginePlacement is what a placement at an engine adds.
type EnginePlacement struct {
	// Version is the version of the weights that the engine is believed to run.
	Version ModelVersion
	// Scope separates the cached parts that may be shared from all others.
	Scope string
	// CachedTokens and ImportedTokens are the expected parts of the prompt that
	// need no prefill.
	CachedTokens   int
	ImportedTokens int
	// ImportFrom is the holder from which the engine should take over what it
	// lacks; empty if it lacks nothing that somebody holds.
	ImportFrom fleet.Address
	// CopyTo is the engine that should hold a copy of the run; without an identifier
	// there is none.
	CopyTo Worker
	// ContinueAt is set, to this engine's address, if the engine should go on from the
	// copy that it holds.
	ContinueAt fleet.Address
	// SaveTo is the store that should get the parts; empty if it or an engine has
	// them.
	SaveTo fleet.Address
	// Predicted is the time until the first event.
	Predicted time.Duration
	// Baseline is Predicted of an engine that isn't slower than the service's others: one
	// version's times are compared with another's by it. What waits at the engine belongs
	// to it: short prompts wait for long ones that an engine with an empty cache reads, which
	// would have answers of a good version taken for slow.
	Baseline time.Duration
	// Prefix names the last shared part of the prompt.
	Prefix string
	// SharedParts is the number of the prompt's shared parts, of SharedTokens
	// together, of which the engine,
	// the store and the engine with the most are believed to hold the first
	// HeldParts, StoredParts and MostHeldParts.
	SharedParts   int
	SharedTokens  int
	HeldParts     int
	StoredParts   int
	MostHeldParts int
	// Home is set when the engine is the one that all nodes choose first for
	// the prompt's shared parts.
	Home bool

	hashes []fleet.BlockHash
	store  fleet.EngineRun
}

// outdatedPenalty is the price of an engine whose weights have been replaced.
const outdatedPenalty = 250 * time.Millisecond

// Predictions of moves of KV cache.
const (
	importSetup = 5 * time.Millisecond
	// importLinkShare is the part of an engine's link that a move is predicted to
	// get, storeSharing that of the store's, which all engines use.
	importLinkShare = 0.5
	storeLinkShare  = 0.4
	// duplicatePrefillFraction is the part of the price of reading a prefix again that is charged
	// for reading one that nobody holds elsewhere than at its home: another node
	// may have it read there at the same time.
	duplicatePrefillFraction = 0.2
	bitsPerByte              = 8
	megabit                  = 1e6
)

// chooseEngine lets the scheduler choose among what a search has found. Where the request
// would wait too long at each, it looks for engines with room before it refuses.
func (r *Registry) chooseEngine(search *search) (*Placement, Refusal) {
	r.parts.expire(search.now)
	prompt := r.newPrompt(search)
	decision := r.decide(search, prompt)
	for {
		refusal, late := tooLate(prompt.engine, &decision)
		if !late {
			return r.placeAt(search, prompt, &decision), Refusal{}
		}
		if search.exhaustive {
			return nil, refusal
		}
		allowed := allowedWait(prompt.engine, &decision)
		shortestWait, added := search.addSpareEngines(allowed)
		if !added {
			return nil, Refusal{Reason: ReasonLate, RetryAfter: shortestWait - allowed}
		}
		before := len(r.endpoints)
		if decision = r.decide(search, prompt); len(r.endpoints) == before {
			return nil, refusal
		}
	}
}

// prompt is what a choice works out of a request's prompt once.
type prompt struct {
	engine *EngineRequest
	// shared is the number of the prompt's shared parts, ends the tokens up to the end of
	// each part.
	shared int
	ends   []int
	// home is where the shared parts are read first; nil if nowhere.
	home *workerState
}

func (r *Registry) newPrompt(search *search) *prompt {
	engine := search.request.Engine
	p := &prompt{engine: engine, shared: max(len(engine.Parts)-1, 0), ends: cumulativeTokens(engine.Parts)}
	p.home = search.home(p.shared)
	search.saveBuffers()
	return p
}

// decide has the scheduler compare the candidates.
func (r *Registry) decide(search *search, prompt *prompt) scheduling.Decision {
	engine := prompt.engine
	r.endpoints = r.endpoints[:0]
	for _, state := range search.candidates() {
		version := state.worker.Versions[engine.Model]
		endpoint := r.endpoint(search, prompt, state, search.scopeOf(version))
		if search.isReserved(state) {
			endpoint.ReservedPenalty = reservedPenalty
		}
		if version < r.preferred[engine.Model] {
			endpoint.OutdatedPenalty = outdatedPenalty
		}
		r.endpoints = append(r.endpoints, endpoint)
	}
	return r.scheduler.ChooseAmong(scheduling.Request{
		ID:           engine.ID,
		Pool:         search.request.Service,
		PromptTokens: engine.PromptTokens,
		PartTokens:   prompt.ends,
		Deadline:     engine.TimeLeft,
	}, r.endpoints, r.options.Random)
}

// placeAt counts a request at the engine of a decision.
func (r *Registry) placeAt(search *search, prompt *prompt, decision *scheduling.Decision) *Placement {
	now, engine := search.now, prompt.engine
	candidates := search.candidates()
	chosen := candidates[decision.Index]
	version := chosen.worker.Versions[engine.Model]
	scoped := search.scopeOf(version)
	prefill := engine.PromptTokens - decision.CachedTokens - decision.ImportedTokens
	r.recordWork(now, search.request.Service, engine, prefill)
	placement := r.begin(now, chosen, len(candidates), placedWork{
		priority: engine.Priority, prefillTokens: prefill, need: memoryNeedOf(engine, scoped),
	})
	placement.Examined = search.examined
	placement.Limited = search.hasLimit(chosen)
	placement.Engine = &EnginePlacement{
		Version:        version,
		Scope:          scoped.scope,
		CachedTokens:   decision.CachedTokens,
		ImportedTokens: decision.ImportedTokens,
		Predicted:      decision.FirstToken,
		Baseline:       time.Duration(float64(decision.FirstToken) / max(chosen.slowness, 1)),
		Prefix:         PrefixName(engine.Parts),
		SharedParts:    prompt.shared,
		SharedTokens:   sharedTokens(prompt.ends, prompt.shared),
		HeldParts:      r.heldParts(scoped, chosen),
		StoredParts:    scoped.storedParts,
		MostHeldParts:  scoped.maxHeldParts(),
		Home:           chosen == prompt.home,
		hashes:         scoped.hashes,
		store:          StoreRun(engine.Store),
	}
	placement.Engine.ImportFrom = r.importSource(prompt, scoped, chosen)
	if shouldSave(engine, scoped, prompt.shared) {
		placement.Engine.SaveTo = engine.Store
	}
	if engine.WantsCopy {
		placement.Engine.CopyTo = search.copyTarget(candidates, chosen)
	}
	return placement
}

// sharedTokens returns the tokens of a prompt's first parts, by their ends.
func sharedTokens(ends []int, parts int) int {
	if parts <= 0 {
		return 0
	}
	return ends[parts-1]
}

// PrefixName returns the name of the last shared part of a prompt, or "".
func PrefixName(parts []Part) string {
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2].ID
}
