package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

func TestPlacementsAreGatheredUntilTheyAreTold(t *testing.T) {
	announcer := newAnnouncer()
	announcer.note("a")
	announcer.note("b")
	announcer.note("a")
	<-announcer.noted
	engines, all := announcer.take()
	assert.Equal(t, map[fleet.EngineID]bool{"a": true, "b": true}, engines)
	assert.False(t, all)
	engines, _ = announcer.take()
	assert.Empty(t, engines)
	select {
	case <-announcer.noted:
		t.Fatal("all was told")
	default:
	}
	announcer.noteAll()
	<-announcer.noted
	_, all = announcer.take()
	assert.True(t, all)
	_, all = announcer.take()
	assert.False(t, all)
}

func TestLoadsKeepTheirValuesOnTheWay(t *testing.T) {
	loads := []backends.Load{{Engine: "a", InFlight: 3, PrefillTokens: 4000, MemoryTokens: 9000}, {Engine: "b"}}
	encoded := []*rpc.WorkerLoad{encodeLoad(loads[0]), encodeLoad(loads[1])}
	assert.Equal(t, loads, decodeLoads(encoded))
}
