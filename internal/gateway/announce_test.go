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
	assert.Equal(t, map[fleet.EngineID]bool{"a": true, "b": true}, announcer.take())
	assert.Empty(t, announcer.take())
	select {
	case <-announcer.noted:
		t.Fatal("all was told")
	default:
	}
	announcer.note("c")
	<-announcer.noted
}

func TestLoadsKeepTheirValuesOnTheWay(t *testing.T) {
	loads := []backends.Load{{Engine: "a", InFlight: 3, PrefillTokens: 4000, MemoryTokens: 9000}, {Engine: "b"}}
	encoded := []*rpc.WorkerLoad{encodeLoad(loads[0]), encodeLoad(loads[1])}
	assert.Equal(t, loads, decodeLoads(encoded))
}
