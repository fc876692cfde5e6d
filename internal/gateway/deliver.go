package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/quarantine"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

// copyBufferBytes is the size of the buffer through which longer responses are copied.
const copyBufferBytes = 16 << 10

// errCallerWrite means that writing to the caller failed.
var errCallerWrite = errors.New("caller's connection failed")

// deliver relays a worker's response to the caller.
func (g *Gateway) deliver(ctx context.Context, current *callerRequest, send *openSend) attempt.Step {
	placement, response := send.placement, send.response
	if isEventStream(current, response) {
		return g.deliverStream(ctx, current, send)
	}
	if current.headSent {
		// The worker answered the resumption of a stream with something else.
		g.recordOutcome(current, placement, backends.Lost, "resumption answered with status "+strconv.Itoa(response.Status))
		return current.attempts.Unanswered(g.now(), placement.Worker.Run())
	}
	buffer := answerBuffer{memory: g.answers}
	defer buffer.release()
	content, complete, err := buffer.read(response)
	if err == nil && complete {
		err = g.confirmEnd(ctx, current, placement, response)
	}
	if err != nil && current.watched.isMoved() && ctx.Err() == nil {
		return g.abandonSilent(current, placement, true)
	}
	placement.FirstByte(g.now())
	// The rest of the body can't be sent again.
	g.unwatchSend(current.watched)
	if err != nil {
		return g.handleBodyError(ctx, current, placement, err)
	}
	failed := response.Status >= http.StatusInternalServerError
	step := current.attempts.Answered(g.now(), placement.Worker.Run(), failed)
	if step.Kind != attempt.StepDeliver {
		g.recordOutcome(current, placement, backends.Failed, "status "+strconv.Itoa(response.Status))
		return step
	}
	g.sendHead(current, response, responseLength(current, response, content, complete))
	_, writeErr := current.writer.Write(content)
	if writeErr == nil && !complete {
		writeErr = copyRemaining(current.writer, response)
		if writeErr == nil {
			writeErr = g.confirmEnd(ctx, current, placement, response)
		}
	}
	if writeErr == nil && response.EndsWithConnection {
		// Without it, net/http would add a length to a short body.
		writeErr = flushToCaller(current)
	}
	switch {
	case writeErr == nil && failed:
		g.recordOutcome(current, placement, backends.Failed, "status "+strconv.Itoa(response.Status))
	case writeErr == nil:
		g.recordOutcome(current, placement, backends.Succeeded, "")
	case errors.Is(writeErr, errCallerWrite):
		g.recordLostRun(current, placement, quarantine.Abandoned)
		g.recordOutcome(current, placement, backends.Cancelled, writeErr.Error())
		return attempt.Step{Kind: attempt.StepAbort}
	default:
		g.recordLostRun(current, placement, lossOf(ctx))
		g.recordOutcome(current, placement, backends.Lost, writeErr.Error())
		return attempt.Step{Kind: attempt.StepAbort}
	}
	return step
}

// responseLength returns the length that the caller is told of a response's body. One that ends with its
// connection has none.
func responseLength(current *callerRequest, response *upstream.Response, content []byte, complete bool) int64 {
	if complete && current.request.Method != http.MethodHead && !response.EndsWithConnection {
		return int64(len(content))
	}
	return response.ContentLength
}

// flushToCaller sends what was written to the caller.
func flushToCaller(current *callerRequest) error {
	if err := http.NewResponseController(current.writer).Flush(); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	return nil
}

func isEventStream(current *callerRequest, response *upstream.Response) bool {
	return current.route.Kind == routes.Streaming && response.Status == http.StatusOK &&
		strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// handleBodyError returns the next step after a response broke off before any of it was relayed.
func (g *Gateway) handleBodyError(ctx context.Context, current *callerRequest, placement *backends.Placement, err error) attempt.Step {
	g.recordLostRun(current, placement, lossOf(ctx))
	if current.isCallerGone() {
		g.recordOutcome(current, placement, backends.Cancelled, errCallerGone.Error())
		return attempt.Step{Kind: attempt.StepAbort}
	}
	g.recordOutcome(current, placement, backends.Lost, "body: "+err.Error())
	if ctx.Err() != nil {
		return current.attempts.TimedOut()
	}
	return current.attempts.Unanswered(g.now(), placement.Worker.Run())
}

// copyRemaining copies the rest of a response. A failed write returns errCallerWrite; any other
// error is the worker's.
func copyRemaining(writer io.Writer, response *upstream.Response) error {
	buffer := make([]byte, copyBufferBytes)
	for {
		count, err := response.Read(buffer)
		if count > 0 {
			if _, writeErr := writer.Write(buffer[:count]); writeErr != nil {
				return errors.Wrap(errCallerWrite, writeErr.Error())
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// unknownLength is the length of a response whose size is not known in advance.
const unknownLength = -1

// sendHead writes the head of a worker's response. length is that of the body in bytes, or
// unknownLength.
func (g *Gateway) sendHead(current *callerRequest, response *upstream.Response, length int64) {
	header := current.writer.Header()
	copyResponseHeader(header, response.Header)
	g.closeAfterResponse(header)
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	current.attempts.DeliveryStarted()
	current.headSent = true
	current.status = response.Status
	current.result = resultcode.OK
	current.firstByteAt = g.now()
	current.writer.WriteHeader(response.Status)
}
