package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/bodymemory"
	"github.com/tillerfall/tillerfall/internal/routes"
)

// takenMemory returns a budget of memory of which nothing is left.
func takenMemory() *bodymemory.Budget {
	memory := bodymemory.New(1)
	memory.TryAcquire(1)
	return memory
}

// randomReads reads random numbers of bytes.
type randomReads struct {
	io.Reader
	random *rand.Rand
}

func (r randomReads) Read(into []byte) (int, error) {
	return r.Reader.Read(into[:1+r.random.IntN(len(into))])
}

// longEvent returns an event of some 10 KB with an identifier at its beginning or end.
func longEvent(id, lineEnd string, isIDFirst bool) string {
	field, lines := "id: "+id+lineEnd, strings.Repeat("data: id: 9"+strings.Repeat("x", 1500)+lineEnd, 4)+"data: "+strings.Repeat("id: 8", 900)+lineEnd
	if isIDFirst {
		return field + lines + lineEnd
	}
	return lines + field + lineEnd
}

// TestEventInPartsIsAltered guards against bytes that are lost, repeated or held back, and against wrong identifiers,
// where events get no memory or lose it between two of them.
func TestEventInPartsIsAltered(t *testing.T) {
	parts := 0
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		lineEnd := []string{"\n", "\r\n"}[random.IntN(2)]
		var stream strings.Builder
		idAt := make(map[int]string) // by the end of the event
		for _, id := range []string{"1", "2", "3", "4", "5"} {
			if random.IntN(2) == 0 {
				stream.WriteString("id: " + id + lineEnd + "data: short" + lineEnd + lineEnd)
			} else {
				stream.WriteString(longEvent(id, lineEnd, random.IntN(2) == 0))
			}
			idAt[stream.Len()] = id
		}
		memory := bodymemory.New(int64(random.IntN(24 << 10)))
		memory.TryAcquire(1)
		relay := &eventRelay{response: randomReads{strings.NewReader(stream.String()), random}, buffer: eventBuffer{memory: memory}}
		var relayed strings.Builder
		lastID := ""
		require.NoError(t, relay.run(func(events []byte, isPart bool) error {
			relayed.Write(events)
			if isPart {
				parts++
				assert.Equal(t, lastID, relay.lastID, "seed %d: the identifier of an unfinished event counts", seed)
				return nil
			}
			require.Contains(t, idAt, relayed.Len(), "seed %d: not the end of an event", seed)
			lastID = idAt[relayed.Len()]
			assert.Equal(t, lastID, relay.lastID, "seed %d", seed)
			assert.True(t, relay.canContinue(), "seed %d", seed)
			return nil
		}))
		require.Equal(t, stream.String(), relayed.String(), "seed %d", seed)
		assert.EqualValues(t, 1, memory.Used(), "seed %d: memory is kept", seed)
	}
	assert.Greater(t, parts, 300)
}

// TestEndOfAPartHidesAnIdentifier guards against an identifier or the end of an event that is missed where a part ends
// in it.
func TestEndOfAPartHidesAnIdentifier(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n"} {
		rest := lineEnd + "id: 7" + lineEnd + lineEnd
		for before := range len(rest) + 2 {
			event := "data: " + strings.Repeat("x", freeBufferedBytes-len("data: ")-before) + rest
			relay, parts := &eventRelay{response: strings.NewReader(event), buffer: eventBuffer{memory: takenMemory()}}, []string(nil)
			require.NoError(t, relay.run(func(events []byte, isPart bool) error {
				assert.Equal(t, isPart, len(parts) == 0 && before < len(rest))
				parts = append(parts, string(events))
				return nil
			}))
			assert.Equal(t, event, strings.Join(parts, ""))
			assert.Equal(t, "7", relay.lastID, "%d bytes before the end of a part", before)
			assert.True(t, relay.canContinue())
		}
	}
}

