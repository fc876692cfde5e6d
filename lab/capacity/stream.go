package capacity

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/openai"
)

// tokenText has about the length of an average token.
const tokenText = "tok "

// maxLineBytes is the maximum length of a line in an engine's stream.
const maxLineBytes = 64 << 10

// discardWriter is a response writer that discards its output without system calls.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header              { return w.header }
func (w *discardWriter) Write(data []byte) (int, error)   { return len(data), nil }
func (w *discardWriter) WriteHeader(int)                  {}
func (w *discardWriter) Flush()                           {}
func (w *discardWriter) SetWriteDeadline(time.Time) error { return nil }

// newDispatchedMachine returns an attempt machine whose dispatch is in flight, and that dispatch.
func newDispatchedMachine(random *rand.Rand, budget attempt.RetryBudget) (*attempt.Machine, attempt.Dispatch, error) {
	machine := attempt.New(attempt.Request{ID: "measured", Repeatable: true}, attempt.Policy{}, budget, random)
	for _, action := range machine.Start(0) {
		ask, isAsk := action.(attempt.RequestPlacement)
		if !isAsk {
			continue
		}
		granted := attempt.Granted{Operation: ask.Operation, Attempt: ask.Attempt, Run: engineRun("measured"), Address: "127.0.0.1:1"}
		for _, next := range machine.Handle(0, granted) {
			if dispatch, isDispatch := next.(attempt.Dispatch); isDispatch {
				return machine, dispatch, nil
			}
		}
	}
	return nil, attempt.Dispatch{}, errors.New("attempt machine did not dispatch after a grant")
}

// encodedStream returns a complete stream as an engine sends it.
func encodedStream(stream fleet.StreamID, tokens int) ([]byte, error) {
	var encoded bytes.Buffer
	frames := []engine.Frame{{Kind: engine.FrameAccepted, Stream: stream, PromptTokens: 1}}
	for index := range tokens {
		frames = append(frames, engine.Frame{Kind: engine.FrameToken, Stream: stream, Index: index, Text: tokenText})
	}
	frames = append(frames, engine.Frame{Kind: engine.FrameDone, Stream: stream, Count: tokens, FinishReason: "stop", PromptTokens: 1})
	for _, frame := range frames {
		if err := engine.WriteFrame(&encoded, frame); err != nil {
			return nil, err
		}
	}
	return encoded.Bytes(), nil
}

// relayStream relays one encoded stream as an agent does, to a caller that never blocks.
func relayStream(machine *attempt.Machine, dispatch attempt.Dispatch, encoded []byte) error {
	decoder := engine.NewFrameDecoder(bytes.NewReader(encoded), maxLineBytes)
	writer := openai.NewStreamWriter(&discardWriter{header: http.Header{}}, openai.Response{RequestID: "measured", Model: "model-00"})
	for {
		frame, err := decoder.Decode()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		for _, action := range machine.Handle(0, attempt.FrameReceived{Operation: dispatch.Operation, Frame: frame}) {
			if token, isToken := action.(attempt.EmitToken); isToken {
				if err := writer.Token(token.Text); err != nil {
					return err
				}
			}
		}
	}
	if machine.Phase() != attempt.PhaseFinished {
		return errors.Errorf("attempt machine is in phase %s after the end of the stream", machine.Phase())
	}
	return nil
}

// streamTime returns the processor time in microseconds to relay a stream of tokens: decode it, run
// it through the attempt machine and encode it for the caller.
func streamTime(o Options, tokens int) (float64, error) {
	random := rand.New(rand.NewPCG(o.Seed, 3))
	budget := attempt.NewBudget(attempt.BudgetOptions{})
	var failed error
	var encoded []byte
	used := processorTimeOf(o.Sizes.ProcessorTime, func(int) {
		machine, dispatch, err := newDispatchedMachine(random, budget)
		if err == nil && encoded == nil {
			encoded, err = encodedStream(dispatch.Stream, tokens)
		}
		if err == nil {
			err = relayStream(machine, dispatch, encoded)
		}
		if err != nil && failed == nil {
			failed = err
		}
	})
	return microseconds(used), failed
}

// openStreams holds the attempt machines and connections of open streams.
type openStreams struct {
	machines  []*attempt.Machine
	decoders  []*engine.FrameDecoder
	responses []*http.Response
	server    *http.Server
	release   chan struct{}
}

// stop closes the streams and their server.
func (s *openStreams) stop() {
	close(s.release)
	for _, response := range s.responses {
		_ = response.Body.Close()
	}
	_ = s.server.Close()
}

// newOpenStreams opens streams in this process, each with the client and the server end of an HTTP
// connection. They correspond to an agent's connections to the engine and to the caller.
func newOpenStreams(o Options, count int) (*openStreams, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	streams := &openStreams{release: make(chan struct{})}
	streams.server = &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(writer).Flush()
		<-streams.release
	})}
	go func() { _ = streams.server.Serve(listener) }()
	client := &http.Client{Transport: &http.Transport{}}
	random := rand.New(rand.NewPCG(o.Seed, 4))
	budget := attempt.NewBudget(attempt.BudgetOptions{})
	for range count {
		machine, _, err := newDispatchedMachine(random, budget)
		if err != nil {
			return streams, err
		}
		response, err := client.Get(fmt.Sprintf("http://%s/", listener.Addr()))
		if err != nil {
			return streams, err
		}
		streams.machines = append(streams.machines, machine)
		streams.responses = append(streams.responses, response)
		streams.decoders = append(streams.decoders, engine.NewFrameDecoder(response.Body, maxLineBytes))
	}
	return streams, nil
}

// streamMemory returns the memory in bytes of count open streams.
func streamMemory(o Options, count int) (float64, error) {
	var opened *openStreams
	bytes, err := memoryOf(func() (any, error) {
		var err error
		opened, err = newOpenStreams(o, count)
		return opened, err
	})
	if opened != nil {
		opened.stop()
	}
	return bytes, err
}

// measureStreams measures an agent's processor time per token and memory per open stream.
func measureStreams(o Options) ([]Slope, error) {
	return sweepAll(
		quantity{
			name: "stream carried: decode, machine, encode; no sockets", size: "tokens", unit: "core-µs", growth: GrowthLinear, sizes: o.Sizes.Tokens,
			measure: func(tokens int) (float64, error) { return streamTime(o, tokens) },
		},
		quantity{
			name: "memory at an agent: open streams, machine and both connections", size: "streams", unit: "B", growth: GrowthLinear, sizes: o.Sizes.Streams,
			measure: func(count int) (float64, error) { return streamMemory(o, count) },
		},
	)
}
