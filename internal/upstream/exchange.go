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

	"github.com/go-faster/errors"
)

// smallBody is the size up to which a body is written before the answer is
// awaited. The answer to a longer one may come before it is all written.
const smallBody = 2 << 10

// writeBuffer is the size of the buffer through which requests are written.
const writeBuffer = 4 << 10

// Answer is a worker's answer whose body is still to be read. Close must be
// called; the connection is used again only if the body was read to its end.
type Answer struct {
	Status int
	Header http.Header
	// ContentLength is the body's length in bytes, or -1.
	ContentLength int64
	// Reused tells whether the connection had carried an exchange before.
	Reused bool

	exchange *exchange
	body     io.ReadCloser
	whole    bool
}

// Read reads from the body. io.EOF comes only at the regular end of the body.
func (a *Answer) Read(into []byte) (int, error) {
	count, err := a.body.Read(into)
	if err == io.EOF {
		a.whole = true
	}
	return count, err
}

// Close ends the exchange.
func (a *Answer) Close() { a.exchange.finish(a.whole && a.exchange.reusable) }

// exchange is one request on one connection.
type exchange struct {
	pool *Pool
	conn *connection
	// stop ends the watch over the caller's context.
	stop func() bool
	// writing is closed when a body that is written beside the answer is done.
	writing  chan struct{}
	writeErr error
	reusable bool
	once     sync.Once
}

// finish gives the connection back or closes it.
func (e *exchange) finish(reuse bool) {
	e.once.Do(func() {
		stopped := e.stop()
		if reuse && e.writing != nil {
			select {
			case <-e.writing:
				reuse = e.writeErr == nil
			default:
				reuse = false
			}
		}
		if reuse && stopped && e.conn.reader.Buffered() == 0 {
			e.pool.put(e.conn)
			return
		}
		e.conn.raw.Close()
		e.pool.drop(e.conn.engine)
	})
}

// Do carries out one exchange up to the answer's head. The error is always a
// *Failure. When the context ends the connection is closed at once.
func (p *Pool) Do(ctx context.Context, destination Destination, request *Request) (*Answer, error) {
	conn, reused, err := p.connect(ctx, destination)
	if err != nil {
		return nil, &Failure{Stage: NotSent, Cause: err}
	}
	if request.Permit != nil {
		if err := request.Permit(); err != nil {
			p.put(conn)
			return nil, &Failure{Stage: NotSent, Cause: err}
		}
	}
	current := &exchange{pool: p, conn: conn}
	current.stop = context.AfterFunc(ctx, func() { conn.raw.Close() })
	before := conn.written.Load()
	answer, err := current.run(request)
	if err == nil {
		answer.Reused = reused
		return answer, nil
	}
	current.finish(false)
	p.failed(destination, reused, err)
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	if conn.written.Load() == before {
		return nil, &Failure{Stage: NotSent, Cause: err}
	}
	return nil, &Failure{Stage: Sent, Cause: err}
}

// failed takes in that an exchange failed. A kept connection whose other side says nothing
// any more, by TCP_USER_TIMEOUT or keep-alive probes, takes the other kept ones to the same
// worker along: what silences one silences all that were open, while new ones work, and
// each would cost another request.
func (p *Pool) failed(destination Destination, reused bool, err error) {
	var failure net.Error
	if reused && errors.As(err, &failure) && failure.Timeout() {
		p.Forget(destination.Engine)
	}
}

// connect returns an idle connection or a new one.
func (p *Pool) connect(ctx context.Context, destination Destination) (*connection, bool, error) {
	conn, room := p.take(destination)
	if conn != nil {
		return conn, true, nil
	}
	if !room {
		return nil, false, ErrTooManyConnections
	}
	conn, err := p.dial(ctx, destination)
	return conn, false, err
}

// dial makes a connection that was counted as open before.
func (p *Pool) dial(ctx context.Context, destination Destination) (*connection, error) {
	dialing, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	raw, err := p.options.Dial(dialing, destination.Address)
	if err != nil {
		p.drop(destination.Engine)
		return nil, errors.Wrap(err, "connect")
	}
	if p.options.Dialed != nil {
		p.options.Dialed(destination.Engine)
	}
	return &connection{
		engine:    destination.Engine,
		address:   destination.Address,
		raw:       raw,
		reader:    bufio.NewReaderSize(raw, readBuffer),
		keepAlive: p.options.IdleTimeout,
	}, nil
}

func (e *exchange) run(request *Request) (*Answer, error) {
	outgoing := newHTTPRequest(request)
	if err := e.send(outgoing, len(request.Body)); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(e.conn.reader, outgoing)
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if response.StatusCode < http.StatusOK {
		return nil, errors.Errorf("unexpected interim answer %d", response.StatusCode)
	}
	if request.Accept != nil {
		if err := request.Accept(response.StatusCode, response.Header); err != nil {
			return nil, err
		}
	}
	e.conn.noteKeepAlive(response.Header)
	e.reusable = !response.Close && e.conn.keepAlive > 0
	return &Answer{
		Status:        response.StatusCode,
		Header:        response.Header,
		ContentLength: response.ContentLength,
		exchange:      e,
		body:          response.Body,
	}, nil
}

// send writes a request. A long body is written beside the reading of the
// answer, since a worker may answer before it has read it all.
func (e *exchange) send(outgoing *http.Request, bodyLength int) error {
	write := func() error {
		buffered := bufio.NewWriterSize(e.conn, writeBuffer)
		if err := outgoing.Write(buffered); err != nil {
			return errors.Wrap(err, "write request")
		}
		if err := buffered.Flush(); err != nil {
			return errors.Wrap(err, "write request")
		}
		return nil
	}
	if bodyLength <= smallBody {
		return write()
	}
	e.writing = make(chan struct{})
	go func() {
		defer close(e.writing)
		// A failure is left to the reader: the answer may be there already.
		e.writeErr = write()
	}()
	return nil
}

// newHTTPRequest returns the request that net/http writes. The target goes out
// as it came in.
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

// rawURL returns an URL whose request target is exactly the given text. Package
// url would add a scheme to an opaque text with two leading slashes, so these
// go as a path.
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
