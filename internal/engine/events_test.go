package engine_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// eventsAnswer returns a response to a poll with the events of some sequence numbers.
func eventsAnswer(sequences ...uint64) string {
	events := ""
	for index, sequence := range sequences {
		if index > 0 {
			events += ","
		}
		events += fmt.Sprintf(`{"seq":%d,"kind":"cleared"}`, sequence)
	}
	body := fmt.Sprintf(`{"incarnation":1,"events":[%s]}`, events)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// serveEvents starts an engine that writes answers of its own to polls, by connection and by call on it.
func serveEvents(t *testing.T, answer func(connection, call int) string) *engine.Client {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for connection := 1; ; connection++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for call := 1; ; call++ {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					if _, err := io.WriteString(conn, answer(connection, call)); err != nil {
						return
					}
				}
			}()
		}
	}()
	client := engine.NewClient(fleet.Address(listener.Addr().String()), engine.Options{})
	t.Cleanup(client.CloseIdle)
	return client
}

// TestLateEventsAnswerNoOtherPoll guards against a copy of an answer, or one that comes late, that is taken for
// the answer to the next poll, and that one for the answer to the poll after it.
func TestLateEventsAnswerNoOtherPoll(t *testing.T) {
	for name, script := range map[string]struct {
		// first and second are written for the calls on the first connection; others get event 8.
		first, second string
		fails         bool
	}{
		"copy":        {first: eventsAnswer(7), second: eventsAnswer(7) + eventsAnswer(8), fails: true},
		"empty":       {first: eventsAnswer(), second: eventsAnswer() + eventsAnswer(8)},
		"surplus":     {first: eventsAnswer(7) + eventsAnswer(7), second: eventsAnswer(8)},
		"undecodable": {first: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n[", second: eventsAnswer(7) + eventsAnswer(8)},
		"rejected":    {first: "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n", second: eventsAnswer(7) + eventsAnswer(8)},
	} {
		t.Run(name, func(t *testing.T) {
			client := serveEvents(t, func(connection, call int) string {
				switch {
				case connection > 1:
					return eventsAnswer(8)
				case call == 1:
					return script.first
				default:
					return script.second
				}
			})
			_, _ = client.PollCacheEvents(t.Context(), 0, time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			if script.fails {
				_, err := client.PollCacheEvents(t.Context(), 7, time.Millisecond)
				assert.Equal(t, engine.ErrorProtocol, requireEngineError(t, err).Code)
			}
			events, err := client.PollCacheEvents(t.Context(), 7, time.Millisecond)
			require.NoError(t, err)
			require.Len(t, events.Events, 1)
			assert.EqualValues(t, 8, events.Events[0].Sequence)
		})
	}
}

// TestProvedEventsKeepTheirConnection guards against a connection for each poll.
func TestProvedEventsKeepTheirConnection(t *testing.T) {
	client := serveEvents(t, func(connection, call int) string { return eventsAnswer(uint64(100*connection + call)) })
	for after := uint64(100); after < 105; after++ {
		events, err := client.PollCacheEvents(t.Context(), after, time.Millisecond)
		require.NoError(t, err)
		assert.Equal(t, after+1, events.Events[0].Sequence)
	}
}
