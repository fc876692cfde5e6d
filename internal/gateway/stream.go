package gateway

import (
	"bytes"
	"context"
	"io"
	"strings"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/quarantine"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 256 << 10

// errPartialEvent means that a stream ended within an event.
var errPartialEvent = errors.New("stream ended within an event")

// deliverStream relays the complete events of a stream as they arrive. A stream that breaks off may
// be resumed at another worker.
func (g *Gateway) deliverStream(ctx context.Context, current *callerRequest, placement *backends.Placement, response *upstream.Response) attempt.Step {
	run := placement.Worker.Run()
	step := current.attempts.Answered(g.now(), run, false)
	if step.Kind != attempt.StepDeliver {
		g.recordOutcome(current, placement, backends.Failed, "not delivered")
		return step
	}
	relay := &eventRelay{response: response, lastID: current.lastEventID}
	err := relay.run(func(events []byte) error {
		placement.FirstByte(g.now())
		if current.origin.IsAny() {
			g.beginStream(ctx, current, placement)
		}
		g.observeEvent(current.watched, relay.lastID != "")
		return g.writeEvents(current, response, events)
	})
	if err == nil {
		err = g.confirmEnd(ctx, current, placement, response)
	}
	current.lastEventID = relay.lastID
	switch {
	case err == nil && current.headSent:
		g.recordOutcome(current, placement, backends.Succeeded, "")
		return step
	case err == nil:
		// A stream without events is passed on as an empty body.
		g.sendHead(current, response, 0)
		g.recordOutcome(current, placement, backends.Succeeded, "")
		return step
	case current.isCallerGone() || errors.Is(err, errCallerWrite):
		g.recordLostRun(current, placement, quarantine.Abandoned)
		g.recordOutcome(current, placement, backends.Cancelled, errCallerGone.Error())
		return attempt.Step{Kind: attempt.StepAbort}
	case ctx.Err() != nil:
		g.recordLostRun(current, placement, quarantine.Abandoned)
		g.recordOutcome(current, placement, backends.Lost, "deadline passed")
		return current.attempts.Expired()
	case current.watched.isMoved():
		response.Close()
		return g.abandonSilentStream(current, placement)
	default:
		g.recordLostRun(current, placement, quarantine.ConnectionBroken)
		g.recordOutcome(current, placement, backends.Lost, "stream: "+err.Error())
		response.Close()
		return current.attempts.Truncated(g.now(), run, current.rememberCopy(placement))
	}
}

// writeEvents writes complete events to the caller and flushes them.
func (g *Gateway) writeEvents(current *callerRequest, response *upstream.Response, events []byte) error {
	if !current.headSent {
		g.sendHead(current, response, unknownLength)
	}
	now := g.now()
	current.eventCount += bytes.Count(events, []byte("\n\n"))
	if current.lastEventAt > 0 {
		current.longestEventGap = max(current.longestEventGap, now-current.lastEventAt)
	}
	current.lastEventAt = now
	if _, err := current.writer.Write(events); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	return flushToCaller(current)
}

// eventRelay reads a stream of events and relays complete ones.
type eventRelay struct {
	response *upstream.Response
	// lastID is the identifier of the last relayed event.
	lastID string
	buffer []byte
	// scanned is the number of bytes at the beginning of buffer within which no event ends.
	scanned int
}

// run reads until the end of the stream and calls relay with complete events. It returns nil if the
// stream ended at the end of an event.
func (r *eventRelay) run(relay func(events []byte) error) error {
	const chunk = 4 << 10
	for {
		if cap(r.buffer)-len(r.buffer) < chunk/4 {
			grown := make([]byte, len(r.buffer), len(r.buffer)+max(chunk, len(r.buffer)/2))
			copy(grown, r.buffer)
			r.buffer = grown
		}
		count, err := r.response.Read(r.buffer[len(r.buffer):cap(r.buffer)])
		r.buffer = r.buffer[:len(r.buffer)+count]
		if relayErr := r.relayCompleteEvents(relay); relayErr != nil {
			return relayErr
		}
		switch {
		case err == io.EOF && len(bytes.TrimSpace(r.buffer)) > 0:
			return errPartialEvent
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case len(r.buffer) > maxEventBytes:
			return errors.New("event exceeds the size limit")
		}
	}
}

// relayCompleteEvents relays the complete events in the buffer and removes them from it.
func (r *eventRelay) relayCompleteEvents(relay func(events []byte) error) error {
	// The end of an event may have begun in the bytes before.
	from := max(r.scanned-len("\n\r"), 0)
	r.scanned = len(r.buffer)
	end := lastEventEnd(r.buffer[from:])
	if end == 0 {
		return nil
	}
	end += from
	events := r.buffer[:end]
	if id, found := findLastEventID(events); found {
		r.lastID = id
	}
	if err := relay(events); err != nil {
		return err
	}
	r.buffer = append(r.buffer[:0], r.buffer[end:]...)
	r.scanned = len(r.buffer)
	return nil
}

// lastEventEnd returns the end of the last complete event in the buffer, 0 if there is none. A
// blank line ends an event.
func lastEventEnd(buffer []byte) int {
	end := 0
	if at := bytes.LastIndex(buffer, []byte("\n\n")); at >= 0 {
		end = at + len("\n\n")
	}
	if at := bytes.LastIndex(buffer, []byte("\n\r\n")); at >= 0 {
		end = max(end, at+len("\n\r\n"))
	}
	return end
}

// findLastEventID returns the last event identifier in complete events.
func findLastEventID(events []byte) (string, bool) {
	const field = "id:"
	at := bytes.LastIndex(events, []byte("\n"+field))
	start := at + 1
	if at < 0 {
		if !bytes.HasPrefix(events, []byte(field)) {
			return "", false
		}
		start = 0
	}
	line, _, _ := bytes.Cut(events[start+len(field):], []byte("\n"))
	return strings.TrimSpace(string(line)), true
}