// TestCutIdentifierCounts guards against a stream that continues elsewhere after an event whose identifier was too
// long to be seen whole, and so comes twice, and against one that doesn't after the next event.
func TestCutIdentifierCounts(t *testing.T) {
	for name, before := range map[string]string{"first line": "", "later line": "event: x\n"} {
		t.Run(name, func(t *testing.T) {
			first, second := before+"id: "+strings.Repeat("i", 9000)+"\n\n", "id: 2\n\n"
			relay := &eventRelay{
				response: io.MultiReader(strings.NewReader("id: 1\n\n"+first), strings.NewReader(second)),
				buffer:   eventBuffer{memory: takenMemory()},
			}
			relayed := 0
			require.NoError(t, relay.run(func(events []byte, isPart bool) error {
				relayed += len(events)
				switch relayed {
				case len("id: 1\n\n" + first):
					assert.False(t, relay.canContinue())
				case len("id: 1\n\n" + first + second):
					assert.True(t, relay.canContinue())
					assert.Equal(t, "2", relay.lastID)
				}
				return nil
			}))
			assert.Equal(t, len("id: 1\n\n"+first+second), relayed)
		})
	}
}

// TestLongIdentifierIsKept guards against a worker that decides how much memory its streams take, and how long the lines
// of the log are, by the identifiers of its events. Whether a stream can continue doesn't depend on the memory.
func TestLongIdentifierIsKept(t *testing.T) {
	for name, memory := range map[string]*bodymemory.Budget{"no memory": takenMemory(), "memory": bodymemory.New(0)} {
		for _, size := range []int{maxEventIDBytes, maxEventIDBytes + 1, 100 << 10} {
			t.Run(fmt.Sprint(name, ", ", size), func(t *testing.T) {
				isKept := size <= maxEventIDBytes
				relay := &eventRelay{response: strings.NewReader("id: " + strings.Repeat("i", size) + "\n\n"), buffer: eventBuffer{memory: memory}}
				require.NoError(t, relay.run(func([]byte, bool) error { return nil }))
				assert.Equal(t, isKept, relay.canContinue())
				assert.Equal(t, isKept, len(relay.lastID) == size)
				assert.LessOrEqual(t, len(relay.lastID), maxEventIDBytes)
			})
		}
	}
}

// TestEndWithinEventInPartsIsRegular guards against a stream cut within an event that counts as whole, since all of what
// came has been passed on.
func TestEndWithinEventInPartsIsRegular(t *testing.T) {
	for _, size := range []int{3500, 4096, 5000, 8192, 20000} {
		relay := &eventRelay{response: strings.NewReader("id: 1\n\n" + strings.Repeat("x", size)), buffer: eventBuffer{memory: takenMemory()}}
		require.ErrorIs(t, relay.run(func([]byte, bool) error { return nil }), errPartialEvent, "%d bytes", size)
		assert.False(t, relay.endArrived.Load())
		assert.Equal(t, "1", relay.lastID)
	}
}

// TestEventInPartsIsEndless guards against an event whose length has no bound, since none of it is kept.
func TestEventInPartsIsEndless(t *testing.T) {
	for name, memory := range map[string]*bodymemory.Budget{"no memory": takenMemory(), "memory": bodymemory.New(0)} {
		t.Run(name, func(t *testing.T) {
			passed := 0
			relay := &eventRelay{response: strings.NewReader(strings.Repeat("x", 2*maxEventBytes)), buffer: eventBuffer{memory: memory}}
			require.ErrorIs(t, relay.run(func(events []byte, _ bool) error {
				passed += len(events)
				return nil
			}), errEventTooLong)
			assert.LessOrEqual(t, passed, maxEventBytes)
		})
	}
}

