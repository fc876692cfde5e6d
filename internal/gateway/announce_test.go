package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

func TestAnnouncerBatchesEngines(t *testing.T) {
	announcer := newAnnouncer()
	announcer.addEngine("a")
	announcer.addEngine("b")
	announcer.addEngine("a")
	<-announcer.pending
	engines, all := announcer.take()
	assert.Equal(t, map[fleet.EngineID]bool{"a": true, "b": true}, engines)
	assert.False(t, all)
	engines, _ = announcer.take()
	assert.Empty(t, engines)
	select {
	case <-announcer.pending:
		t.Fatal("signal without a change")
	default:
	}
	announcer.addAll()
	<-announcer.pending
	_, all = announcer.take()
	assert.True(t, all)
	_, all = announcer.take()
	assert.False(t, all)
}

// Loads must survive encoding with short worker names. Those of unknown workers must be omitted.
func TestLoadsRoundTrip(t *testing.T) {
	sender, receiver := newTestGateway(t), newTestGateway(t)
	for _, g := range []*Gateway{sender, receiver} {
		g.workers.Observe(1, backends.Worker{ID: "a"})
		g.workers.Observe(2, backends.Worker{ID: "b"})
	}
	receiver.workers.Observe(3, backends.Worker{ID: "unknown-to-sender"})
	sender.workers.Observe(3, backends.Worker{ID: "unknown-to-receiver"})
	loads := []backends.Load{
		{Engine: "a", InFlight: 3, PrefillTokens: 4000, MemoryTokens: 9000},
		{Engine: "b"},
		{Engine: "unknown-to-sender", InFlight: 1},
	}
	loads[0].Priorities[0] = backends.PriorityLoad{InFlight: 1, PrefillTokens: 1000}
	loads[0].Priorities[backends.PriorityCount-1] = backends.PriorityLoad{InFlight: 2, PrefillTokens: 3000}
	encoded := sender.encodeLoads(append(loads, backends.Load{Engine: "unknown-to-receiver", InFlight: 1}))
	assert.Empty(t, encoded[0].GetWorker())
	assert.Equal(t, "unknown-to-sender", encoded[2].GetWorker())
	assert.Equal(t, loads, receiver.decodeLoads(encoded))
	assert.Empty(t, receiver.decodeLoads([]*rpc.WorkerLoad{{InFlight: 1}}))
	truncated := []*rpc.WorkerLoad{{Worker: "a", ByPriority: []uint32{backends.PriorityCount, 1, 1, 0, 1}}}
	assert.Equal(t, []backends.Load{{Engine: "a"}}, receiver.decodeLoads(truncated), "unknown priority and truncated values")
}
