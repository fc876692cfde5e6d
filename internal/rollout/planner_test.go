package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

var (
	oldVersion     = engine.ModelVersion{Model: "m", Version: "v1"}
	newVersion     = engine.ModelVersion{Model: "m", Version: "v2"}
	adapterVersion = engine.ModelVersion{Model: "m", Adapter: "a", Version: "x1"}
)

// testDocument returns a document with one model, whose two versions have the given states.
func testDocument(old, next config.VersionState) *config.Document {
	return &config.Document{
		Pools: []config.Pool{{Name: "p", MaxLoads: 2}},
		Models: []config.Model{{
			Name: "m",
			Pool: "p",
			Versions: []config.Version{
				{Name: "v1", State: old},
				{Name: "v2", State: next},
			},
		}},
	}
}

func testEngine(id fleet.EngineID, loaded ...engine.ModelVersion) Engine {
	status := engine.Status{Engine: id, Incarnation: 1, Role: engine.RoleServe, Loaded: loaded}
	return Engine{Pool: "p", Status: status}
}

func loadOrder(id fleet.EngineID, version engine.ModelVersion) Order {
	return Order{Engine: id, Order: engine.Order{Incarnation: 1, Kind: engine.OrderLoad, ModelVersion: version}}
}

func TestServingVersionsLoadFirstWithinTheLimit(t *testing.T) {
	document := testDocument(config.VersionServing, config.VersionLoading)
	engines := []Engine{testEngine("c", oldVersion), testEngine("b"), testEngine("a", oldVersion)}
	other := testEngine("d")
	other.Pool = "q"
	engines = append(engines, other)
	planner := NewPlanner(PlannerSettings{})
	want := []Order{loadOrder("b", oldVersion), loadOrder("a", newVersion)}
	assert.Equal(t, want, planner.Plan(0, document, engines))
	assert.Empty(t, planner.Plan(time.Second, document, engines), "both loads are pending")
	assert.Empty(t, planner.Plan(time.Second, document, engines[:1]), "pending loads count while their engines are not listed")
	assert.Equal(t, want, planner.Plan(DefaultStatusGrace, document, engines), "lost orders are repeated")
	assert.Empty(t, planner.Plan(0, nil, engines))
}

func TestRestartedEngineIsLoadedAgain(t *testing.T) {
	document := testDocument(config.VersionServing, config.VersionRetired)
	document.Pools[0].MaxLoads = 1
	planner := NewPlanner(PlannerSettings{})
	before, after := testEngine("a"), testEngine("a")
	require.Len(t, planner.Plan(0, document, []Engine{before}), 1)
	after.Status.Incarnation = 2
	orders := planner.Plan(1, document, []Engine{before, after})
	require.Len(t, orders, 1)
	assert.EqualValues(t, 2, orders[0].Order.Incarnation)
}

func TestVisibleLoadFreesItsSlotAtOnce(t *testing.T) {
	document := testDocument(config.VersionServing, config.VersionRetired)
	document.Pools[0].MaxLoads = 1
	planner := NewPlanner(PlannerSettings{})
	require.Len(t, planner.Plan(0, document, []Engine{testEngine("a"), testEngine("b")}), 1)
	orders := planner.Plan(1, document, []Engine{testEngine("a", oldVersion), testEngine("b")})
	assert.Equal(t, []Order{loadOrder("b", oldVersion)}, orders)
}

func TestRetiredVersionIsUnloadedAfterReplacementAndGracePeriod(t *testing.T) {
	document := testDocument(config.VersionRetired, config.VersionServing)
	planner := NewPlanner(PlannerSettings{})
	unknown := engine.ModelVersion{Model: "m", Version: "v9"}
	engines := []Engine{testEngine("a", oldVersion, newVersion, unknown), testEngine("b", oldVersion)}
	assert.Equal(t, []Order{loadOrder("b", newVersion)}, planner.Plan(0, document, engines))

	orders := planner.Plan(DefaultUnloadGrace, document, engines)
	unload := loadOrder("a", oldVersion)
	unload.Order.Kind = engine.OrderUnload
	assert.Equal(t, []Order{unload, loadOrder("b", newVersion)}, orders, "b keeps the old version until it has the new one")

	back := testDocument(config.VersionServing, config.VersionLoading)
	planner.Plan(DefaultUnloadGrace+1, back, engines)
	assert.Empty(t, planner.Plan(DefaultUnloadGrace+2, document, engines[:1]), "the grace period restarts")
}

