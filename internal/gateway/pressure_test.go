package gateway

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/nodecapacity"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// TestPressureFollowsTheLimits has a node use more of each of its limits in turn.
func TestPressureFollowsTheLimits(t *testing.T) {
	limits := nodecapacity.Limits{ProcessorShare: 0.2, MemoryMB: 100, FileDescriptors: 1200}
	var processor time.Duration
	measured := &pressure{}
	now := time.Second
	step := func(busy float64, memoryMB, descriptors int) nodecapacity.Pressure {
		now += pressureInterval
		processor += time.Duration(busy * float64(pressureInterval))
		_, after := measured.observe(now, consumption{
			processor: processor, memory: uint64(memoryMB) * bytesPerMB, descriptors: descriptors,
		}, limits)
		return after
	}
	for range 20 {
		assert.Equal(t, nodecapacity.Free, step(0.1, 50, 500))
	}
	assert.Equal(t, nodecapacity.Free, step(0.2, 50, 500), "one interval isn't a trend")
	for range 20 {
		step(0.2, 50, 500)
	}
	assert.Equal(t, nodecapacity.Busy, measured.level())
	assert.Equal(t, nodecapacity.Processor, measured.scarce())
	assert.Equal(t, nodecapacity.Full, step(0.1, 95, 500))
	assert.Equal(t, nodecapacity.Memory, measured.scarce())
	assert.Equal(t, nodecapacity.Full, step(0.1, 50, 950))
	assert.Equal(t, nodecapacity.Descriptors, measured.scarce())
	assert.Equal(t, nodecapacity.Busy, step(0.1, 50, 100))
}

// TestPressureOfAnUnknownMachineIsNone has no limit in the settings.
func TestPressureOfAnUnknownMachineIsNone(t *testing.T) {
	measured := &pressure{}
	_, after := measured.observe(time.Second, consumption{processor: time.Hour, memory: 1 << 40, descriptors: 1 << 20}, nodecapacity.Limits{})
	assert.Equal(t, nodecapacity.Free, after)
}

// TestNodeUnderPressureGetsFewerCallers has one node tell that it is busy.
func TestNodeUnderPressureGetsFewerCallers(t *testing.T) {
	g := newTestGateway(t)
	assert.Empty(t, g.origins.planWeights(0))
	g.takeLoad(&rpc.LoadReport{Node: "other", Pressure: uint32(nodecapacity.Busy)})
	now := g.now()
	assert.Equal(t, map[fleet.NodeID]float64{"other": nodecapacity.Busy.Weight()}, g.origins.planWeights(now))
	g.updateRoles(now)
	assert.Equal(t, nodecapacity.Busy.Weight(), g.roles.Load().pressureWeights["other"])
	_, told := g.originReport(now)
	require.Len(t, told, 1)
	g.takeOrigins(now, nil, []*rpc.NodePressure{{Node: "other", Pressure: uint32(nodecapacity.Free), AgeMillis: 2000}})
	assert.NotEmpty(t, g.origins.planWeights(now), "an older word doesn't count")
	assert.Empty(t, g.origins.planWeights(now+rateValid+time.Second), "a word that isn't renewed ends")
	g.takeLoad(&rpc.LoadReport{Node: "other", Pressure: uint32(nodecapacity.Full)})
	assert.Equal(t, nodecapacity.Full.Weight(), g.origins.planWeights(g.now())["other"])
	g.takeLoad(&rpc.LoadReport{Node: "other", Pressure: 77})
	assert.True(t, g.origins.silent(g.now(), "other"), "an unknown word counts as the highest")
	g.takeLoad(&rpc.LoadReport{Node: "other"})
	assert.Empty(t, g.origins.planWeights(g.now()))
}

// TestOwnPressureIsTold has this node itself run short.
func TestOwnPressureIsTold(t *testing.T) {
	g := newTestGateway(t)
	settings := *g.settings()
	settings.Limits = nodecapacity.Limits{MemoryMB: 100}
	require.NoError(t, g.Reload(settings))
	g.takeUsage(g.now(), consumption{memory: 99 * bytesPerMB})
	assert.EqualValues(t, nodecapacity.Full, g.loadReport("other").GetPressure())
	response, _ := g.buildWatchResponse(&rpc.WatchRequest{})
	require.Len(t, response.GetPressures(), 1)
	assert.EqualValues(t, g.node, response.GetPressures()[0].GetNode())
}

