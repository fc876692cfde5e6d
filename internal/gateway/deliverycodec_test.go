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

// Encoding must not make a directive younger or change its other fields.
func TestDecodedDirectiveIsNeverYounger(t *testing.T) {
	sent := testDirective(10 * time.Second)
	for _, age := range []time.Duration{0, time.Nanosecond, 700 * time.Microsecond, 2499500 * time.Microsecond, 100 * 24 * time.Hour} {
		const at = 5 * time.Second
		decoded, valid := decodeDirective(at, at, encodeDirective(sent.IssuedAt+age, &sent))
		require.True(t, valid)
		assert.GreaterOrEqual(t, at-decoded.IssuedAt, min(age, maxAgeMillis*time.Millisecond))
		assert.LessOrEqual(t, at-decoded.IssuedAt, age+time.Millisecond)
		decoded.IssuedAt = sent.IssuedAt
		assert.Equal(t, sent, decoded)
	}
}

// A decoded shift must not start earlier than planned, however long the call took.
func TestDecodedShiftIsNeverEarlier(t *testing.T) {
	sent := testDirective(10 * time.Second)
	sent.ShiftAt = 12 * time.Second
	const began, transit = 5 * time.Second, 300 * time.Millisecond
	for _, encodedAt := range []time.Duration{10 * time.Second, 11500 * time.Millisecond, 12 * time.Second, 13 * time.Second} {
		decoded, valid := decodeDirective(began, began+transit, encodeDirective(encodedAt, &sent))
		require.True(t, valid)
		assert.InDelta(t, max(sent.ShiftAt-encodedAt, 0).Seconds(), (decoded.ShiftAt - began - transit).Seconds(), 0.001)
		assert.Equal(t, began, decoded.IssuedAt+(encodedAt-sent.IssuedAt)+time.Millisecond)
	}
}

func TestInvalidDirectiveIsRejected(t *testing.T) {
	for _, change := range []func(*rpc.DeliveryDirective){
		func(d *rpc.DeliveryDirective) { d.Stage = 0 },
		func(d *rpc.DeliveryDirective) { d.Stage = 99 },
		func(d *rpc.DeliveryDirective) { d.Service = "" },
		func(d *rpc.DeliveryDirective) { d.Target = "" },
	} {
		directive := testDirective(0)
		encoded := encodeDirective(0, &directive)
		change(encoded)
		_, valid := decodeDirective(0, 0, encoded)
		assert.False(t, valid)
	}
	directive := testDirective(0)
	encoded := encodeDirective(0, &directive)
	encoded.DefaultShare = 4_000_000
	decoded, valid := decodeDirective(0, 0, encoded)
	require.True(t, valid)
	assert.LessOrEqual(t, decoded.DefaultShare, 1.0)
}

func TestEvidenceRoundTrip(t *testing.T) {
	counts := func(answers, failures uint64, bucket int) *delivery.Counts {
		c := &delivery.Counts{Responses: answers, Failures: failures}
		c.Latency[bucket] = 5
		return c
	}
	sent := delivery.Evidence{
		Service: "app", Revision: 7, Stopped: true,
		Old: map[delivery.RouteName]*delivery.Counts{"a": counts(100, 2, 0), "b": counts(3, 0, delivery.LatencyBuckets-1)},
		New: map[delivery.RouteName]map[fleet.EngineID]*delivery.Counts{"a": {"w1": counts(9, 1, 4), "w2": counts(8, 0, 3)}},
	}
	encoded := encodeEvidence(&sent)
	received, valid := decodeEvidence(encoded)
	assert.True(t, valid)
	assert.Equal(t, sent, received)
	encoded.Counts[0].Latency = make([]uint32, 1000)
	assert.NotPanics(t, func() { decodeEvidence(encoded) }, "another release may have more buckets")
}
