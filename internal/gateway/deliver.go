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

// wholeLimit is the size up to which an answer is read whole before its head
// goes to the caller, so that one that breaks off can still be tried again or
// told from a complete one.
const wholeLimit = 64 << 10

// copyBuffer is the size of the buffer through which longer answers go.
const copyBuffer = 16 << 10

// errCallerWrite means that the caller's connection failed.
var errCallerWrite = errors.New("caller's connection failed")

// deliver passes a worker's answer on.
func (g *Gateway) deliver(ctx context.Context, current *carried, placement *backends.Placement, answer *upstream.Response) attempt.Step {
	if isEventStream(current, answer) {
		return g.deliverStream(ctx, current, placement, answer)
	}
	if current.headSent {
		// A resumed stream was answered by something else.
		g.ended(current, placement, backends.Lost, "resumed by status "+strconv.Itoa(answer.Status))
		return current.machine.Unanswered(g.now(), placement.Worker.Run())
	}
	content, whole, err := readWhole(answer)
	placement.FirstByte(g.now())
	if err != nil {
		return g.brokenBody(ctx, current, placement, err)
	}
	failed := answer.Status >= http.StatusInternalServerError
	step := current.machine.Answered(g.now(), placement.Worker.Run(), failed)
	if step.Kind != attempt.StepDeliver {
		g.ended(current, placement, backends.Failed, "status "+strconv.Itoa(answer.Status))
		return step
	}
	length := answer.ContentLength
	if whole && current.request.Method != http.MethodHead {
		length = int64(len(content))
	}
	g.sendHead(current, answer, length)
	_, writeErr := current.writer.Write(content)
	if writeErr == nil && !whole {
		writeErr = copyRest(current.writer, answer)
	}
	switch {
	case writeErr == nil && failed:
		g.ended(current, placement, backends.Failed, "status "+strconv.Itoa(answer.Status))
	case writeErr == nil:
		g.ended(current, placement, backends.Succeeded, "")
	case errors.Is(writeErr, errCallerWrite):
		g.noteLostRun(current, placement, quarantine.Abandoned)
		g.ended(current, placement, backends.Cancelled, writeErr.Error())
		return attempt.Step{Kind: attempt.StepAbort}
	default:
		g.noteLostRun(current, placement, abandonedBy(ctx))
		g.ended(current, placement, backends.Lost, writeErr.Error())
		return attempt.Step{Kind: attempt.StepAbort}
	}
	return step
}

func isEventStream(current *carried, answer *upstream.Response) bool {
	return current.route.Kind == routes.Streaming && answer.Status == http.StatusOK &&
		strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream")
}

// brokenBody takes in that an answer ended before its end, with nothing of it
// passed on.
func (g *Gateway) brokenBody(ctx context.Context, current *carried, placement *backends.Placement, err error) attempt.Step {
	g.noteLostRun(current, placement, abandonedBy(ctx))
	if current.callerGone() {
		g.ended(current, placement, backends.Cancelled, "caller gone")
		return attempt.Step{Kind: attempt.StepAbort}
	}
	g.ended(current, placement, backends.Lost, "body: "+err.Error())
	if ctx.Err() != nil {
		return current.machine.TimedOut()
	}
	return current.machine.Unanswered(g.now(), placement.Worker.Run())
}

// readWhole reads an answer up to wholeLimit; whole is false if there is more.
func readWhole(answer *upstream.Response) (content []byte, whole bool, err error) {
	if answer.ContentLength >= 0 && answer.ContentLength <= wholeLimit {
		content = make([]byte, 0, answer.ContentLength+1)
	}
	for len(content) < wholeLimit {
		if len(content) == cap(content) {
			content = append(content, 0)[:len(content)]
		}
		end := min(cap(content), wholeLimit)
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

// copyRest copies what is left of an answer. A failure to write is
// errCallerWrite, any other error the worker's.
func copyRest(writer io.Writer, answer *upstream.Response) error {
	buffer := make([]byte, copyBuffer)
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

// unknownLength is the length of an answer that isn't known beforehand.
const unknownLength = -1

// sendHead writes the head of a worker's answer. length is that of the body, in
// bytes, or unknownLength.
func (g *Gateway) sendHead(current *carried, answer *upstream.Response, length int64) {
	header := current.writer.Header()
	copyAnswerHeader(header, answer.Header)
	g.markConnection(header)
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	current.machine.DeliveryStarted()
	current.headSent = true
	current.status = answer.Status
	current.result = resultcode.OK
	current.firstByte = g.now()
	current.writer.WriteHeader(answer.Status)
}