// TestLostRegionIsRememberedAndCountedOnce cuts a region off and lets it return: its callers'
// demand is planned for by those that are left, and isn't added to what the region tells again.
func TestLostRegionIsRememberedAndCountedOnce(t *testing.T) {
	known := newOrigins()
	north, south := membership.Location{Region: "north", Zone: "a"}, membership.Location{Region: "south", Zone: "b"}
	both := map[membership.Location]float64{north: 100, south: 80}
	alone := map[membership.Location]float64{north: 100}
	looks := func(duration time.Duration, rates map[membership.Location]float64) map[membership.Location]float64 {
		var planned map[membership.Location]float64
		for range int(duration / rolesInterval) {
			planned = known.plan(rates)
			for place, rate := range planned {
				require.LessOrEqual(t, rate, both[place]*(1+originStep), "counted once at any time")
			}
		}
		return planned
	}
	planned := looks(10*time.Second, both)
	assert.InDelta(t, 100, planned[north], 25)
	assert.InDelta(t, 80, planned[south], 20)
	assert.Greater(t, looks(5*time.Second, alone)[south], 40.0, "its callers may be on their way")
	assert.InDelta(t, 80, looks(5*time.Second, both)[south], 20, "back")
	assert.NotContains(t, looks(time.Minute, alone), south, "it serves its callers itself, or they have come")
}

// TestVaryingRatesChangeThePlanSeldom has the numbers of few requests vary as they do by chance.
func TestVaryingRatesChangeThePlanSeldom(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	known := newOrigins()
	changes := 0
	var before map[membership.Location]float64
	for range 300 {
		rates := map[membership.Location]float64{}
		for zone := range 3 {
			place := membership.Location{Region: "r", Zone: fleet.ZoneName(fmt.Sprint("z", zone))}
			rates[place] = 30 * (1 + 0.17*random.NormFloat64())
		}
		planned := known.plan(rates)
		if !maps.Equal(planned, before) {
			changes, before = changes+1, planned
		}
	}
	assert.LessOrEqual(t, changes, 20, "of 300 looks, some twelve of them at the start")
}

// TestPartitionedNodesCountOnlyWhomTheyHear has one side's rates run out while the link is
// down, and come back as they are then.
func TestPartitionedNodesCountOnlyWhomTheyHear(t *testing.T) {
	known := newDemand()
	known.setSharing(true)
	known.peer(0, "near", 40)
	known.peer(0, "far", 60)
	assert.InDelta(t, 100, known.summed(time.Second), 1e-9)
	known.peer(4*time.Second, "near", 45)
	assert.InDelta(t, 45, known.summed(4*time.Second), 1e-9)
	assert.Len(t, known.nodeRates(4*time.Second, "self"), 2)
	known.peer(5*time.Second, "far", 70)
	assert.InDelta(t, 115, known.summed(5*time.Second), 1e-9)
}

// scriptedListener returns connections one after the other.
type scriptedListener struct {
	net.Listener
	conns []net.Conn
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.conns) == 0 {
		return nil, net.ErrClosed
	}
	conn := l.conns[0]
	l.conns = l.conns[1:]
	return conn, nil
}

func TestConnectionsBeyondTheBoundAreClosedUnread(t *testing.T) {
	var ours, theirs []net.Conn
	for range 3 {
		one, other := net.Pipe()
		ours, theirs = append(ours, one), append(theirs, other)
	}
	room, refused := 0, 0
	listener := &boundedListener{
		Listener: &scriptedListener{conns: ours},
		room:     func() bool { room++; return room == 3 },
		refused:  func() { refused++ },
	}
	taken, err := listener.Accept()
	require.NoError(t, err)
	assert.Same(t, ours[2], taken)
	assert.Equal(t, 2, refused)
	for _, conn := range theirs[:2] {
		_, err := conn.Read(make([]byte, 1))
		require.Error(t, err)
	}
	_, err = listener.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}

func TestDirectoryNamesNobodyWhoIsNotReady(t *testing.T) {
	g := newTestGateway(t)
	g.roleSettled.Store(true)
	assert.Empty(t, g.frontAddresses(ResolutionQuery{Zone: "z0"}), "it knows no configuration yet")
}
