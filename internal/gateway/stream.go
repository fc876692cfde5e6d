package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/quarantine"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 256 << 10

// errPartialEvent means that a stream ended within an event.
var errPartialEvent = errors.New("stream ended within an event")

// deliverStream passes the events of a stream on, each as it comes and only
// whole. A stream that breaks off may go on at another worker.
func (g *Gateway) deliverStream(ctx context.Context, current *carried, placement *backends.Placement, answer *upstream.Answer) attempt.Step {
	run := placement.Worker.Run()
	step := current.machine.Answered(g.now(), run, false)
	if step.Kind != attempt.StepDeliver {
		g.ended(current, placement, backends.Failed, "not delivered")
		return step
	}
	relay := &eventRelay{answer: answer, lastID: current.lastEventID}
	err := relay.run(func(events []byte) error {
		placement.FirstByte(g.now())
		return g.writeEvents(current, answer, events)
	})
	current.lastEventID = relay.lastID
	switch {
	case err == nil && current.headSent:
		g.ended(current, placement, backends.Succeeded, "")
		return step
	case err == nil:
		// A stream without events is passed on as it is.
		g.sendHead(current, answer, 0)
		g.ended(current, placement, backends.Succeeded, "")
		return step
	case current.callerGone() || errors.Is(err, errCallerWrite):
		g.noteLostRun(current, placement, quarantine.Abandoned)
		g.ended(current, placement, backends.Cancelled, "caller gone")
		return attempt.Step{Kind: attempt.StepBreak}
	case ctx.Err() != nil:
		g.noteLostRun(current, placement, quarantine.Abandoned)
		g.ended(current, placement, backends.Lost, "deadline passed")
		return current.machine.Expired()
	default:
		g.noteLostRun(current, placement, quarantine.ConnectionBroken)
		g.ended(current, placement, backends.Lost, "stream: "+err.Error())
		answer.Close()
		return current.machine.Broken(g.now(), run, current.keepsCopy(placement))
	}
}

// writeEvents passes whole events on at once.
func (g *Gateway) writeEvents(current *carried, answer *upstream.Answer, events []byte) error {
	if !current.headSent {
		g.sendHead(current, answer, unknownLength)
	}
	now := g.now()
	current.events += bytes.Count(events, []byte("\n\n"))
	if current.lastEvent > 0 {
		current.longestGap = max(current.longestGap, now-current.lastEvent)
	}
	current.lastEvent = now
	if _, err := current.writer.Write(events); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	if err := http.NewResponseController(current.writer).Flush(); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	return nil
}

// eventRelay reads a stream of events and passes whole ones on.
type eventRelay struct {
	answer *upstream.Answer
	// lastID is the identifier of the last event passed on.
	lastID string
	buffer []byte
}

// run reads until the stream's end; nil means that it ended well.
func (r *eventRelay) run(pass func(events []byte) error) error {
	const chunk = 4 << 10
	for {
		if cap(r.buffer)-len(r.buffer) < chunk/4 {
			grown := make([]byte, len(r.buffer), len(r.buffer)+chunk)
			copy(grown, r.buffer)
			r.buffer = grown
		}
		count, err := r.answer.Read(r.buffer[len(r.buffer):cap(r.buffer)])
		r.buffer = r.buffer[:len(r.buffer)+count]
		if passErr := r.passWhole(pass); passErr != nil {
			return passErr
		}
		switch {
		case err == io.EOF && len(bytes.TrimSpace(r.buffer)) > 0:
			return errPartialEvent
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case len(r.buffer) > maxEvent:
			return errors.New("event too long")
		}
	}
}

// passWhole passes the whole events in the buffer on.
func (r *eventRelay) passWhole(pass func(events []byte) error) error {
	end := lastEventEnd(r.buffer)
	if end == 0 {
		return nil
	}
	events := r.buffer[:end]
	if id, found := lastID(events); found {
		r.lastID = id
	}
	if err := pass(events); err != nil {
		return err
	}
	r.buffer = append(r.buffer[:0], r.buffer[end:]...)
	return nil
}

// lastEventEnd returns the end of the last whole event: a blank line ends one.
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

// lastID returns the last event identifier in whole events.
func lastID(events []byte) (string, bool) {
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
