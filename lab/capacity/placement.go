package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/prefixindex"
)

// placementsPerStatus is the number of placements between two rounds of engine status reports.
const placementsPerStatus = 1000

// router drives a placement core as the router process does.
type router struct {
	core       *placement.Core
	random     *rand.Rand
	now        time.Duration
	engines    int
	placements int
}

// newRouter returns a router for one pool with the given number of engines, whose caches hold
// indexBlocks distinct blocks in total.
func newRouter(seed uint64, engines, indexBlocks int) (*router, error) {
	random := rand.New(rand.NewPCG(seed, 2))
	r := &router{random: random, now: time.Second, engines: engines}
	r.core = placement.New(placement.Options{
		Node: "router", Zone: zoneName(0), Random: random,
		Index: prefixindex.Options{MaxBlocks: 2*indexBlocks + 1<<16},
	})
	if err := r.configure(document(1, 1, 1)); err != nil {
		return nil, err
	}
	for number := range engines {
		r.core.ObserveMachine(r.now, machine(number, poolName(0)))
	}
	r.observeStatuses()
	const batch = 4096
	for done := 0; done < indexBlocks; done += batch {
		r.storeBlocks(done/batch%engines, uint64(done/batch/engines+1), randomHashes(random, min(batch, indexBlocks-done)))
	}
	return r, nil
}

func (r *router) configure(configuration config.Document) error {
	view, err := config.NewView(configuration)
	if err != nil {
		return err
	}
	r.core.ApplyConfig(r.now, view)
	return nil
}

func (r *router) observeStatuses() {
	for number := range r.engines {
		r.core.ObserveStatus(r.now, idleStatus(number, r.now))
	}
}

// storeBlocks adds blocks to the index through a cache event of an engine.
func (r *router) storeBlocks(number int, sequence uint64, hashes []fleet.BlockHash) {
	r.core.ObserveCacheEvents(r.now, engineName(number), engine.CacheEvents{
		Incarnation: 1,
		Events:      []engine.CacheEvent{{Sequence: sequence, Kind: engine.BlockStored, Hashes: hashes}},
	})
}

func placementRequest(id string, blocks []fleet.BlockHash) placement.Request {
	return placement.Request{
		Key:          placement.Key{Request: fleet.RequestID(id), Attempt: 1},
		Tenant:       tenantName(0),
		ModelVersion: servedVersion(),
		Class:        className,
		PromptTokens: len(blocks)*blockTokens + 1,
		MaxTokens:    200,
		Blocks:       blocks,
		AgentZone:    zoneName(0),
	}
}

// grant submits a request and returns its grant.
func (r *router) grant(request placement.Request) (placement.Grant, error) {
	r.core.Submit(r.now, request)
	outcomes := r.core.TakeOutcomes()
	if len(outcomes) != 1 {
		return placement.Grant{}, errors.Errorf("got %d placement outcomes, want 1", len(outcomes))
	}
	granted, isGrant := outcomes[0].(placement.Grant)
	if !isGrant {
		return placement.Grant{}, errors.Errorf("got outcome %+v, want a grant", outcomes[0])
	}
	return granted, nil
}

func (r *router) report(grant placement.Grant, phases ...placement.Phase) {
	for _, phase := range phases {
		r.core.Report(r.now, placement.AttemptReport{Key: grant.Key, Run: grant.Run, Phase: phase})
	}
}

// place performs one complete placement: submission, decision and three reports.
func (r *router) place(blocks []fleet.BlockHash) error {
	r.now += time.Millisecond
	r.placements++
	if r.placements%placementsPerStatus == 0 {
		r.observeStatuses()
	}
	granted, err := r.grant(placementRequest("measured", blocks))
	if err != nil {
		return err
	}
	r.report(granted, placement.PhaseAccepted, placement.PhaseFirstToken, placement.PhaseFinished)
	return nil
}

