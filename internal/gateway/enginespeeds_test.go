package gateway

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/enginespeed"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// TestEngineSpeedsPassBetweenNodes guards against speeds that are lost on the wire, and against
// speeds of unknown engines, of other runs or out of range that count.
func TestEngineSpeedsPassBetweenNodes(t *testing.T) {
	sender, receiver := newTestGateway(t), newTestGateway(t)
	versions := map[fleet.ModelName]backends.ModelVersion{"m": 1}
	for _, id := range []fleet.EngineID{"a", "b", "c"} {
		for _, g := range []*Gateway{sender, receiver} {
			g.workers.Observe(1, backends.Worker{ID: id, StartTime: 1000, Service: "s", Versions: versions})
		}
	}
	speeds := []enginespeed.Speed{
		{Run: enginespeed.Run{Engine: "a", StartTime: 1000}, Ratios: [2]float64{0.5, 0.6}, Samples: 7.2},
		{Run: enginespeed.Run{Engine: "b", StartTime: 1000}, Ratios: [2]float64{1, 1}, Samples: 7},
		{Run: enginespeed.Run{Engine: "c", StartTime: 1000}, Ratios: [2]float64{1, 0}, Samples: 7},
	}
	report := &rpc.LoadReport{Node: "sender"}
	for index := range speeds {
		encoded := encodeEngineSpeed(&speeds[index])
		encoded.Worker = string(speeds[index].Engine)
		report.Speeds = append(report.Speeds, encoded)
	}
	speeds[0].Samples = 7
	decoded := decodeEngineSpeed(report.Speeds[0])
	assert.Equal(t, speeds[0], decoded)
	report.Speeds = append(report.Speeds,
		&rpc.EngineSpeed{Worker: "unknown", PrefillPermille: 1000, Samples: 1},
		&rpc.EngineSpeed{ShortName: 12345, PrefillPermille: 1000, Samples: 1},
		&rpc.EngineSpeed{Worker: "b", PrefillPermille: 4_000_000_000, Samples: 1},
		&rpc.EngineSpeed{Worker: "b", PrefillPermille: 1000},
		&rpc.EngineSpeed{Worker: "b", Born: 10, PrefillPermille: 9000, Samples: 16})
	receiver.applyLoadReport(report)
	receiver.refreshEngineSpeeds()
	assert.InDelta(t, 2, testutil.ToFloat64(receiver.metrics.engineSpeeds.rejected.WithLabelValues(rejectedUnknown)), 0)
	assert.InDelta(t, 2, testutil.ToFloat64(receiver.metrics.engineSpeeds.rejected.WithLabelValues(rejectedInvalid)), 0)
	assert.InDelta(t, 1, testutil.ToFloat64(receiver.metrics.engineSpeeds.engines.WithLabelValues(rangeFast)), 0)
	assert.InDelta(t, 2, testutil.ToFloat64(receiver.metrics.engineSpeeds.engines.WithLabelValues(rangeUsual)), 0)
	assert.Empty(t, receiver.loadReport("other").GetSpeeds(), "only its own measurements")
}
