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

// TestPressureFollowsTheLimits guards against a pressure that misses one of the gateway's limits.
func TestPressureFollowsTheLimits(t *testing.T) {
	limits := nodecapacity.Limits{ProcessorShare: 0.2, MemoryMB: 100, FileDescriptors: 1200}
	var processor time.Duration
	measured := &pressureMonitor{}
	now := time.Second
	step := func(busy float64, memoryMB, descriptors int) nodecapacity.Pressure {
		now += pressureInterval
		processor += time.Duration(busy * float64(pressureInterval))
		_, after := measured.observe(now, resourceUsage{
			processor: processor, memory: uint64(memoryMB) * bytesPerMB, descriptors: descriptors,
		}, limits)
		return after
	}
	for range 20 {
		assert.Equal(t, nodecapacity.Free, step(0.1, 50, 500))
	}
	assert.Equal(t, nodecapacity.Free, step(0.2, 50, 500), "a single interval has little weight")
	for range 20 {
		step(0.2, 50, 500)
	}
	assert.Equal(t, nodecapacity.Busy, measured.level())
	assert.Equal(t, nodecapacity.Processor, measured.scarcestResource())
	assert.Equal(t, nodecapacity.Full, step(0.1, 95, 500))
	assert.Equal(t, nodecapacity.Memory, measured.scarcestResource())
	assert.Equal(t, nodecapacity.Full, step(0.1, 50, 950))
	assert.Equal(t, nodecapacity.Descriptors, measured.scarcestResource())
	assert.Equal(t, nodecapacity.Busy, step(0.1, 50, 100))
}

// TestPressureIsFreeWithoutLimits guards against pressure at a gateway without limits in its
// settings.
func TestPressureIsFreeWithoutLimits(t *testing.T) {
	measured := &pressureMonitor{}
	_, after := measured.observe(time.Second, resourceUsage{processor: time.Hour, memory: 1 << 40, descriptors: 1 << 20}, nodecapacity.Limits{})
	assert.Equal(t, nodecapacity.Free, after)
}

// TestNodeUnderPressureGetsFewerCallers guards against planning a gateway under pressure at its
// full capacity, and against reports that are outdated or have expired.
func TestNodeUnderPressureGetsFewerCallers(t *testing.T) {
	g := newTestGateway(t)
	assert.Empty(t, g.origins.capacityFactors(0))
	g.applyLoadReport(&rpc.LoadReport{Node: "other", Pressure: uint32(nodecapacity.Busy)})
	now := g.now()
	assert.Equal(t, map[fleet.NodeID]float64{"other": nodecapacity.Busy.Weight()}, g.origins.capacityFactors(now))
	g.updateRoles(now)
	assert.Equal(t, nodecapacity.Busy.Weight(), g.roles.Load().capacityFactors["other"])
	_, pressures := g.originReport(now)
	require.Len(t, pressures, 1)
	g.applyOriginReport(now, nil, []*rpc.NodePressure{{Node: "other", Pressure: uint32(nodecapacity.Free), AgeMillis: 2000}})
	assert.NotEmpty(t, g.origins.capacityFactors(now), "an older report is ignored")
	assert.Empty(t, g.origins.capacityFactors(now+rateLifetime+time.Second), "a report that isn't renewed expires")
	g.applyLoadReport(&rpc.LoadReport{Node: "other", Pressure: uint32(nodecapacity.Full)})
	assert.Equal(t, nodecapacity.Full.Weight(), g.origins.capacityFactors(g.now())["other"])
	g.applyLoadReport(&rpc.LoadReport{Node: "other", Pressure: 77})
	assert.True(t, g.origins.isUnreachable(g.now(), "other"), "an unknown value counts as the highest")
	g.applyLoadReport(&rpc.LoadReport{Node: "other"})
	assert.Empty(t, g.origins.capacityFactors(g.now()))
}

// TestOwnPressureIsReported guards against a gateway that doesn't report its own pressure to peers
// and watchers.
func TestOwnPressureIsReported(t *testing.T) {
	g := newTestGateway(t)
	settings := *g.settings()
	settings.Limits = nodecapacity.Limits{MemoryMB: 100}
	require.NoError(t, g.Reload(settings))
	g.recordUsage(g.now(), resourceUsage{memory: 99 * bytesPerMB})
	assert.EqualValues(t, nodecapacity.Full, g.loadReport("other").GetPressure())
	response, _ := g.buildWatchResponse(&rpc.WatchRequest{})
	require.Len(t, response.GetPressures(), 1)
	assert.EqualValues(t, g.node, response.GetPressures()[0].GetNode())
}