// TestMemoryOfAnEndedStreamIsKept guards against memory that isn't returned at some end of a stream, or once a long
// event has been passed on.
func TestMemoryOfAnEndedStreamIsKept(t *testing.T) {
	long := strings.Repeat("x", 20<<10)
	errFailed := errors.New("failed")
	for name, test := range map[string]struct {
		stream io.Reader
		relay  error
		end    error
	}{
		"regular end":            {strings.NewReader(long + "\n\n"), nil, nil},
		"end within an event":    {strings.NewReader(long), nil, errPartialEvent},
		"connection broke":       {io.MultiReader(strings.NewReader(long), iotest.ErrReader(errFailed)), nil, errFailed},
		"caller gone":            {strings.NewReader(long + "\n\n"), errFailed, errFailed},
		"event too long":         {strings.NewReader(strings.Repeat(long, 20)), nil, errEventTooLong},
		"regular end, many more": {strings.NewReader(strings.Repeat(long+"\n\n", 20)), nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			memory, most := bodymemory.New(1<<20), int64(0)
			relay := &eventRelay{response: test.stream, buffer: eventBuffer{memory: memory}}
			require.ErrorIs(t, relay.run(func([]byte, bool) error {
				most = max(most, memory.Used())
				return test.relay
			}), test.end)
			assert.Zero(t, memory.Used())
			assert.LessOrEqual(t, most, int64(64<<10))
		})
	}
	t.Run("after the event", func(t *testing.T) {
		memory := bodymemory.New(1 << 20)
		relay := &eventRelay{buffer: eventBuffer{memory: memory}, response: io.MultiReader(strings.NewReader(long+"\n\n"), strings.NewReader("id: 2\n\n"))}
		var used []int64
		require.NoError(t, relay.run(func([]byte, bool) error {
			used = append(used, memory.Used())
			return nil
		}))
		require.Len(t, used, 2)
		assert.Positive(t, used[0])
		assert.Zero(t, used[1])
	})
}

// TestHeldStreamTakesMemoryOfOthers guards against a held stream that reads on without memory, or that passes anything
// on, and against bytes lost by that.
func TestHeldStreamTakesMemoryOfOthers(t *testing.T) {
	for name, isReplaced := range map[string]bool{"released": false, "replaced": true} {
		t.Run(name, func(t *testing.T) {
			memory := takenMemory()
			near, far := io.Pipe()
			relayed, ended := make(chan string, 100), make(chan error, 1)
			relay := &eventRelay{response: near, buffer: eventBuffer{memory: memory}, closeConnection: func() { _ = near.Close() }}
			go func() {
				ended <- relay.run(func(events []byte, _ bool) error {
					relayed <- string(events)
					return nil
				})
			}()
			require.True(t, relay.hold())
			stream, written := "id: 1\ndata: "+strings.Repeat("x", 50<<10)+"\n\nid: 2\n\n", make(chan struct{})
			go func() {
				defer close(written)
				_, _ = io.WriteString(far, stream)
				_ = far.Close()
			}()
			require.Eventually(t, relay.waiting.Load, time.Second, time.Millisecond)
			select {
			case <-written:
				assert.Fail(t, "all was read")
			case <-time.After(50 * time.Millisecond):
			}
			assert.Empty(t, relayed)
			assert.EqualValues(t, 1, memory.Used())
			if isReplaced {
				relay.replace()
				require.ErrorIs(t, <-ended, errReplaced)
				assert.Empty(t, relayed)
				return
			}
			relay.release()
			require.NoError(t, <-ended)
			close(relayed)
			all := ""
			for part := range relayed {
				all += part
			}
			assert.Equal(t, stream, all)
		})
	}
}

// TestMemoryOfAReplacedStreamIsKept guards against memory that a held stream took and that isn't returned once another
// engine has taken the stream over.
func TestMemoryOfAReplacedStreamIsKept(t *testing.T) {
	memory := bodymemory.New(1 << 20)
	near, far := io.Pipe()
	held := &eventRelay{response: near, buffer: eventBuffer{memory: memory}, closeConnection: func() { _ = near.Close() }}
	ended := make(chan error, 1)
	go func() { ended <- held.run(func([]byte, bool) error { return nil }) }()
	require.True(t, held.hold())
	_, err := io.WriteString(far, strings.Repeat("x", 20<<10))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return memory.Used() > 0 }, time.Second, time.Millisecond)
	held.replace()
	require.ErrorIs(t, <-ended, errReplaced)
	assert.Zero(t, memory.Used())
}

