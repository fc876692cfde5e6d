package backends

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/enginespeed"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/overload"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// EngineRequest holds the properties of a request that the choice among engines depends on.
type EngineRequest struct {
	ID       fleet.RequestID
	Model    fleet.ModelName
	Tenant   fleet.TenantName
	Isolated bool
	// Parts is the prompt. The last part is specific to the request or its session; the others are
	// shared.
	Parts        []Part
	PromptTokens int
	OutputTokens int
	// Priority is the request's priority at the engine, less than PriorityCount; 0 is the most
	// urgent.
	Priority int
	// TimeLeft is the time left until the first event is due; 0 if unknown.
	TimeLeft time.Duration
	// Deadline is the time until the caller stops waiting for the response; 0 if unknown.
	Deadline time.Duration
	// MayRefuse is set if the request may be refused because it would miss its target.
	MayRefuse bool
	// Target is the target for the time to the first event, from the arrival of the request.
	Target time.Duration
	// WantsCopy requests that another engine keeps a copy of the request's KV cache as it grows, to
	// resume the request there if its engine is lost.
	WantsCopy bool
	// EventTokens is the number of tokens in a stream event; 0 if unknown.
	EventTokens int
	// TokenBytes is the KV cache size of a token, and LinkMegabits the bandwidth of an engine's
	// link in Mbit/s. They predict the time of KV cache transfers.
	TokenBytes   int
	LinkMegabits float64
	// Store is the address of a KV cache store that may hold the parts; empty if there is none.
	// StoreZone is its zone, and StoreMegabits the bandwidth of its link in Mbit/s, which all
	// engines share.
	Store         fleet.Address
	StoreZone     fleet.ZoneName
	StoreMegabits float64
}

// EnginePlacement is the part of a placement that is specific to engines.
type EnginePlacement struct {
	// Version is the model version that the engine is expected to run.
	Version ModelVersion
	// Scope separates cached parts that must not be shared.
	Scope string
	// CachedTokens and ImportedTokens are the numbers of prompt tokens that are expected to need no
	// prefill, because they are cached at the engine or imported.
	CachedTokens   int
	ImportedTokens int
	// ImportFrom is the holder from which the engine should import missing parts; empty if there is
	// nothing to import.
	ImportFrom fleet.Address
	// CopyTo is the engine that should keep a copy of the request's KV cache; its ID is empty if
	// there is none.
	CopyTo Worker
	// ContinueAt is set to this engine's address if the engine should resume the request from its
	// copy.
	ContinueAt fleet.Address
	// SaveTo is the store that should receive the shared parts; empty if the store or an engine
	// already holds them.
	SaveTo fleet.Address
	// Predicted is the predicted time to the first event.
	Predicted time.Duration
	// Baseline is Predicted without the engine's own speed, as the reference for comparing the
	// latency of software versions. It includes the wait for queued prompts, so that waiting does
	// not make a version look slow.
	Baseline time.Duration
	// Speed is the engine's measured speed at the time of the choice.
	Speed enginespeed.Factors
	// Prefix is the identifier of the last shared part of the prompt.
	Prefix string
	// SharedParts is the number of shared parts of the prompt, and SharedTokens their total size.
	// HeldParts, StoredParts and MostHeldParts are the numbers of leading parts expected at the
	// engine, at the store, and at the engine that holds the most.
	SharedParts   int
	SharedTokens  int
	HeldParts     int
	StoredParts   int
	MostHeldParts int
	// Home is set if the engine is the home of the prompt's shared parts, which all nodes prefer.
	Home bool

	// expected is nil if the request has no target or is not the first try.
	expected *expectation
	hashes   []fleet.BlockHash
	store    fleet.EngineRun
}

// outdatedPenalty is the cost of an engine with an outdated model version.
const outdatedPenalty = 250 * time.Millisecond

// Parameters for predicting KV cache transfers.
const (
	importSetup = 5 * time.Millisecond
	// importLinkShare is the fraction of an engine's link that a transfer is predicted to get.
	// storeLinkShare is that of the store's link, which all engines share.
	importLinkShare = 0.5
	storeLinkShare  = 0.4
	// duplicatePrefillFraction is the fraction of the recomputation price that is charged for
	// computing a prefix that no engine holds anywhere but at its home, since another node may
	// compute it there at the same time.
	duplicatePrefillFraction = 0.2
	bitsPerByte              = 8
	megabit                  = 1e6
)

