package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLongEventInSmallPiecesTakesLittleTime guards against a worker that decides how much processor time this process
// takes, by one event that arrives in many small pieces.
func TestLongEventInSmallPiecesTakesLittleTime(t *testing.T) {
	const piece = 8
	relay := &eventRelay{}
	start := time.Now()
	for len(relay.buffer) < maxEventBytes {
		relay.buffer = append(relay.buffer, strings.Repeat("x", piece)...)
		require.NoError(t, relay.relayCompleteEvents(func([]byte) error { return nil }))
	}
	assert.Less(t, time.Since(start), time.Second)
}

// TestEventsInPiecesAreRelayedWhole guards against an event that is lost or cut where its end arrives in pieces.
func TestEventsInPiecesAreRelayedWhole(t *testing.T) {
	for _, stream := range []string{"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n", "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\nid: 3\r"} {
		for size := 1; size <= len(stream); size++ {
			relay, relayed := &eventRelay{}, ""
			for rest := stream; rest != ""; rest = rest[min(size, len(rest)):] {
				relay.buffer = append(relay.buffer, rest[:min(size, len(rest))]...)
				require.NoError(t, relay.relayCompleteEvents(func(events []byte) error {
					relayed += string(events)
					return nil
				}))
			}
			end := strings.Index(stream, "id: 3")
			assert.Equal(t, stream[:end], relayed, "pieces of %d bytes", size)
			assert.Equal(t, stream[end:], string(relay.buffer), "pieces of %d bytes", size)
			assert.Equal(t, "2", relay.lastID)
		}
	}
}
