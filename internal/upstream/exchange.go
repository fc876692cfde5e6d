package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/tcpend"
)

// maxSyncBodySize is the size, in bytes, up to which a body is written before the response is read.
// Longer bodies are written concurrently, as the response may arrive before the end of the write.
const maxSyncBodySize = 2 << 10

// writeBufferSize is the size of the write buffer of a request, in bytes.
const writeBufferSize = 4 << 10

// endWriteTimeout is how long the write of a body may go on after the response has ended with its
// connection. The worker may have been silent before it reads on.
const endWriteTimeout = fleet.MaxSilence

// Response is a worker's response whose body is still to be read. Close must be called; the
// connection is reused only if the body was read to its end.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the length of the body in bytes, or -1 if unknown.
	ContentLength int64
	// Unidentified is set if the response names no request. Its connection carries no other exchange.
	Unidentified bool
	// Reused is set if the connection had carried an earlier exchange.
	Reused bool
	// EndsWithConnection is set if the body has neither a length nor chunks (RFC 9112, section 6.3): a
	// body that a crash of the worker cut can't be told from a complete one by its bytes.
	EndsWithConnection bool

	exchange *exchange
	body     io.ReadCloser
	complete bool
	// lastBytesAt is when the last bytes arrived, and silence the time from then to the end. Both are kept only
	// where EndsWithConnection is set.
	lastBytesAt time.Time
	silence     time.Duration
}

// SilenceBeforeEnd returns how long nothing had arrived when the response ended with its connection.
func (r *Response) SilenceBeforeEnd() time.Duration { return r.silence }

// Read reads from the body. It returns io.EOF only at the regular end of the body.
func (r *Response) Read(into []byte) (int, error) {
	count, err := r.body.Read(into)
	if r.EndsWithConnection {
		r.observeRead(count)
	}
	if err == io.EOF && r.EndsWithConnection {
		if cause := r.exchange.awaitWrite(); cause != nil {
			return count, errors.Wrap(cause, "connection ended before the request was written")
		}
	}
	if err == io.EOF {
		r.complete = true
	}
	return count, err
}

// observeRead records that a read has returned a number of bytes.
func (r *Response) observeRead(count int) {
	now := time.Now()
	if count > 0 {
		r.lastBytesAt = now
	}
	r.silence = now.Sub(r.lastBytesAt)
}

// AwaitEnd returns an error if the connection of a response that has been read to its end was reset right after
// it. Where EndsWithConnection is set, such a response may have been cut.
func (r *Response) AwaitEnd(ctx context.Context) error { return r.exchange.conn.end.Await(ctx) }

// Close ends the exchange and releases or closes its connection.
func (r *Response) Close() { r.exchange.finish(r.complete && r.exchange.reusable) }

// exchange is one request on one connection.
type exchange struct {
	pool *Pool
	conn *connection
	// stopWatch stops the closing of the connection at the end of the caller's context.
	stopWatch func() bool
	// writeDone is closed when a concurrent write of the body has ended; nil if there is none.
	writeDone chan struct{}
	writeErr  error
	reusable  bool
	once      sync.Once
}

// awaitWrite returns the error of a concurrent write of the body, which it ends after endWriteTimeout. A
// reset is reported to the writer or to the reader, not to both: the reader then sees a regular end.
func (e *exchange) awaitWrite() error {
	if e.writeDone == nil {
		return nil
	}
	if err := e.conn.raw.SetWriteDeadline(time.Now().Add(endWriteTimeout)); err != nil {
		return err
	}
	<-e.writeDone
	return e.writeErr
}

// finish releases the connection for reuse or closes it.
func (e *exchange) finish(reuse bool) {
	e.once.Do(func() {
		stopped := e.stopWatch()
		if reuse && e.writeDone != nil {
			select {
			case <-e.writeDone:
				reuse = e.writeErr == nil
			default:
				reuse = false
			}
		}
		if reuse && stopped {
			if !e.conn.hasBuffered() {
				e.pool.release(e.conn)
				return
			}
			e.pool.reportUnsolicited(e.conn)
		}
		e.conn.raw.Close()
		e.pool.noteClosed(e.conn.engine)
	})
}

// Do carries out one exchange up to the response header. The error is always an *ExchangeError. The
// connection is closed as soon as the context ends.
func (p *Pool) Do(ctx context.Context, destination Destination, request *Request) (*Response, error) {
	conn, reused, err := p.connect(ctx, destination)
	if err != nil {
		return nil, &ExchangeError{Stage: NotSent, Cause: err}
	}
	if request.Connected != nil {
		request.Connected(conn.relay)
	}
	if request.Permit != nil {
		if err := request.Permit(); err != nil {
			p.release(conn)
			return nil, &ExchangeError{Stage: NotSent, Cause: err}
		}
	}
	if err := conn.setPatient(destination.Patient); err != nil {
		conn.raw.Close()
		p.noteClosed(destination.Engine)
		return nil, &ExchangeError{Stage: NotSent, Cause: err}
	}
	idle := conn.idleFor(time.Now())
	current := &exchange{pool: p, conn: conn}
	current.stopWatch = context.AfterFunc(ctx, func() { conn.raw.Close() })
	before := conn.written.Load()
	response, err := current.run(request)
	if err == nil {
		response.Reused = reused
		return response, nil
	}
	current.finish(false)
	p.onExchangeFailed(destination, reused, err)
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	stage := Sent
	if conn.written.Load() == before {
		stage = NotSent
	}
	return nil, &ExchangeError{Stage: stage, Cause: err, Reused: reused, Idle: idle}
}