// TestDemandOfALostRegionIsKeptAndCountedOnce guards against dropping the demand of a lost region
// before its callers arrive elsewhere, and against counting it twice when the region returns.
func TestDemandOfALostRegionIsKeptAndCountedOnce(t *testing.T) {
	tracker := newOriginTracker()
	north, south := membership.Location{Region: "north", Zone: "a"}, membership.Location{Region: "south", Zone: "b"}
	both := map[membership.Location]float64{north: 100, south: 80}
	alone := map[membership.Location]float64{north: 100}
	sample := func(duration time.Duration, rates map[membership.Location]float64) map[membership.Location]float64 {
		var planned map[membership.Location]float64
		for range int(duration / rolesInterval) {
			planned = tracker.plan(rates)
			for location, rate := range planned {
				require.LessOrEqual(t, rate, both[location]*(1+replanThreshold), "never counted twice")
			}
		}
		return planned
	}
	planned := sample(10*time.Second, both)
	assert.InDelta(t, 100, planned[north], 25)
	assert.InDelta(t, 80, planned[south], 20)
	assert.Greater(t, sample(5*time.Second, alone)[south], 40.0, "its callers may still arrive")
	assert.InDelta(t, 80, sample(5*time.Second, both)[south], 20, "the region is back")
	assert.NotContains(t, sample(time.Minute, alone), south, "its callers have arrived, or it serves them itself")
}

// TestRandomVariationOfRatesRarelyChangesThePlan guards against replanning on the random variation
// of low request rates.
func TestRandomVariationOfRatesRarelyChangesThePlan(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	tracker := newOriginTracker()
	changes := 0
	var before map[membership.Location]float64
	for range 300 {
		rates := map[membership.Location]float64{}
		for zone := range 3 {
			location := membership.Location{Region: "r", Zone: fleet.ZoneName(fmt.Sprint("z", zone))}
			rates[location] = 30 * (1 + 0.17*random.NormFloat64())
		}
		planned := tracker.plan(rates)
		if !maps.Equal(planned, before) {
			changes, before = changes+1, planned
		}
	}
	assert.LessOrEqual(t, changes, 20, "of 300 samples, including the changes at the start")
}

// TestRatesOfUnreachablePeersExpire guards against counting the rates of peers beyond a network
// partition, and against ignoring them once the partition is over.
func TestRatesOfUnreachablePeersExpire(t *testing.T) {
	tracker := newDemandTracker()
	tracker.setSharing(true)
	tracker.setPeerRate(0, "near", 40)
	tracker.setPeerRate(0, "far", 60)
	assert.InDelta(t, 100, tracker.sharedTotal(time.Second), 1e-9)
	tracker.setPeerRate(4*time.Second, "near", 45)
	assert.InDelta(t, 45, tracker.sharedTotal(4*time.Second), 1e-9)
	assert.Len(t, tracker.nodeRates(4*time.Second, "self"), 2)
	tracker.setPeerRate(5*time.Second, "far", 70)
	assert.InDelta(t, 115, tracker.sharedTotal(5*time.Second), 1e-9)
}

// scriptedListener accepts a given list of connections.
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

// TestConnectionsBeyondTheBoundAreClosedUnread guards against connections that wait, or are served,
// while the gateway has no descriptors left.
func TestConnectionsBeyondTheBoundAreClosedUnread(t *testing.T) {
	var accepted, callers []net.Conn
	for range 3 {
		server, caller := net.Pipe()
		accepted, callers = append(accepted, server), append(callers, caller)
	}
	room, refused := 0, 0
	listener := &boundedListener{
		Listener:  &scriptedListener{conns: accepted},
		hasRoom:   func() bool { room++; return room == 3 },
		onRefused: func() { refused++ },
	}
	taken, err := listener.Accept()
	require.NoError(t, err)
	assert.Same(t, accepted[2], taken)
	assert.Equal(t, 2, refused)
	for _, conn := range callers[:2] {
		_, err := conn.Read(make([]byte, 1))
		require.Error(t, err)
	}
	_, err = listener.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}

// TestDirectoryIsEmptyBeforeTheNodeIsReady guards against directing callers to gateways before this
// gateway has a configuration.
func TestDirectoryIsEmptyBeforeTheNodeIsReady(t *testing.T) {
	g := newTestGateway(t)
	g.roleSettled.Store(true)
	assert.Empty(t, g.frontAddresses(ResolutionQuery{Zone: "z0"}), "no configuration yet")
}
