package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/delivery"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

func testDirective(issuedAt time.Duration) delivery.Directive {
	return delivery.Directive{
		Service: "app", Target: "v2", Revision: 7, Sequence: 3, Stage: delivery.StageCanary, Issuer: "director",
		IssuedAt: issuedAt, Shares: map[delivery.RouteName]float64{"rare": 0.25}, DefaultShare: 0.0225,
		Canaries: []fleet.EngineID{"w1", "w2"}, Rejected: []fleet.SoftwareVersion{"v0"},
	}
}

// TestDirectiveIsNeverYoungerAfterItsWay and else the same.
func TestDirectiveIsNeverYoungerAfterItsWay(t *testing.T) {
	sent := testDirective(10 * time.Second)
	for _, age := range []time.Duration{0, time.Nanosecond, 700 * time.Microsecond, 2499500 * time.Microsecond, 100 * 24 * time.Hour} {
		const at = 5 * time.Second
		read, readable := decodeDirective(at, at, encodeDirective(sent.IssuedAt+age, &sent))
		require.True(t, readable)
		assert.GreaterOrEqual(t, at-read.IssuedAt, min(age, maxAgeMillis*time.Millisecond))
		assert.LessOrEqual(t, at-read.IssuedAt, age+time.Millisecond)
		read.IssuedAt = sent.IssuedAt
		assert.Equal(t, sent, read)
	}
}

// TestShiftIsNeverEarlierThanPlanned by more than a millisecond, however long the way was.
func TestShiftIsNeverEarlierThanPlanned(t *testing.T) {
	sent := testDirective(10 * time.Second)
	sent.ShiftAt = 12 * time.Second
	const began, way = 5 * time.Second, 300 * time.Millisecond
	for _, told := range []time.Duration{10 * time.Second, 11500 * time.Millisecond, 12 * time.Second, 13 * time.Second} {
		read, readable := decodeDirective(began, began+way, encodeDirective(told, &sent))
		require.True(t, readable)
		assert.InDelta(t, max(sent.ShiftAt-told, 0).Seconds(), (read.ShiftAt - began - way).Seconds(), 0.001)
		assert.Equal(t, began, read.IssuedAt+(told-sent.IssuedAt)+time.Millisecond)
	}
}

func TestUnreadableDirectiveIsLeftOut(t *testing.T) {
	for _, change := range []func(*rpc.DeliveryDirective){
		func(d *rpc.DeliveryDirective) { d.Stage = 0 },
		func(d *rpc.DeliveryDirective) { d.Stage = 99 },
		func(d *rpc.DeliveryDirective) { d.Service = "" },
		func(d *rpc.DeliveryDirective) { d.Target = "" },
	} {
		directive := testDirective(0)
		encoded := encodeDirective(0, &directive)
		change(encoded)
		_, readable := decodeDirective(0, 0, encoded)
		assert.False(t, readable)
	}
	directive := testDirective(0)
	encoded := encodeDirective(0, &directive)
	encoded.DefaultShare = 4_000_000
	read, readable := decodeDirective(0, 0, encoded)
	require.True(t, readable)
	assert.LessOrEqual(t, read.DefaultShare, 1.0)
}

func TestEvidenceSurvivesItsWay(t *testing.T) {
	counts := func(answers, failures uint64, bucket int) *delivery.Counts {
		c := &delivery.Counts{Answers: answers, Failures: failures}
		c.Latency[bucket] = 5
		return c
	}
	sent := delivery.Evidence{
		Service: "app", Revision: 7, Stopped: true,
		Old: map[delivery.RouteName]*delivery.Counts{"a": counts(100, 2, 0), "b": counts(3, 0, delivery.LatencyBuckets-1)},
		New: map[delivery.RouteName]map[fleet.EngineID]*delivery.Counts{"a": {"w1": counts(9, 1, 4), "w2": counts(8, 0, 3)}},
	}
	encoded := encodeEvidence(&sent)
	assert.Equal(t, sent, decodeEvidence(encoded))
	encoded.Counts[0].Latency = make([]uint32, 1000)
	assert.NotPanics(t, func() { decodeEvidence(encoded) }, "another node may know more buckets")
}
