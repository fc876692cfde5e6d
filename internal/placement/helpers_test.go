package placement

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
)

const (
	testBlockTokens = 16
	testPool        = fleet.PoolName("pool")
	urgent          = fleet.ClassName("urgent")
	batch           = fleet.ClassName("batch")
)

var testModelVersion = fleet.ModelVersion{Model: "model", Version: "v1"}

// testDocument returns a configuration of one pool with ten streams per engine and two classes.
func testDocument(revision fleet.Revision) config.Document {
	return config.Document{
		Revision: revision,
		Tenants: []config.Tenant{{
			Name: "tenant", KeyHashes: []string{strings.Repeat("a", 64)}, Weight: 1,
			Classes: []fleet.ClassName{urgent, batch}, MaxConcurrent: 100, MaxWaiting: 1000,
		}},
		Classes: []config.Class{
			{Name: urgent, Rank: 0, MaxWait: config.Duration(5 * time.Second)},
			{Name: batch, Rank: 5, MaxWait: config.Duration(time.Minute), MinShare: 0.1},
		},
		Models: []config.Model{{
			Name: "model", Pool: testPool, MaxPromptTokens: 1 << 20, MaxOutputTokens: 4096, BlockTokens: testBlockTokens,
			Versions: []config.Version{{Name: "v1", State: config.VersionServing}, {Name: "v2", State: config.VersionLoading}},
		}},
		Pools: []config.Pool{{Name: testPool, MaxStreams: 10, MaxLoads: 1}},
	}
}

// bench drives a core as a router would.
type bench struct {
	t    require.TestingT
	core *Core
	now  time.Duration
}

func newBench(t require.TestingT, engines int) *bench {
	b := newUnconfiguredBench(t)
	b.configure(testDocument(1))
	for number := range engines {
		b.addEngine(engineName(number), 1)
	}
	return b
}

func newUnconfiguredBench(t require.TestingT) *bench {
	core := New(Options{Node: "router", Random: rand.New(rand.NewPCG(1, 2))})
	return &bench{t: t, core: core, now: time.Second}
}

func engineName(number int) fleet.EngineID { return fleet.EngineID(fmt.Sprintf("engine%d", number)) }

func (b *bench) configure(document config.Document) {
	view, err := config.NewView(document)
	require.NoError(b.t, err)
	b.core.ApplyConfig(b.now, view)
}

func machine(id fleet.EngineID, incarnation fleet.Incarnation) platform.Machine {
	return platform.Machine{
		ID: string(id), Kind: platform.MachineEngine, Address: "127.0.0.1:1", Zone: "zone",
		Pool: testPool, Incarnation: incarnation, State: platform.MachineLive,
	}
}

func (b *bench) addEngine(id fleet.EngineID, incarnation fleet.Incarnation) {
	b.core.ObserveMachine(b.now, machine(id, incarnation))
	b.core.ObserveStatus(b.now, b.status(id, incarnation))
}

// status returns the status of an idle engine, measured now, at 100 µs per token.
func (b *bench) status(id fleet.EngineID, incarnation fleet.Incarnation) engine.Status {
	return engine.Status{
		Engine: id, Incarnation: incarnation, Role: engine.RoleServe, BlockTokens: testBlockTokens,
		Loaded: []engine.ModelVersion{engine.ModelVersion(testModelVersion)},
		Load: engine.Load{
			MeasuredAtMillis: b.now.Milliseconds(), StepTokens: 1000, PrefillMicrosPerToken: 100, StepMicros: 1000,
		},
	}
}

func keyOf(request string) Key { return Key{Request: fleet.RequestID(request), Attempt: 1} }

// request returns a request whose prompt has the given number of blocks. Equal prompts have equal
// blocks.
func request(name string, class fleet.ClassName, prompt string, blocks int) Request {
	attempt := Request{
		Key: keyOf(name), Tenant: "tenant", ModelVersion: testModelVersion, Class: class,
		PromptTokens: blocks*testBlockTokens + 1, MaxTokens: 10, AgentZone: "zone",
	}
	seed := uint64(len(prompt)) << 32
	for _, letter := range prompt {
		seed = seed*31 + uint64(letter)
	}
	for block := range blocks {
		attempt.Blocks = append(attempt.Blocks, fleet.BlockHash(seed<<16+uint64(block)))
	}
	return attempt
}

func (b *bench) submit(attempt Request) []Outcome {
	b.core.Submit(b.now, attempt)
	return b.core.TakeOutcomes()
}

func (b *bench) submitGranted(attempt Request) Grant {
	outcomes := b.submit(attempt)
	require.Len(b.t, outcomes, 1)
	require.IsType(b.t, Grant{}, outcomes[0])
	return outcomes[0].(Grant)
}

func (b *bench) report(grant Grant, phase Phase) []Outcome {
	b.core.Report(b.now, AttemptReport{Key: grant.Key, Run: grant.Run, Phase: phase})
	return b.core.TakeOutcomes()
}

func (b *bench) advance(by time.Duration) []Outcome {
	b.now += by
	b.core.Tick(b.now)
	return b.core.TakeOutcomes()
}

func (b *bench) inFlight() int { return b.core.Snapshot(b.now).InFlight }

func keysOf(outcomes []Outcome) []Key {
	keys := make([]Key, len(outcomes))
	for position, outcome := range outcomes {
		keys[position] = outcome.OutcomeKey()
	}
	return keys
}

func TestGrantGoesToTheWarmEngine(t *testing.T) {
	b := newBench(t, 3)
	first := b.submitGranted(request("first", urgent, "circular", 64))
	b.report(first, PhaseAccepted)
	b.report(first, PhaseFirstToken)
	b.report(first, PhaseFinished)
	b.advance(time.Second)
	for number := range 3 {
		b.core.ObserveStatus(b.now, b.status(engineName(number), 1))
	}
	second := b.submitGranted(request("second", urgent, "circular", 80))
	require.Equal(t, first.Run, second.Run)
	require.Equal(t, 64*testBlockTokens, second.ExpectedCachedTokens)
	explained := b.core.Explain("second")
	require.Len(t, explained, 1)
	require.Len(t, explained[0].Decision.Candidates, 3)
	require.ElementsMatch(t, []fleet.EngineRun{first.Run}, b.core.HoldersOf(request("", urgent, "circular", 1).Blocks[0]))
}
