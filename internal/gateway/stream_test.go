package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/bodymemory"
)

// TestLongEventInSmallPiecesTakesLittleTime guards against a worker that decides how much processor time this process
// takes, by one event that arrives in many small pieces.
func TestLongEventInSmallPiecesTakesLittleTime(t *testing.T) {
	const piece = 8
	relay := &eventRelay{buffer: eventBuffer{memory: bodymemory.New(0)}}
	start := time.Now()
	for len(relay.buffer.content) < maxEventBytes {
		relay.buffer.content = append(relay.buffer.content, strings.Repeat("x", piece)...)
		require.NoError(t, relay.relayArrived(func([]byte, bool) error { return nil }))
	}
	assert.Less(t, time.Since(start), time.Second)
}

// TestEventsInPiecesAreRelayedWhole guards against an event that is lost or cut where its end arrives in pieces.
func TestEventsInPiecesAreRelayedWhole(t *testing.T) {
	for _, stream := range []string{"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n", "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\nid: 3\r"} {
		for size := 1; size <= len(stream); size++ {
			relay, relayed := &eventRelay{buffer: eventBuffer{memory: bodymemory.New(0)}}, ""
			for rest := stream; rest != ""; rest = rest[min(size, len(rest)):] {
				relay.buffer.content = append(relay.buffer.content, rest[:min(size, len(rest))]...)
				require.NoError(t, relay.relayArrived(func(events []byte, _ bool) error {
					relayed += string(events)
					return nil
				}))
			}
			end := strings.Index(stream, "id: 3")
			assert.Equal(t, stream[:end], relayed, "pieces of %d bytes", size)
			assert.Equal(t, stream[end:], string(relay.buffer.content), "pieces of %d bytes", size)
			assert.Equal(t, "2", relay.lastID)
		}
	}
}
