package router

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/platform"
)

// listWithoutIncarnation publishes a list without incarnations, with the first engine in state.
func (f *testFleet) listWithoutIncarnation(state platform.MachineState) {
	machines := f.machines()
	machines[0].State = state
	for index := range machines {
		machines[index].Incarnation = 0
	}
	f.platform.SetMachines(machines)
}

func (f *testFleet) awaitReady(r *Router, count int) {
	require.Eventually(f.t, func() bool {
		return len(execute(f.t, r, "show engines where state = ready").GetRows()) == count
	}, waitTimeout, pollInterval)
}

func TestLeavingEntryWithoutIncarnationAppliesToObservedRun(t *testing.T) {
	f := newTestFleet(t, 2)
	f.commitConfiguration()
	f.listWithoutIncarnation(platform.MachineLive)
	r := f.startReadyRouter("r")
	f.listWithoutIncarnation(platform.MachineLeaving)
	f.awaitReady(r, 1)
	assert.Equal(t, "e1", place(t, r, "a").GetGrant().GetRun().GetEngine())

	late := f.startRouter("late")
	require.Eventually(t, func() bool {
		return len(execute(t, late, "show engines where state = leaving and leaving_by = machine_list").GetRows()) == 1
	}, waitTimeout, pollInterval, "router started after the engine was listed as leaving")

	f.listWithoutIncarnation(platform.MachineLive)
	require.Eventually(t, func() bool { return r.machines.current()[0].State == platform.MachineLive }, waitTimeout, pollInterval)
	f.awaitReady(r, 1)
	require.NoError(t, f.engines[0].Restart())
	f.awaitReady(r, 2)
}
