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
	// StoreMegabits is the bandwidth of its link, which all engines share.
	Store         fleet.Address
	StoreMegabits float64
}

// EnginePlacement is what a placement at an engine adds.
type EnginePlacement struct {
	// Version is the version of the weights that the engine is believed to run.
	Version WeightsVersion
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
	// to it: short prompts wait for long ones that an engine with an empty cache reads, and
	// without it 14 of 72 answers of a good version were taken for slow.
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

// outdatedPrice is the price of an engine whose weights have been replaced.
const outdatedPrice = 250 * time.Millisecond

// Predictions of moves of KV cache.
const (
	importSetup = 5 * time.Millisecond
	// importSharing is the part of an engine's link that a move is predicted to
	// get, storeSharing that of the store's, which all engines use.
	importSharing = 0.5
	storeSharing  = 0.4
	// apartPart is the part of the price of reading a prefix again that is charged
	// for reading one that nobody holds elsewhere than at its home: another node
	// may have it read there at the same time.
	apartPart   = 0.2
	bitsPerByte = 8
	megabit     = 1e6
)

// chooseEngine lets the scheduler choose; the mutex is held.
func (r *Registry) chooseEngine(now time.Duration, request *Request, candidates []*state) (*Placement, Refusal) {
	engine := request.Engine
	candidates = r.atVersion(engine.Model, candidates)
	if len(candidates) == 0 {
		return nil, Refusal{Reason: ReasonVersion}
	}
	shared := max(len(engine.Parts)-1, 0)
	reserved := r.reservedFor(now, request.Service)
	kept := func(known *state) bool {
		return reserved != nil && reserved[known.worker.ID] != r.isLong(engine)
	}
	home := homeOf(engine, shared, candidates, kept)
	r.endpoints = r.endpoints[:0]
	r.parts.expire(now)
	scopes := make(map[WeightsVersion]*scoped)
	for _, known := range candidates {
		version := known.worker.Versions[engine.Model]
		if scopes[version] == nil {
			scopes[version] = r.lookUp(engine, version)
		}
		endpoint := r.endpoint(now, engine, known, scopes[version], shared, home)
		if kept(known) {
			endpoint.Reserved = reservedPrice
		}
		if version < r.preferred[engine.Model] {
			endpoint.Outdated = outdatedPrice
		}
		r.endpoints = append(r.endpoints, endpoint)
	}
	ends := cumulate(engine.Parts)
	decision, found := r.scheduler.Schedule(scheduling.Request{
		ID:           engine.ID,
		Pool:         request.Service,
		AgentZone:    r.options.Zone,
		PromptTokens: engine.PromptTokens,
		PartTokens:   ends,
		Deadline:     engine.TimeLeft,
	}, r.endpoints, r.options.Random)
	if !found {
		return nil, Refusal{Reason: ReasonFull, RetryAfter: r.slotTime(request.Service)}
	}
	if refused, late := tooLate(engine, &decision); late {
		return nil, refused
	}
	chosen := candidates[decision.Index]
	version := chosen.worker.Versions[engine.Model]
	known := scopes[version]
	prefill := engine.PromptTokens - decision.CachedTokens - decision.ImportedTokens
	r.noteWork(now, request.Service, engine, prefill)
	placement := r.begin(now, chosen, len(candidates), placedWork{
		priority: engine.Priority, prefill: prefill, need: needOf(engine, known),
	})
	placement.Engine = &EnginePlacement{
		Version:        version,
		Scope:          known.scope,
		CachedTokens:   decision.CachedTokens,
		ImportedTokens: decision.ImportedTokens,
		Predicted:      decision.FirstToken,
		Baseline:       time.Duration(float64(decision.FirstToken) / max(chosen.slowness, 1)),
		Prefix:         PrefixName(engine.Parts),
		SharedParts:    shared,
		SharedTokens:   sharedTokens(ends, shared),
		HeldParts:      known.held[chosen.worker.ID],
		StoredParts:    known.stored,
		MostHeldParts:  known.most(),
		Home:           chosen.worker.ID == home,
		hashes:         known.hashes,
		store:          StoreRun(engine.Store),
	}
	r.chooseSources(placement, known, shared, home, engine)
	if savesTo(engine, known, shared) {
		placement.Engine.SaveTo = engine.Store
	}
	if engine.WantsCopy {
		placement.Engine.CopyTo = r.copyTarget(now, candidates, chosen, engine.Model)
	}
	return placement, Refusal{}
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

// atVersion keeps the engines whose version is new enough.
func (r *Registry) atVersion(model fleet.ModelName, candidates []*state) []*state {
	required := r.required[model]
	kept := candidates[:0]
	for _, known := range candidates {
		version, serves := known.worker.Versions[model]
		if serves && version >= required {
			kept = append(kept, known)
		}
	}
	return kept
}
