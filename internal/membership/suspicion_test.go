package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newCoreWithMember returns a core and a member of its region that it sees as alive.
func newCoreWithMember(t *testing.T) (*Core, Member) {
	network := newNetwork(t, 41, 1)
	core := network.startNode(network.member(0)).core
	other := network.member(1)
	other.State = Alive
	core.Receive(0, Message{Kind: Ack, Sender: other, Target: other.Node})
	require.True(t, core.isLive(other.Node))
	return core, other
}

func TestRemoteDeathClaimMakesMemberSuspect(t *testing.T) {
	core, other := newCoreWithMember(t)
	remote := Member{Node: "stranger", Address: "10.9.9.9:1", Region: "elsewhere", State: Alive}
	dead := other
	dead.State = Dead
	core.Receive(time.Second, Message{Kind: Ack, Sender: remote, Target: remote.Node, Updates: []Member{dead}})
	require.Equal(t, Suspect, core.table.byNode[other.Node].State)
	var informed bool
	for _, message := range core.Tick(core.NextWake()) {
		informed = informed || (message.Kind == Probe && message.To == other.Address && message.Updates[0].State == Suspect)
	}
	assert.True(t, informed, "the member must be informed that it is suspected")
	other.Incarnation++
	core.Receive(core.NextWake(), Message{Kind: Ack, Sender: other, Target: other.Node})
	assert.Equal(t, Alive, core.table.byNode[other.Node].State)
}

func TestDeathClaimFromSameRegionIsAccepted(t *testing.T) {
	core, other := newCoreWithMember(t)
	neighbour := Member{Node: "neighbour", Address: "10.9.9.9:1", Region: other.Region, State: Alive}
	dead := other
	dead.State = Dead
	core.Receive(time.Second, Message{Kind: Ack, Sender: neighbour, Target: neighbour.Node, Updates: []Member{dead}})
	assert.False(t, core.isLive(other.Node))
}

func TestResumedNodeExtendsSuspicionDeadlines(t *testing.T) {
	core, other := newCoreWithMember(t)
	other.State = Suspect
	core.merge(time.Second, other, claimSource{region: other.Region})
	resumedAt := core.NextWake() + time.Hour
	core.Tick(resumedAt)
	require.True(t, core.isLive(other.Node), "a suspect was declared dead while this node was paused")
	for now := resumedAt; core.isLive(other.Node); now = core.NextWake() {
		require.Less(t, now, resumedAt+time.Minute)
		core.Tick(now)
	}
}

func TestNackFromNewOwnerOfAddressDeclaresMemberDead(t *testing.T) {
	core, other := newCoreWithMember(t)
	successor := other
	successor.Node += "-second"
	core.Receive(time.Second, Message{Kind: Nack, Sender: successor, Target: other.Node})
	assert.False(t, core.isLive(other.Node))
	assert.True(t, core.isLive(successor.Node))
}

func TestExchangeRepairsMissingMember(t *testing.T) {
	network := newNetwork(t, 42, 1)
	network.startConverged(3)
	network.clearSeeds()
	unknown, missing := network.all[2], network.all[1]
	delete(missing.core.table.byNode, unknown.core.Self().Node)
	missing.core.table.sorted = []*record{missing.core.table.sorted[0]}
	missing.core.adjustLive(unknown.core.Self().Region, -1)
	network.blocked = func(from, to Member) bool {
		return from.Node != network.all[0].core.Self().Node && to.Node != network.all[0].core.Self().Node
	}
	require.False(t, missing.core.isLive(unknown.core.Self().Node))
	network.advanceUntil(3*DefaultExchangeInterval, func() bool { return missing.core.isLive(unknown.core.Self().Node) })
}

func TestRegionPartitionDeclaresNoLocalMemberDead(t *testing.T) {
	network := newNetwork(t, 43, 2)
	network.startConverged(24)
	network.clearSeeds()
	network.blocked = func(from, to Member) bool { return from.Region != to.Region }
	network.advance(20 * time.Second)
	network.blocked = nil
	for !network.converged() {
		require.Less(t, network.now, 2*time.Minute)
		network.advance(100 * time.Millisecond)
		for _, x := range network.all {
			for _, record := range x.core.table.sorted {
				require.False(t, record.State == Dead && record.Region == x.core.Self().Region, "%s of the same region was declared dead", record.Node)
			}
		}
	}
}