// chooseEngine lets the scheduler choose among the candidates of a search. If the request would
// wait too long at all of them, it adds engines with spare capacity before it refuses.
func (r *Registry) chooseEngine(search *search) (*Placement, Refusal) {
	r.parts.expire(search.now)
	prompt := r.newPrompt(search)
	engine := prompt.engine
	decision := r.decide(search, prompt)
	limit, limited := r.waitLimit(search, engine, &decision)
	if !limited {
		return r.placeAt(search, prompt, &decision), Refusal{}
	}
	if decision.WaitTime > limit.Wait {
		decision = r.decideWithin(search, prompt, limit.Wait)
	}
	shortestWait := r.addSpareEngines(search, prompt, &decision, limit.Wait)
	if decision.WaitTime > limit.Wait {
		return nil, r.refuseLate(search, engine, &decision, limit, shortestWait)
	}
	return r.placeAt(search, prompt, &decision), Refusal{}
}

// addSpareEngines adds engines with spare capacity to the candidates until the request is predicted
// to wait for at most maxWait, and some once if it would miss its target by its waiting even so. It
// updates the decision and returns the shortest wait that it knows of.
func (r *Registry) addSpareEngines(search *search, prompt *prompt, decision *scheduling.Decision, maxWait time.Duration) time.Duration {
	allowed := min(overload.OnTimeWait(prompt.engine.Target, decision.ServiceTime), maxWait)
	for decision.Late && decision.WaitTime > allowed && !search.exhaustive {
		shortestWait, added := search.addSpareEngines(allowed)
		if !added {
			return min(shortestWait, decision.WaitTime)
		}
		before := len(r.endpoints)
		*decision = r.decideWithin(search, prompt, maxWait)
		if len(r.endpoints) == before || decision.WaitTime <= maxWait {
			break
		}
	}
	return decision.WaitTime
}

// prompt holds properties of a request's prompt that are computed once for each choice.
type prompt struct {
	engine *EngineRequest
	// shared is the number of shared parts. ends holds the cumulative token counts of the parts.
	shared int
	ends   []int
	// home is the engine that computes the shared parts first; nil if there is none.
	home *workerState
}

func (r *Registry) newPrompt(search *search) *prompt {
	engine := search.request.Engine
	p := &prompt{engine: engine, shared: max(len(engine.Parts)-1, 0), ends: cumulativeTokens(engine.Parts)}
	p.home = search.home(p.shared)
	search.saveBuffers()
	return p
}

// decide lets the scheduler compare the candidates.
func (r *Registry) decide(search *search, prompt *prompt) scheduling.Decision {
	return r.decideAmong(search, prompt, 0)
}

// decideWithin does the same, but takes an engine with a longer wait only if there is no other.
func (r *Registry) decideWithin(search *search, prompt *prompt, maxWait time.Duration) scheduling.Decision {
	// The scheduler takes 0 for no limit.
	return r.decideAmong(search, prompt, max(maxWait, 1))
}

func (r *Registry) decideAmong(search *search, prompt *prompt, maxWait time.Duration) scheduling.Decision {
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
		MaxWait:      maxWait,

		MinTieFraction: r.minTieFraction(search.request.Service),
	}, r.endpoints, r.options.Random)
}

// placeAt counts the request at the engine that the decision has chosen.
func (r *Registry) placeAt(search *search, prompt *prompt, decision *scheduling.Decision) *Placement {
	now, engine := search.now, prompt.engine
	candidates := search.candidates()
	chosen := candidates[decision.Index]
	version := chosen.worker.Versions[engine.Model]
	scoped := search.scopeOf(version)
	prefill := uncachedTokens(engine, decision)
	r.recordUse(search, engine, decision)
	r.recordWork(now, search.request.Service, engine, prefill)
	placement := r.begin(now, chosen, len(candidates), placedWork{
		priority: engine.Priority, prefillTokens: prefill, need: memoryNeedOf(engine, scoped),
	})
	search.describe(placement)
	placement.Engine = &EnginePlacement{
		Version:        version,
		Scope:          scoped.scope,
		CachedTokens:   decision.CachedTokens,
		ImportedTokens: decision.ImportedTokens,
		Predicted:      decision.FirstToken,
		Baseline:       r.baseline(chosen, decision.FirstToken),
		Speed:          chosen.speed,
		Prefix:         PrefixName(engine.Parts),
		SharedParts:    prompt.shared,
		SharedTokens:   sharedTokens(prompt.ends, prompt.shared),
		HeldParts:      r.heldParts(scoped, chosen),
		StoredParts:    scoped.storedParts,
		MostHeldParts:  scoped.maxHeldParts(),
		Home:           chosen == prompt.home,
		expected:       newExpectation(engine, decision),
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

// sharedTokens returns the number of tokens in the first parts, from the cumulative token counts.
func sharedTokens(ends []int, parts int) int {
	if parts <= 0 {
		return 0
	}
	return ends[parts-1]
}

// PrefixName returns the identifier of the last shared part of a prompt, or "" if there is none.
func PrefixName(parts []Part) string {
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2].ID
}
