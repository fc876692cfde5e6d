package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/workerlimit"
)

// Notice is what an answer, to a call of any kind, says of the server that gave it.
type Notice struct {
	// Instance is the run that answered, if the answer names it.
	Instance fleet.EngineID
	// Misdirected is set if the call was refused as meant for another run or version.
	Misdirected bool
	// Draining is set if the server shuts down and is to get no new requests.
	Draining bool
	// RetryAfter is how long the server wants nothing from this node; 0 if it doesn't say.
	RetryAfter time.Duration
	// Limit is what the answer says of the requests that the server takes.
	Limit workerlimit.Statement
	// Unknown lists the headers in which the server says something else of itself.
	Unknown []string
	// Unreadable lists the headers of these that couldn't be read.
	Unreadable []Unreadable
}

// saysOf tells whether the notice can be that of a worker. A call that was refused as meant for
// another run may have been answered by whoever has the address now.
func (n *Notice) saysOf(worker fleet.EngineID) bool {
	if n.Instance != "" {
		return n.Instance == worker
	}
	return !n.Misdirected
}

// noticeKey is the key of a context's handler of notices.
type noticeKey struct{}

// WithNotices returns a context for calls to a server. handle is called with the notice of each
// answer as soon as its head has been read, also where the call then fails.
func WithNotices(ctx context.Context, handle func(Notice)) context.Context {
	return context.WithValue(ctx, noticeKey{}, handle)
}

// HandleNotice hands the notice of an answer to the handler of its call, if there is one.
func HandleNotice(ctx context.Context, notice Notice) {
	if handle, found := ctx.Value(noticeKey{}).(func(Notice)); found {
		handle(notice)
	}
}

// Bounds on the headers that are remembered as logged.
const (
	maxUnknownHeaders = 8
	maxUnknownWorkers = 1024
	maxHeaderName     = 64
)

// unknownHeaders remembers which unknown headers have been logged, by worker. It is safe for
// concurrent use.
type unknownHeaders struct {
	mutex  sync.Mutex
	logged map[fleet.EngineID][]string
}

// noticed is the worker's run that a notice is about, and what this node called it for.
type noticed struct {
	worker fleet.EngineID
	born   backends.StartTime
	kind   callKind
}

// first tells whether a header of a worker hasn't been logged before, and notes it.
func (u *unknownHeaders) first(worker fleet.EngineID, header string) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	known, found := u.logged[worker]
	if len(known) >= maxUnknownHeaders || (!found && len(u.logged) >= maxUnknownWorkers) {
		return false
	}
	for _, name := range known {
		if name == header {
			return false
		}
	}
	if u.logged == nil {
		u.logged = make(map[fleet.EngineID][]string)
	}
	u.logged[worker] = append(known, header)
	return true
}

// forget drops what was logged of a worker that is gone.
func (u *unknownHeaders) forget(worker fleet.EngineID) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	delete(u.logged, worker)
}

// takeNotice takes in what an answer says of a worker, besides its limit.
func (g *Gateway) takeNotice(about noticed, notice *Notice) {
	g.noteUnknown(about, notice.Unknown)
	if !notice.saysOf(about.worker) {
		return
	}
	if notice.Draining {
		g.noteDraining(about)
	}
	if notice.RetryAfter > 0 {
		g.noteRetryAfter(about, notice.RetryAfter)
	}
}

// noteUnknown logs each unknown header of a worker once.
func (g *Gateway) noteUnknown(about noticed, headers []string) {
	for _, header := range headers {
		name := header[:min(len(header), maxHeaderName)]
		if g.unknown.first(about.worker, name) {
			g.events.line("unknown_header").Str("worker", string(about.worker)).Str("header", name).Str("call", string(about.kind)).Msg("unknown_header")
		}
	}
}

// noteDraining takes in that a worker says in an answer that it shuts down.
func (g *Gateway) noteDraining(about noticed) {
	g.metrics.notices.WithLabelValues(noticeDraining, string(about.kind)).Inc()
	g.observeDraining(backends.DrainingRun{Worker: about.worker, Born: about.born}, string(about.kind))
}

// observeDraining takes in that a worker shuts down, by the word of an answer or of a peer.
func (g *Gateway) observeDraining(run backends.DrainingRun, source string) {
	if g.workers.ObserveDraining(run) != backends.Began {
		return
	}
	g.upstreams.CloseIdleTo(run.Worker)
	g.events.line("worker_notice").Str("worker", string(run.Worker)).Str("notice", noticeDraining).Str("source", source).Msg("worker_notice")
}

// noteAnswerNotice takes in what an answer to a request that was sent at a time says of its worker.
// What nobody signed and what isn't a worker's word that it didn't run the request isn't known to
// be the worker's.
func (g *Gateway) noteAnswerNotice(worker *backends.Worker, sentAt time.Duration, info AnswerInfo) {
	if !info.Signed && !info.NotExecuted {
		return
	}
	g.takeNotice(noticed{worker: worker.ID, born: worker.Born, kind: callRequest}, &info.Notice)
	if info.RetryAfter == 0 && info.saysOf(worker.ID) {
		g.backoffs.answered(backoffRun(worker.ID, worker.Born), sentAt)
	}
}

// storeName stands for the store in logs about servers.
const storeName fleet.EngineID = "store"

// Kinds of notices in logs and metrics.
const (
	noticeDraining   = "draining"
	noticeRetryAfter = "retry_after"
	// noticeByPeer is the source of what another node tells.
	noticeByPeer = "peer"
)

// noticesOf returns a context in which the notices of a worker's answers are taken in.
func (g *Gateway) noticesOf(ctx context.Context, about noticed) context.Context {
	return WithNotices(ctx, func(notice Notice) {
		g.noteUnreadable("", notice.Unreadable)
		g.takeNotice(about, &notice)
	})
}