// placementTime returns the processor time in microseconds of one placement of a prompt whose first
// half is cached on every engine.
func placementTime(o Options, engines, indexBlocks, promptBlocks int) (float64, error) {
	r, err := newRouter(o.Seed, engines, indexBlocks)
	if err != nil {
		return 0, err
	}
	const prompts = 16
	var promptHashes [prompts][]fleet.BlockHash
	for i := range promptHashes {
		promptHashes[i] = randomHashes(r.random, promptBlocks)
		for number := range engines {
			r.storeBlocks(number, uint64(1<<40+i), promptHashes[i][:promptBlocks/2])
		}
	}
	var failed error
	used := processorTimeOf(o.Sizes.ProcessorTime, func(repetition int) {
		if err := r.place(promptHashes[repetition%prompts]); err != nil && failed == nil {
			failed = err
		}
	})
	return microseconds(used), failed
}

// Sizes that are held constant while another one varies.
const (
	fixedCandidates   = 30
	fixedIndexBlocks  = 500_000
	fixedPromptBlocks = 128
)

// measurePlacement measures the time of a placement by each of the three sizes that it depends on.
func measurePlacement(o Options) ([]Slope, error) {
	quantityOf := func(parameter, size string, growth Growth, sizes []int, measure func(int) (float64, error)) quantity {
		return quantity{name: "placement (submit, decision, 3 reports) by " + parameter, size: size, unit: "core-µs", growth: growth, sizes: sizes, measure: measure}
	}
	indexBlocks := min(fixedIndexBlocks, o.Sizes.IndexBlocks[0])
	return sweepAll(
		quantityOf("index", "blocks in the index", GrowthLogarithmic, o.Sizes.IndexBlocks, func(size int) (float64, error) {
			return placementTime(o, fixedCandidates, size, fixedPromptBlocks)
		}),
		quantityOf("prompt", "blocks in the prompt", GrowthLinear, o.Sizes.PromptBlocks, func(size int) (float64, error) {
			return placementTime(o, fixedCandidates, indexBlocks, size)
		}),
		quantityOf("candidates", "candidate engines", GrowthLinear, o.Sizes.Candidates, func(size int) (float64, error) {
			return placementTime(o, size, indexBlocks, fixedPromptBlocks)
		}),
	)
}

// routerWithWaiting returns a router with the given number of waiting requests, each with a different
// prompt.
func routerWithWaiting(seed uint64, waiting int) (*router, error) {
	r, err := newRouter(seed, 1, 0)
	if err != nil {
		return nil, err
	}
	full := document(2, 1, 1)
	full.Pools[0].MaxStreams = 1
	if err := r.configure(full); err != nil {
		return nil, err
	}
	if _, err := r.grant(placementRequest("running", randomHashes(r.random, 1))); err != nil {
		return nil, err
	}
	for number := range waiting {
		r.core.Submit(r.now, placementRequest(fmt.Sprintf("waiting-%012d", number), randomHashes(r.random, fixedPromptBlocks)))
	}
	if outcomes := r.core.TakeOutcomes(); len(outcomes) > 0 {
		return nil, errors.Errorf("%+v instead of a wait", outcomes[0])
	}
	return r, nil
}

// routerWithGrants returns a router with the given number of open grants after the first token.
func routerWithGrants(seed uint64, grants int) (*router, error) {
	r, err := newRouter(seed, fixedCandidates, 0)
	if err != nil {
		return nil, err
	}
	prompt := randomHashes(r.random, fixedPromptBlocks)
	for number := range grants {
		if number%fixedCandidates == 0 {
			r.now += 10 * time.Millisecond
			r.observeStatuses()
		}
		granted, err := r.grant(placementRequest(fmt.Sprintf("open-%012d", number), prompt))
		if err != nil {
			return nil, err
		}
		r.report(granted, placement.PhaseAccepted, placement.PhaseFirstToken)
	}
	return r, nil
}
