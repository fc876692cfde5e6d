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

// maxBufferedBytes is the size up to which an answer is read completely before its head is sent to
// the caller. Until then an answer that breaks off can be retried.
const maxBufferedBytes = 64 << 10

// copyBufferBytes is the size of the buffer through which longer answers are copied.
const copyBufferBytes = 16 << 10

// errCallerWrite means that writing to the caller failed.
var errCallerWrite = errors.New("caller's connection failed")

// deliver relays a worker's answer to the caller.
func (g *Gateway) deliver(ctx context.Context, current *callerRequest, placement *backends.Placement, answer *upstream.Response) attempt.Step {
	if isEventStream(current, answer) {
		return g.deliverStream(ctx, current, placement, answer)
	}
	if current.headSent {
		// The worker answered the resumption of a stream with something else.
		g.recordOutcome(current, placement, backends.Lost, "resumption answered with status "+strconv.Itoa(answer.Status))
		return current.attempts.Unanswered(g.now(), placement.Worker.Run())
	}
	content, complete, err := bufferResponse(answer)
	placement.FirstByte(g.now())
	if err != nil {
		return g.handleBodyError(ctx, current, placement, err)
	}
	failed := answer.Status >= http.StatusInternalServerError
	step := current.attempts.Answered(g.now(), placement.Worker.Run(), failed)
	if step.Kind != attempt.StepDeliver {
		g.recordOutcome(current, placement, backends.Failed, "status "+strconv.Itoa(answer.Status))
		return step
	}
	length := answer.ContentLength
	if complete && current.request.Method != http.MethodHead {
		length = int64(len(content))
	}
	g.sendHead(current, answer, length)
	_, writeErr := current.writer.Write(content)
	if writeErr == nil && !complete {
		writeErr = copyRemaining(current.writer, answer)
	}
	switch {
	case writeErr == nil && failed:
		g.recordOutcome(current, placement, backends.Failed, "status "+strconv.Itoa(answer.Status))
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

func isEventStream(current *callerRequest, answer *upstream.Response) bool {
	return current.route.Kind == routes.Streaming && answer.Status == http.StatusOK &&
		strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream")
}

// handleBodyError returns the next step after an answer broke off before any of it was relayed.
func (g *Gateway) handleBodyError(ctx context.Context, current *callerRequest, placement *backends.Placement, err error) attempt.Step {
	g.recordLostRun(current, placement, lossOf(ctx))
	if current.isCallerGone() {
		g.recordOutcome(current, placement, backends.Cancelled, "caller gone")
		return attempt.Step{Kind: attempt.StepAbort}
	}
	g.recordOutcome(current, placement, backends.Lost, "body: "+err.Error())
	if ctx.Err() != nil {
		return current.attempts.TimedOut()
	}
	return current.attempts.Unanswered(g.now(), placement.Worker.Run())
}

// bufferResponse reads an answer up to maxBufferedBytes. complete is false if more may follow.
func bufferResponse(answer *upstream.Response) (content []byte, complete bool, err error) {
	if answer.ContentLength >= 0 && answer.ContentLength <= maxBufferedBytes {
		content = make([]byte, 0, answer.ContentLength+1)
	}
	for len(content) < maxBufferedBytes {
		if len(content) == cap(content) {
			content = append(content, 0)[:len(content)]
		}
		end := min(cap(content), maxBufferedBytes)
		count, err := answer.Read(content[len(content):end])
		content = content[:len(content)+count]
		if err == io.EOF {
			return content, true, nil
		}
		if err != nil {
			return content, false, err
		}
	}
	return content, false, nil
}

// copyRemaining copies the rest of an answer. A failed write returns errCallerWrite; any other
// error is the worker's.
func copyRemaining(writer io.Writer, answer *upstream.Response) error {
	buffer := make([]byte, copyBufferBytes)
	for {
		count, err := answer.Read(buffer)
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

// unknownLength is the length of an answer whose size is not known in advance.
const unknownLength = -1

// sendHead writes the head of a worker's answer. length is that of the body in bytes, or
// unknownLength.
func (g *Gateway) sendHead(current *callerRequest, answer *upstream.Response, length int64) {
	header := current.writer.Header()
	copyResponseHeader(header, answer.Header)
	g.closeAfterResponse(header)
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	current.attempts.DeliveryStarted()
	current.headSent = true
	current.status = answer.Status
	current.result = resultcode.OK
	current.firstByteAt = g.now()
	current.writer.WriteHeader(answer.Status)
}