func TestDirectivesApplyToOneRun(t *testing.T) {
	document := testDocument(config.VersionServing, config.VersionRetired)
	document.Directives = []config.Directive{
		{Engine: "a", Incarnation: 1, Kind: config.DirectiveRetire},
		{Engine: "b", Incarnation: 1, Kind: config.DirectiveRole, Role: string(engine.RolePrefill)},
		{Engine: "b", Incarnation: 1, Kind: config.DirectiveRole, Role: string(engine.RoleDecode)},
		{Engine: "c", Incarnation: 1, Kind: config.DirectiveDrain},
		{Engine: "d", Incarnation: 9, Kind: config.DirectiveRetire},
	}
	engines := []Engine{testEngine("a"), testEngine("b", oldVersion), testEngine("c"), testEngine("d", oldVersion)}
	assert.Equal(t, []Order{
		{Engine: "a", Order: engine.Order{Incarnation: 1, Kind: engine.OrderRetire}},
		{Engine: "b", Order: engine.Order{Incarnation: 1, Kind: engine.OrderRole, Role: engine.RoleDecode}},
	}, NewPlanner(PlannerSettings{}).Plan(0, document, engines))

	engines[0].Status.Leaving = true
	engines[1].Status.Role = engine.RoleDecode
	assert.Empty(t, NewPlanner(PlannerSettings{}).Plan(0, document, engines))
}

func TestReadyToPromoteWaitsForEveryStayingEngine(t *testing.T) {
	document := testDocument(config.VersionServing, config.VersionLoading)
	adapter := config.Adapter{Name: "a", Versions: []config.Version{{Name: "x1", State: config.VersionLoading}}}
	document.Models[0].Adapters = []config.Adapter{adapter}
	leaving := testEngine("c")
	leaving.Status.Leaving = true
	engines := []Engine{testEngine("a", newVersion, adapterVersion), testEngine("b"), leaving}

	check := func(version fleet.VersionName, adapter fleet.AdapterName, wantReady bool, wantLoaded, wantExpected int) {
		t.Helper()
		ready, loaded, expected := ReadyToPromote(document, engines, "m", adapter, version)
		assert.Equal(t, []any{wantReady, wantLoaded, wantExpected}, []any{ready, loaded, expected})
	}
	check("v2", "", false, 1, 2)
	check("x1", "a", false, 1, 2)
	check("v3", "", false, 0, 0)
	engines[1].Status.Loaded = []engine.ModelVersion{newVersion}
	check("v2", "", true, 2, 2)
	document.Directives = []config.Directive{{Engine: "b", Incarnation: 1, Kind: config.DirectiveDrain}}
	check("x1", "a", true, 1, 1)
	engines = nil
	check("v2", "", false, 0, 0)
}

// TestLoadsStayWithinTheLimit guards against too many parallel loads when the engines' status lags
// by less than StatusGrace and orders are lost.
func TestLoadsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		document := testDocument(config.VersionServing, config.VersionLoading)
		document.Pools[0].MaxLoads = 1 + random.IntN(3)
		planner := NewPlanner(PlannerSettings{})
		engines := make([]Engine, 6)
		loadingUntil := make([]time.Duration, len(engines))
		for index := range engines {
			engines[index] = testEngine(fleet.EngineID('a' + rune(index)))
		}
		reported := engines
		for now := time.Duration(0); now < 3*time.Minute; now += 500 * time.Millisecond {
			actual := append([]Engine{}, engines...)
			loading := 0
			for index := range actual {
				status := &actual[index].Status
				if len(status.Loading) > 0 && now >= loadingUntil[index] {
					status.Loaded = append(append([]engine.ModelVersion{}, status.Loaded...), status.Loading...)
					status.Loading = nil
				}
				loading += len(status.Loading)
			}
			if now%(2*time.Second) == 0 {
				reported = append([]Engine{}, actual...)
			}
			for _, order := range planner.Plan(now, document, reported) {
				index := int(order.Engine[0] - 'a')
				if random.IntN(4) == 0 {
					continue // lost
				}
				actual[index].Status.Loading = []engine.ModelVersion{order.Order.ModelVersion}
				loadingUntil[index] = now + time.Duration(random.Int64N(int64(3*time.Second)))
				loading++
			}
			engines = actual
			require.LessOrEqual(t, loading, document.Pools[0].MaxLoads)
		}
		ready, _, _ := ReadyToPromote(document, engines, "m", "", "v2")
		require.True(t, ready, "the version reaches every engine")
	})
}
