package backends

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// TestPeerCordonEndsWithNextReport guards against avoiding an engine after its cordon no longer
// appears in the peer's report.
func TestPeerCordonEndsWithNextReport(t *testing.T) {
	registry := newEngineRegistry()
	home, _ := registry.Choose(0, engineRequest("p"))
	home.End(0, Succeeded)
	registry.ObservePeer(0, "holder", PeerReport{Cordons: map[fleet.EngineID]time.Duration{home.Worker.ID: 2 * time.Second}})
	other, _ := registry.Choose(0, engineRequest("p"))
	require.NotNil(t, other)
	assert.NotEqual(t, home.Worker.ID, other.Worker.ID)
	other.End(0, Succeeded)
	registry.ObservePeer(100*time.Millisecond, "holder", PeerReport{})
	again, _ := registry.Choose(100*time.Millisecond, engineRequest("p"))
	assert.Equal(t, home.Worker.ID, again.Worker.ID)
}

// TestWorkerSuspectedBySeveralNodesIsAvoided guards against sending to a worker that several peers
// cannot reach, unless this node has recent contact, and against relying on a single peer.
func TestWorkerSuspectedBySeveralNodesIsAvoided(t *testing.T) {
	registry := newEngineRegistry()
	home, _ := registry.Choose(0, engineRequest("p"))
	home.End(0, Cancelled)
	suspects := PeerReport{Suspects: []fleet.EngineID{home.Worker.ID}}
	registry.ObservePeer(0, "a", suspects)
	one, _ := registry.Choose(0, engineRequest("p"))
	assert.Equal(t, home.Worker.ID, one.Worker.ID, "a single peer may be partitioned")
	assert.True(t, registry.AllSuspects(0)[home.Worker.ID])
	registry.ObservePeer(0, "b", suspects)
	one.End(0, Cancelled)
	two, _ := registry.Choose(0, engineRequest("p"))
	assert.NotEqual(t, home.Worker.ID, two.Worker.ID)
	one.state.recordContact(time.Millisecond)
	trusted, _ := registry.Choose(2*time.Millisecond, engineRequest("p"))
	assert.Equal(t, home.Worker.ID, trusted.Worker.ID)
	trusted.End(2*time.Millisecond, Cancelled)
	late, _ := registry.Choose(peerReportValidity, engineRequest("p"))
	assert.Equal(t, home.Worker.ID, late.Worker.ID, "expired reports don't count")
}

// TestWorkerDeferringSeveralNodesIsChosenLast guards against preferring a worker that defers
// several peers, and against treating it as unreachable.
func TestWorkerDeferringSeveralNodesIsChosenLast(t *testing.T) {
	registry := newPlainRegistry(2)
	deferring := PeerReport{Deferring: []fleet.EngineID{"p0"}}
	registry.ObservePeer(0, "a", deferring)
	chosen := make(map[fleet.EngineID]bool)
	for range 50 {
		chosen[choosePlain(t, registry, 0).Worker.ID] = true
	}
	assert.Len(t, chosen, 2, "the worker may reject the requests of a single peer")
	registry.ObservePeer(0, "b", deferring)
	for range 50 {
		assert.EqualValues(t, "p1", choosePlain(t, registry, 0).Worker.ID)
	}
	assert.Empty(t, registry.AllSuspects(0))
	registry.ObserveDraining(DrainingRun{Worker: "p1"})
	assert.EqualValues(t, "p0", choosePlain(t, registry, 0).Worker.ID, "no other worker is left")
}

// TestLoadUpdateCountsUntilNextReport guards against ignoring load updates between reports, or
// keeping them after the next report.
func TestLoadUpdateCountsUntilNextReport(t *testing.T) {
	reports := newPeerReports()
	reports.update("a", []Load{{Engine: "e", PrefillTokens: 9}})
	assert.Zero(t, reports.totalsAt(0).reportCount, "update without a report")
	reports.observe(0, "a", PeerReport{Loads: []Load{{Engine: "e", PrefillTokens: 1}, {Engine: "f", PrefillTokens: 2}}})
	reports.update("a", []Load{{Engine: "e", PrefillTokens: 9}})
	assert.Equal(t, 9, reports.totalsAt(0).worker("e").PrefillTokens)
	assert.Equal(t, 2, reports.totalsAt(0).worker("f").PrefillTokens)
	reports.observe(0, "a", PeerReport{})
	assert.Nil(t, reports.totalsAt(0).worker("e"), "the load is no longer reported")
}

func TestValidReportsAreSummed(t *testing.T) {
	reports := newPeerReports()
	reports.observe(0, "a", PeerReport{Loads: []Load{{Engine: "e", InFlight: 2, MemoryTokens: 10}}})
	reports.observe(time.Second, "b", PeerReport{Loads: []Load{{Engine: "e", InFlight: 3, MemoryTokens: 5}}})
	assert.Equal(t, 5, reports.totalsAt(time.Second).worker("e").InFlight)
	assert.Equal(t, 15, reports.totalsAt(time.Second).worker("e").MemoryTokens)
	assert.Equal(t, 3, reports.totalsAt(peerReportValidity).worker("e").InFlight, "the older report has expired")
	reports.forget("b")
	assert.Zero(t, reports.totalsAt(peerReportValidity).reportCount)
}

// TestIncrementalTotalsMatchRebuild guards against incremental totals that drift from rebuilt ones,
// over random reports, updates and departures.
func TestIncrementalTotalsMatchRebuild(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	incremental := newPeerReports()
	now := time.Second
	id := func() fleet.EngineID { return fleet.EngineID(fmt.Sprint("e", random.IntN(9))) }
	for range 5000 {
		now += time.Duration(random.IntN(300)) * time.Millisecond
		node := fleet.NodeID(fmt.Sprint("n", random.IntN(4)))
		load := Load{Engine: id(), InFlight: random.IntN(5), PrefillTokens: random.IntN(900)}
		switch random.IntN(4) {
		case 0, 1:
			incremental.observe(now, node, PeerReport{
				Loads: []Load{load, {Engine: "all", InFlight: 1}}, Suspects: []fleet.EngineID{id()}, Deferring: []fleet.EngineID{id()},
				Cordons: map[fleet.EngineID]time.Duration{id(): now + time.Duration(random.IntN(2000))*time.Millisecond},
				Work:    map[fleet.PoolName]Work{"s": {Long: time.Duration(random.IntN(50)), Short: 1}},
			})
		case 2:
			incremental.update(node, []Load{load})
		case 3:
			incremental.forget(node)
		}
		rebuilt := newPeerReports()
		for node, report := range incremental.reports {
			copied := *report
			rebuilt.reports[node] = &copied
		}
		one, other := incremental.totalsAt(now), rebuilt.totalsAt(now)
		assert.Equal(t, other.reportCount, one.reportCount)
		assert.Equal(t, other.work["s"], one.work["s"])
		for number := range 10 {
			engine := fleet.EngineID(fmt.Sprint("e", number))
			if number == 9 {
				engine = "all"
			}
			want, got := other.worker(engine), one.worker(engine)
			if want == nil {
				want = &workerTotals{}
			}
			if got == nil {
				got = &workerTotals{}
			}
			require.Equal(t, *want, *got, "%s at %s", engine, now)
		}
	}
}
