package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/workerlimit"
)

// Notice is the information in the headers of a response, to a call of any kind, about the server
// that sent it.
type Notice struct {
	// Instance is the run that answered; empty if the response doesn't name it.
	Instance fleet.EngineID
	// Misdirected is set if the call was refused because it was meant for another run or version.
	Misdirected bool
	// Draining is set if the server is shutting down and takes no new requests.
	Draining bool
	// RetryAfter is how long the server asks this gateway to send nothing; 0 if it doesn't ask.
	RetryAfter time.Duration
	// Limit is the request limit that the server advertises.
	Limit workerlimit.AdvertisedLimit
	// RejectionLimit is how many rejections in a second the server bears.
	RejectionLimit AdvertisedRejections
	// StoreEpoch is the epoch of the store that sent the response; 0 if it doesn't report one.
	StoreEpoch fleet.StoreEpoch
	// Unknown lists the headers about the server that the codec doesn't know.
	Unknown []string
	// Invalid lists the headers about the server that could not be decoded.
	Invalid []InvalidInput
}

// AdvertisedRejections is how many rejections in a second a server advertises that it bears.
type AdvertisedRejections struct {
	// Advertised is set if the response states a number.
	Advertised bool
	Count      int
}

// appliesTo reports whether the notice can be about the given worker. A misdirected call may have
// been answered by another run that has taken over the address.
func (n *Notice) appliesTo(worker fleet.EngineID) bool {
	if n.Instance != "" {
		return n.Instance == worker
	}
	return !n.Misdirected
}

// noticeHandlerKey is the context key of a call's notice handler.
type noticeHandlerKey struct{}

// WithNoticeHandler returns a context for calls to a server. handle is called with the notice of
// each response as soon as its head has been read, even if the call then fails.
func WithNoticeHandler(ctx context.Context, handle func(Notice)) context.Context {
	return context.WithValue(ctx, noticeHandlerKey{}, handle)
}

// HandleNotice passes the notice of a response to the handler of its call, if there is one.
func HandleNotice(ctx context.Context, notice Notice) {
	if handle, found := ctx.Value(noticeHandlerKey{}).(func(Notice)); found {
		handle(notice)
	}
}

// Bounds on the unknown headers that are recorded as logged.
const (
	maxUnknownHeaders = 8
	maxUnknownWorkers = 1024
	maxHeaderName     = 64
)

// unknownHeaders records which unknown headers have been logged, by worker. It is safe for
// concurrent use.
type unknownHeaders struct {
	mutex  sync.Mutex
	logged map[fleet.EngineID][]string
}

// noticeSource identifies the worker's run that a notice is about, and the kind of call whose
// response contained it.
type noticeSource struct {
	worker    fleet.EngineID
	startTime backends.StartTime
	kind      callKind
}

// isFirst records a header of a worker and reports whether it has not been logged before. It
// returns false when the bounds on recorded headers are reached.
func (u *unknownHeaders) isFirst(worker fleet.EngineID, header string) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	headers, found := u.logged[worker]
	if len(headers) >= maxUnknownHeaders || (!found && len(u.logged) >= maxUnknownWorkers) {
		return false
	}
	for _, name := range headers {
		if name == header {
			return false
		}
	}
	if u.logged == nil {
		u.logged = make(map[fleet.EngineID][]string)
	}
	u.logged[worker] = append(headers, header)
	return true
}

// forget drops the records of a worker that is gone.
func (u *unknownHeaders) forget(worker fleet.EngineID) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	delete(u.logged, worker)
}

// applyNotice applies the notice in a response, except for the worker's limit.
func (g *Gateway) applyNotice(source noticeSource, notice *Notice) {
	g.logUnknownHeaders(source, notice.Unknown)
	if !notice.appliesTo(source.worker) {
		return
	}
	if notice.Draining {
		g.recordDraining(source)
	}
	if notice.RetryAfter > 0 {
		g.recordRetryAfter(source, notice.RetryAfter)
	}
	if notice.RejectionLimit.Advertised {
		g.recordRejectionLimit(source, notice.RejectionLimit.Count)
	}
}

// logUnknownHeaders logs each unknown header of a worker once.
func (g *Gateway) logUnknownHeaders(source noticeSource, headers []string) {
	for _, header := range headers {
		name := header[:min(len(header), maxHeaderName)]
		if g.unknownHeaders.isFirst(source.worker, name) {
			g.events.line("unknown_header").Str("worker", string(source.worker)).Str("header", name).Str("call", string(source.kind)).Msg("unknown_header")
		}
	}
}

// recordDraining records that a worker's response announces its shutdown.
func (g *Gateway) recordDraining(source noticeSource) {
	g.metrics.notices.WithLabelValues(noticeDraining, string(source.kind)).Inc()
	g.observeDraining(backends.DrainingRun{Worker: source.worker, StartTime: source.startTime}, string(source.kind))
}

// observeDraining records that a worker is draining, as reported by a response or a peer.
func (g *Gateway) observeDraining(run backends.DrainingRun, source string) {
	if g.workers.ObserveDraining(run) != backends.StartedDraining {
		return
	}
	g.upstreams.CloseIdleTo(run.Worker)
	g.events.line("worker_notice").Str("worker", string(run.Worker)).Str("notice", noticeDraining).Str("source", source).Msg("worker_notice")
}

// applyResponseNotice applies the notice in a response to a request that was sent at sentAt. It
// ignores responses that are neither signed nor a worker's statement that it did not run the
// request, since others may not come from the worker.
func (g *Gateway) applyResponseNotice(worker *backends.Worker, sentAt time.Duration, info ResponseInfo) {
	if !info.Signed && !info.NotExecuted {
		return
	}
	g.applyNotice(noticeSource{worker: worker.ID, startTime: worker.StartTime, kind: callRequest}, &info.Notice)
	if info.RetryAfter == 0 && info.appliesTo(worker.ID) {
		g.backoffs.recordResponse(backoffRun(worker.ID, worker.StartTime), sentAt)
	}
}

// storeLogName identifies the store in logs about servers.
const storeLogName fleet.EngineID = "store"

// Kinds and sources of notices in logs and metrics.
const (
	noticeDraining   = "draining"
	noticeRetryAfter = "retry_after"
	// noticeSourcePeer is the source of a notice that another gateway forwarded.
	noticeSourcePeer = "peer"
)

// withNoticesFrom returns a context in which the notices of a worker's responses are handled.
func (g *Gateway) withNoticesFrom(ctx context.Context, source noticeSource) context.Context {
	return WithNoticeHandler(ctx, func(notice Notice) {
		g.reportInvalidInput("", notice.Invalid)
		g.applyNotice(source, &notice)
	})
}
