package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/bodymemory"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

const (
	// bodyWait bounds the time that a request waits until the bodies under way leave room for its own.
	bodyWait = time.Second
	// bodyWaitFraction is the part of its remaining time that a request may wait so.
	bodyWaitFraction = 0.25
	// initialBodyBytes is the memory for a body of unknown length, which doubles as the body grows.
	initialBodyBytes = 16 << 10
	// discardTimeout bounds the time for which the body of a refused request is still read.
	discardTimeout = 2 * time.Second
	// reasonNoBodyMemory is the reason for refusing a request whose body can't be read for want of memory.
	reasonNoBodyMemory = "short of memory for bodies"
)

var errBodyTooLarge = errors.New("body too large")

// readBody reads the caller's whole body, so that the request can be sent again and goes to the
// worker with a Content-Length.
func (g *Gateway) readBody(current *callerRequest) *refusal {
	request := current.request
	if request.Body == nil || request.Body == http.NoBody || request.ContentLength == 0 {
		return nil
	}
	limit := int64(defaultMaxBodyBytes)
	if snapshot := g.configuration.Current(); snapshot != nil && snapshot.Table.Limits().MaxBodyBytes > 0 {
		limit = snapshot.Table.Limits().MaxBodyBytes
	}
	if request.ContentLength > limit {
		return &refusal{code: resultcode.BodyTooLarge, reason: "body of " + strconv.FormatInt(request.ContentLength, 10) + " bytes"}
	}
	body, err := g.readBodyWithin(current, limit)
	switch {
	case errors.Is(err, errBodyTooLarge):
		return &refusal{code: resultcode.BodyTooLarge, reason: "body too large"}
	case errors.Is(err, bodymemory.ErrNoMemory):
		g.metrics.bodiesRefused.Inc()
		return &refusal{code: resultcode.NodeFull, reason: reasonNoBodyMemory, retryAfter: shortRetryAfter, unreadBody: true}
	case err != nil:
		return &refusal{code: resultcode.BodyTimeout, reason: "body incomplete: " + err.Error()}
	}
	current.body = body
	return nil
}

// readBodyWithin reads a body of up to limit bytes once there is memory for it.
func (g *Gateway) readBodyWithin(current *callerRequest, limit int64) ([]byte, error) {
	length := current.request.ContentLength
	if err := g.acquireBody(current, max(length, initialBodyBytes)); err != nil {
		return nil, err
	}
	control := http.NewResponseController(current.writer)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	if length < 0 {
		return g.readGrowingBody(current, limit)
	}
	content := make([]byte, length)
	if _, err := io.ReadFull(current.request.Body, content); err != nil {
		return nil, err
	}
	return content, nil
}

// readGrowingBody reads a body of unknown length. It takes more memory as the body grows, without waiting:
// bodies that are read in part could wait for each other.
func (g *Gateway) readGrowingBody(current *callerRequest, limit int64) ([]byte, error) {
	content := make([]byte, 0, current.bodyBytes)
	for {
		if len(content) == cap(content) {
			if !g.bodies.TryAcquire(current.bodyBytes) {
				return nil, bodymemory.ErrNoMemory
			}
			current.bodyBytes *= 2
			content = append(make([]byte, 0, current.bodyBytes), content...)
		}
		count, err := current.request.Body.Read(content[len(content):cap(content)])
		content = content[:len(content)+count]
		if int64(len(content)) > limit {
			return nil, errBodyTooLarge
		}
		if err == io.EOF {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// acquireBody takes memory for a body, and waits for it if the bodies under way have all.
func (g *Gateway) acquireBody(current *callerRequest, bytes int64) error {
	if !g.bodies.TryAcquire(bytes) {
		wait := min(bodyWait, time.Duration(bodyWaitFraction*float64(current.timeLeft(g.now()))))
		ctx, cancel := context.WithTimeout(current.request.Context(), wait)
		defer cancel()
		if err := g.bodies.Acquire(ctx, bytes, priorityOf(current)); err != nil {
			return err
		}
	}
	current.bodyBytes = bytes
	return nil
}

// releaseBody returns the memory of a request's body.
func (g *Gateway) releaseBody(current *callerRequest) {
	if current.bodyBytes > 0 {
		g.bodies.Release(current.bodyBytes)
	}
}

// discardBody reads what a refused caller still sends, and keeps nothing of it. A caller whose connection is
// closed while it writes may never see the refusal.
func discardBody(current *callerRequest) {
	control := http.NewResponseController(current.writer)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, current.request.Body)
}
