package router

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

func machine(id string, incarnation fleet.Incarnation, state platform.MachineState) platform.Machine {
	return platform.Machine{
		ID: id, Kind: platform.MachineEngine, Address: "127.0.0.1:1", Zone: "z", Pool: "p", Incarnation: incarnation, State: state,
	}
}

func TestAgentMachineListsAreMergedUntilPlatformRead(t *testing.T) {
	list := newMachineList()
	require.False(t, list.isKnown())
	list.offer(&rpc.MachineList{})
	require.False(t, list.isKnown(), "an empty list must be ignored")
	list.offer(encodeMachines([]platform.Machine{machine("a", 1, platform.MachineLive), machine("b", 2, platform.MachineLive)}))
	list.offer(encodeMachines([]platform.Machine{machine("a", 3, platform.MachineLive), machine("b", 1, platform.MachineLive)}))
	merged := []platform.Machine{machine("a", 3, platform.MachineLive), machine("b", 2, platform.MachineLive)}
	assert.Equal(t, merged, list.current(), "the newest incarnation of each machine must win")
	listed := []platform.Machine{machine("a", 3, platform.MachineLive)}
	list.setFromPlatform(listed)
	list.offer(encodeMachines(merged))
	assert.Equal(t, listed, list.current(), "the platform's list must be authoritative")
}

func TestStaleMachineListDoesNotRevertEntries(t *testing.T) {
	list := newMachineList()
	list.setFromPlatform([]platform.Machine{machine("a", 2, platform.MachineLeaving), machine("b", 2, platform.MachineLive)})
	list.setFromPlatform([]platform.Machine{machine("a", 2, platform.MachineLive), machine("b", 1, platform.MachineLeaving)})
	assert.Equal(t, []platform.Machine{machine("a", 2, platform.MachineLeaving), machine("b", 2, platform.MachineLive)}, list.current())
	list.setFromPlatform([]platform.Machine{machine("a", 3, platform.MachineLive)})
	assert.Equal(t, []platform.Machine{machine("a", 3, platform.MachineLive)}, list.current(), "a new incarnation must not be leaving")
	list.setFromPlatform([]platform.Machine{machine("c", 0, platform.MachineLeaving)})
	list.setFromPlatform([]platform.Machine{machine("c", 0, platform.MachineLive)})
	assert.Equal(t, []platform.Machine{machine("c", 0, platform.MachineLive)}, list.current(), "an entry without incarnation must not stay leaving")
}

func TestMachineListDigestDistinguishesLists(t *testing.T) {
	digests := make(map[uint64]bool)
	for _, machines := range [][]platform.Machine{
		nil,
		{machine("a", 1, platform.MachineLive)},
		{machine("a", 2, platform.MachineLive)},
		{machine("a", 1, platform.MachineLeaving)},
		{machine("a", 1, platform.MachineLive), machine("b", 1, platform.MachineLive)},
	} {
		digest := encodeMachines(machines).GetDigest()
		assert.NotZero(t, digest)
		assert.False(t, digests[digest])
		digests[digest] = true
	}
}

func FuzzDecodeMessages(f *testing.F) {
	seed, err := proto.Marshal(placeRequest("q"))
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var request rpc.PlaceRequest
		if proto.Unmarshal(encoded, &request) == nil {
			decoded, err := decodePlaceRequest(&request)
			require.True(t, err != nil || decoded.Key.Attempt > 0)
		}
		var sync rpc.SyncRequest
		if proto.Unmarshal(encoded, &sync) == nil {
			newMachineList().offer(sync.GetMachines())
		}
		var reports rpc.ReportRequest
		if proto.Unmarshal(encoded, &reports) == nil {
			for _, report := range reports.GetReports() {
				_, _ = decodeReport(report)
			}
		}
	})
}
