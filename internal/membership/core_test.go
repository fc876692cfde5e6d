package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestMembersConvergeAfterJoin(t *testing.T) {
	network := newNetwork(t, 1, 3)
	network.start(30)
	took := network.advanceUntil(30*time.Second, network.converged)
	t.Logf("30 members joined in %s", took)
}

func TestCrashIsDetected(t *testing.T) {
	network := newNetwork(t, 2, 2)
	network.startConverged(50)
	network.advance(5 * time.Second)
	crashed := network.all[7]
	crashed.down = true
	took := network.advanceUntil(30*time.Second, func() bool { return network.allSee(crashed, Dead) })
	t.Logf("crash detected by all 50 members after %s", took)
	assert.True(t, network.converged())
}

func TestRackFailureIsDetected(t *testing.T) {
	network := newNetwork(t, 3, 6)
	network.startConverged(120)
	network.advance(5 * time.Second)
	for index := 0; index < 60; index += 6 {
		network.all[index].down = true
	}
	took := network.advanceUntil(time.Minute, network.converged)
	t.Logf("simultaneous loss of 10 of 120 members detected by all after %s", took)
}

func TestOneWayPartitionDeclaresNoMemberDead(t *testing.T) {
	network := newNetwork(t, 4, 2)
	network.startConverged(12)
	from, to := network.all[0].core.Self().Node, network.all[2].core.Self().Node
	network.blocked = func(sender, receiver Member) bool { return sender.Node == from && receiver.Node == to }
	for range 600 {
		network.advance(time.Second)
		for _, x := range network.all {
			require.True(t, network.allSee(x, Alive, Suspect))
		}
	}
}

func TestPacketLossDeclaresNoMemberDead(t *testing.T) {
	network := newNetwork(t, 5, 2)
	network.startConverged(40)
	network.loss = 0.05
	for range 300 {
		network.advance(time.Second)
		for _, x := range network.all {
			require.True(t, network.allSee(x, Alive, Suspect))
		}
	}
}

func TestPlannedLeaveSpreadsQuickly(t *testing.T) {
	network := newNetwork(t, 6, 6)
	network.startConverged(200)
	network.advance(5 * time.Second)
	leaving := network.all[11]
	network.send(leaving, leaving.core.Leave(network.now))
	allNotified := func() bool { return network.allSee(leaving, Leaving, Dead) }
	took := network.advanceUntil(2*time.Second, allNotified)
	t.Logf("planned leave known to all 200 members after %s", took)
	leaving.down = true
	network.advanceUntil(time.Minute, func() bool { return network.allSee(leaving, Dead) })
}

func TestPausedMemberSuspectsNobodyAndRejoins(t *testing.T) {
	network := newNetwork(t, 7, 2)
	network.startConverged(20)
	network.advance(5 * time.Second)
	paused := network.all[4]
	paused.paused = true
	network.advanceUntil(time.Minute, func() bool { return network.allSee(paused, Dead) })
	network.advance(time.Minute)
	before := paused.core.Self().Incarnation
	network.resume(paused)
	for range 300 {
		network.advance(100 * time.Millisecond)
		for _, x := range network.all {
			require.True(t, x == paused || network.allSee(x, Alive, Suspect))
		}
	}
	require.True(t, network.converged())
	assert.Greater(t, paused.core.Self().Incarnation, before)
}

func TestSimultaneousRestartConverges(t *testing.T) {
	network := newNetwork(t, 8, 3)
	network.startConverged(60)
	network.advance(5 * time.Second)
	for index := range 60 {
		network.restart(index, "-second")
	}
	took := network.advanceUntil(time.Minute, network.converged)
	t.Logf("60 members restarted at once, converged after %s", took)
}

func TestReplacedMemberIsDeclaredDead(t *testing.T) {
	network := newNetwork(t, 9, 1)
	network.startConverged(10)
	network.advance(5 * time.Second)
	old := network.all[5]
	network.restart(5, "-second")
	took := network.advanceUntil(20*time.Second, func() bool { return network.allSee(old, Dead) })
	t.Logf("replacement known to all 10 members after %s", took)
}

func TestRegionPartitionHealsAfterAnHour(t *testing.T) {
	network := newNetwork(t, 10, 6)
	network.startConverged(36)
	network.clearSeeds()
	network.advance(5 * time.Second)
	partitioned := network.all[0].core.Self().Region
	network.blocked = func(from, to Member) bool { return (from.Region == partitioned) != (to.Region == partitioned) }
	separated := func() bool {
		return len(network.all[0].core.Members()) == 6 && len(network.all[1].core.Members()) == 30
	}
	t.Logf("partition detected after %s", network.advanceUntil(5*time.Minute, separated))
	network.advance(time.Hour)
	network.blocked = nil
	t.Logf("membership converged %s after the partition ended", network.advanceUntil(time.Minute, network.converged))
}

func TestOldIncarnationIsRejected(t *testing.T) {
	network := newNetwork(t, 11, 1)
	core := network.startNode(network.member(0)).core
	gone := network.member(1)
	gone.Incarnation, gone.State = 5, Alive
	near := claimSource{region: gone.Region}
	core.merge(0, gone, near)
	require.True(t, core.isLive(gone.Node))
	dead := gone
	dead.State = Dead
	core.merge(time.Second, dead, near)
	core.merge(2*time.Second, gone, near)
	assert.False(t, core.isLive(gone.Node), "an equal incarnation resurrected the member")
	core.table.expireDead(24 * time.Hour)
	require.NotContains(t, core.table.byNode, gone.Node)
	for incarnation := range gone.Incarnation + 1 {
		claim := gone
		claim.Incarnation = incarnation
		core.merge(25*time.Hour, claim, claimSource{complete: true})
		require.False(t, core.isLive(gone.Node), "an old incarnation resurrected an expired member")
	}
	gone.Incarnation++
	core.merge(25*time.Hour, gone, near)
	assert.True(t, core.isLive(gone.Node))
}