// TestStreamMovesWithinAnEvent guards against a stream that is held within an event of which the caller has a part, and
// against one that isn't after that event.
func TestStreamMovesWithinAnEvent(t *testing.T) {
	near, far := io.Pipe()
	defer func() { _ = far.Close() }()
	relayed := make(chan string, 100)
	relay := &eventRelay{response: near, buffer: eventBuffer{memory: takenMemory()}, closeConnection: func() { _ = near.Close() }}
	go func() {
		_ = relay.run(func(events []byte, _ bool) error {
			relayed <- string(events)
			return nil
		})
	}()
	isQuiet := func() bool { return !relay.waiting.Load() }
	_, _ = io.WriteString(far, "id: 1\ndata: "+strings.Repeat("x", freeBufferedBytes-len("id: 1\ndata: ")))
	<-relayed
	require.Eventually(t, isQuiet, time.Second, time.Millisecond)
	require.False(t, relay.hold())
	_, _ = io.WriteString(far, "\n\n")
	<-relayed
	require.Eventually(t, isQuiet, time.Second, time.Millisecond)
	require.True(t, relay.hold())
	assert.Equal(t, "1", relay.lastID)
	relay.release()
}

// cutStream returns a stream of a resumable route, and the result of its relay, of which the connection broke after an
// event and some bytes of the next one.
func cutStream(t *testing.T, g *Gateway, current *callerRequest, rest string) (*openStream, error) {
	g.workers.Observe(1, backends.Worker{ID: "dark", Service: "app", Slots: 1})
	placement, _ := g.workers.Choose(g.now(), &backends.Request{Service: "app"})
	require.NotNil(t, placement)
	r := newRelayTest(t)
	relay := &eventRelay{
		response: io.MultiReader(strings.NewReader("id: 1\n\n"+rest), iotest.ErrReader(io.ErrUnexpectedEOF)), buffer: eventBuffer{memory: takenMemory()},
	}
	send := &openSend{placement: placement, response: r.response, cancel: func(error) {}}
	current.attempts.Answered(g.now(), placement.Worker.Run(), false)
	err := relay.run(func(events []byte, _ bool) error {
		return g.writeEvents(current, send.response, events)
	})
	return &openStream{send: send, relay: relay}, err
}

// TestStreamIsResumedWithinAnEvent guards against a stream that continues at another worker although the caller has a
// part of an event, which then comes twice or is joined with another run's.
func TestStreamIsResumedWithinAnEvent(t *testing.T) {
	for name, test := range map[string]struct {
		rest string
		step attempt.StepKind
	}{
		"after an event":             {"", attempt.StepSend},
		"within an event not passed": {"id: 2\ndata: a", attempt.StepSend},
		"within an event in parts":   {"id: 2\ndata: " + strings.Repeat("x", 9000), attempt.StepAbort},
		"after an event in parts":    {"id: 2\ndata: " + strings.Repeat("x", 9000) + "\n\n", attempt.StepSend},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t)
			earnRetries(g, "app")
			policy := attempt.ForwardingPolicy{Resumable: true, MaxRuns: 3, Deadline: time.Hour}
			current := &callerRequest{
				request: httptest.NewRequest("POST", "/", nil), writer: httptest.NewRecorder(), service: &routes.Service{Name: "app"},
				route:    &routes.Route{Kind: routes.Streaming, Resumable: true},
				attempts: attempt.NewForwarding(0, policy, attempt.NewBudget(attempt.BudgetOptions{})),
			}
			stream, err := cutStream(t, g, current, test.rest)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			assert.Equal(t, test.step, g.finishStream(context.Background(), current, stream, err).Kind)
			if test.rest != "" && strings.HasSuffix(test.rest, "\n\n") {
				assert.Equal(t, "2", current.lastEventID)
			} else {
				assert.Equal(t, "1", current.lastEventID)
			}
		})
	}
}

// TestMovedRequestGetsAPart guards against a part of an event that reaches the caller after its request was sent to
// another engine, and against a move without asking the relay after a part.
func TestMovedRequestGetsAPart(t *testing.T) {
	g := newTestGateway(t)
	g.workers.Observe(1, backends.Worker{ID: "dark", Service: "app", Slots: 2})
	placement, _ := g.workers.Choose(g.now(), &backends.Request{Service: "app"})
	require.NotNil(t, placement)
	current := &callerRequest{}
	moved, _ := watchTestSend(g, "dark")
	moved.moved.Store(true)
	require.ErrorIs(t, g.observePart(current, &openSend{placement: placement, watched: moved}, true), errEngineSilent)
	stays, _ := watchTestSend(g, "dark")
	require.NoError(t, g.observePart(current, &openSend{placement: placement, watched: stays}, true))
	stays.move()
	assert.False(t, stays.isMoved(), "cancelled after a part")
}