// onExchangeFailed closes all idle connections to the worker if a reused connection failed by
// timeout (TCP_USER_TIMEOUT or keep-alive probes): the others are likely dead too.
func (p *Pool) onExchangeFailed(destination Destination, reused bool, err error) {
	var failure net.Error
	if reused && errors.As(err, &failure) && failure.Timeout() {
		p.CloseIdleTo(destination.Engine)
	}
}

// connect returns an idle connection or a new one. The boolean reports whether it is reused.
func (p *Pool) connect(ctx context.Context, destination Destination) (*connection, bool, error) {
	conn, room := p.acquire(destination)
	if conn != nil {
		return conn, true, nil
	}
	if !room {
		return nil, false, ErrTooManyConnections
	}
	conn, err := p.dial(ctx, destination)
	return conn, false, err
}

// dial opens a connection that has already been counted as open.
func (p *Pool) dial(ctx context.Context, destination Destination) (*connection, error) {
	dialing, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	raw, err := p.options.Dial(dialing, destination)
	if err != nil {
		p.noteClosed(destination.Engine)
		return nil, errors.Wrap(err, "connect")
	}
	if p.options.OnDial != nil {
		p.options.OnDial(destination.Engine)
	}
	return newConnection(destination, raw, p.options.IdleTimeout), nil
}

// newConnection returns a connection that may stay idle for a time.
func newConnection(destination Destination, raw net.Conn, keepAlive time.Duration) *connection {
	head := &headLimiter{conn: raw}
	return &connection{
		head:      head,
		end:       tcpend.Observe(raw),
		engine:    destination.Engine,
		address:   destination.Address,
		relay:     relayOf(raw),
		raw:       raw,
		openedAt:  time.Now(),
		reader:    bufio.NewReaderSize(head, readBufferSize),
		keepAlive: keepAlive,
	}
}

func (e *exchange) run(request *Request) (*Response, error) {
	outgoing := newHTTPRequest(request)
	if err := e.send(outgoing, len(request.Body)); err != nil {
		return nil, err
	}
	response, err := e.conn.readHead(outgoing)
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if response.StatusCode < http.StatusOK {
		return nil, errors.Errorf("unexpected interim response %d", response.StatusCode)
	}
	identity := Identified
	if request.Identify != nil {
		identity = request.Identify(response.StatusCode, response.Header)
	}
	if identity == Foreign {
		return nil, ErrResponseMismatch
	}
	e.conn.applyKeepAlive(response.Header)
	e.reusable = identity == Identified && !response.Close && e.conn.keepAlive > 0
	return &Response{
		Status:        response.StatusCode,
		Unidentified:  identity == Unidentified,
		Header:        response.Header,
		ContentLength: response.ContentLength,
		exchange:      e,
		body:          response.Body,
		lastBytesAt:   time.Now(),

		EndsWithConnection: response.ContentLength < 0 && len(response.TransferEncoding) == 0 && request.Method != http.MethodHead,
	}, nil
}

// send writes a request. A long body is written concurrently with the reading of the response,
// since a worker may respond before it has read the whole body.
func (e *exchange) send(outgoing *http.Request, bodyLength int) error {
	write := func() error {
		buffered := bufio.NewWriterSize(e.conn, writeBufferSize)
		if err := outgoing.Write(buffered); err != nil {
			return errors.Wrap(err, "write request")
		}
		if err := buffered.Flush(); err != nil {
			return errors.Wrap(err, "write request")
		}
		return nil
	}
	if bodyLength <= maxSyncBodySize {
		return write()
	}
	e.writeDone = make(chan struct{})
	go func() {
		defer close(e.writeDone)
		// The reader reports the failure: a response may have arrived already.
		e.writeErr = write()
	}()
	return nil
}

// newHTTPRequest returns the request as written by net/http, with the target unchanged.
func newHTTPRequest(request *Request) *http.Request {
	outgoing := &http.Request{
		Method:     request.Method,
		URL:        rawURL(request.Target),
		Host:       request.Host,
		Header:     request.Header,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	if _, named := request.Header["User-Agent"]; !named {
		request.Header["User-Agent"] = []string{""}
	}
	if len(request.Body) > 0 {
		outgoing.ContentLength = int64(len(request.Body))
		outgoing.Body = io.NopCloser(bytes.NewReader(request.Body))
	}
	return outgoing
}

// rawURL returns a URL whose request target is exactly the given text. Package url would add a
// scheme to an opaque URL that starts with two slashes, so such a target is set as the path.
func rawURL(target string) *url.URL {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Opaque: target}
	}
	path, query, found := strings.Cut(target, "?")
	decoded, err := url.PathUnescape(path)
	if err != nil {
		decoded = path
	}
	return &url.URL{Path: decoded, RawPath: path, RawQuery: query, ForceQuery: found}
}
