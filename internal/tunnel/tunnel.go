// Package tunnel carries one connection to a worker through another node.
//
// The node that needs the connection sends an HTTP/1.1 upgrade request (RFC 9110, section 7.8), which
// names the worker. After the 101 response, bytes to the worker follow unchanged, and bytes from it in
// chunked coding (RFC 9112, section 7.1): a connection that the worker has closed ends with the last
// chunk, and one that broke on the way doesn't, so that an answer which ends with its connection can't
// be cut short without notice.
package tunnel

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/tcpend"
)

const (
	// Path is the path of the upgrade request at a node's address for other nodes.
	Path = "/tunnel"
	// protocol is the name of the protocol in the Upgrade header.
	protocol = "tillerfall-tunnel"
	// workerParameter and nodeParameter name the worker and the requesting node in the query.
	workerParameter = "worker"
	nodeParameter   = "node"
	// bufferSize is the size of the buffers of each direction, in bytes.
	bufferSize = 4 << 10
	// maxUpgradeHeadBytes bounds the response to an upgrade request.
	maxUpgradeHeadBytes = 4 << 10
	// endWriteTimeout is how long a write to the worker may go on after the worker's end. The worker may have been
	// silent before it reads on.
	endWriteTimeout = fleet.MaxSilence
)

// Request is what a node asks for.
type Request struct {
	// Node is the node that asks.
	Node   fleet.NodeID
	Worker fleet.EngineID
}

// Errors of Open. Any other one means that the other node could not be asked.
var (
	// ErrWorkerRefused means that the worker refused the other node's connection as well.
	ErrWorkerRefused = errors.Wrap(syscall.ECONNREFUSED, "worker")
	// ErrWorkerUnreachable means that the other node could not connect to the worker either.
	ErrWorkerUnreachable = errors.New("worker not reached by the other node")
	// ErrNoLink means that the other node can't reach this worker by its own links either.
	ErrNoLink = errors.New("other node has no link to the worker")
	// ErrUnavailable means that the other node opens no tunnels now.
	ErrUnavailable = errors.New("other node opens no tunnel")
	// ErrUnsupported means that the other node's release knows no tunnels.
	ErrUnsupported = errors.New("other node knows no tunnels")
)

// errorsByStatus holds the statuses by which a node refuses a tunnel.
var errorsByStatus = map[int]error{
	http.StatusBadGateway:         ErrWorkerRefused,
	http.StatusGatewayTimeout:     ErrWorkerUnreachable,
	http.StatusConflict:           ErrNoLink,
	http.StatusServiceUnavailable: ErrUnavailable,
	http.StatusNotFound:           ErrUnsupported,
}

// Open asks the node at the other end of a connection for a tunnel, and returns the connection to the
// worker. It closes conn if there is an error.
func Open(ctx context.Context, conn net.Conn, request Request) (*Conn, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	opened := newConn(conn)
	err := opened.handshake(request)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return opened, nil
}

// newConn returns the connection to a worker that a connection to another node carries.
func newConn(conn net.Conn) *Conn {
	limited := &io.LimitedReader{R: conn, N: maxUpgradeHeadBytes}
	buffered := bufio.NewReaderSize(limited, bufferSize)
	return &Conn{Conn: conn, limited: limited, buffered: buffered, chunks: httputil.NewChunkedReader(buffered)}
}

// handshake makes the upgrade request.
func (c *Conn) handshake(request Request) error {
	query := url.Values{workerParameter: {string(request.Worker)}, nodeParameter: {string(request.Node)}}
	upgrade, err := http.NewRequest(http.MethodGet, "http://"+c.RemoteAddr().String()+Path+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	upgrade.Header.Set("Connection", "Upgrade")
	upgrade.Header.Set("Upgrade", protocol)
	upgrade.Header.Set("User-Agent", "")
	if err := upgrade.Write(c.Conn); err != nil {
		return errors.Wrap(err, "request tunnel")
	}
	response, err := http.ReadResponse(c.buffered, upgrade)
	if err != nil {
		return errors.Wrap(err, "request tunnel")
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		c.limited.N = math.MaxInt64
		return nil
	}
	if known := errorsByStatus[response.StatusCode]; known != nil {
		return known
	}
	return errors.Errorf("request tunnel: status %d", response.StatusCode)
}

// Conn is a connection to a worker through another node.
type Conn struct {
	net.Conn
	// limited is what buffered reads from. It bounds the response to the upgrade request.
	limited  *io.LimitedReader
	buffered *bufio.Reader
	chunks   io.Reader
}

// Read returns bytes from the worker, io.EOF once the worker has closed the connection, and
// io.ErrUnexpectedEOF if the tunnel broke.
func (c *Conn) Read(into []byte) (int, error) { return c.chunks.Read(into) }

// Buffered returns the number of bytes that have been received and not been read.
func (c *Conn) Buffered() int { return c.buffered.Buffered() }

// ReadRequest returns what an upgrade request asks for, false if it isn't one for a tunnel.
func ReadRequest(request *http.Request) (Request, bool) {
	if request.Method != http.MethodGet || request.URL.Path != Path || request.Header.Get("Upgrade") != protocol {
		return Request{}, false
	}
	query := request.URL.Query()
	return Request{Node: fleet.NodeID(query.Get(nodeParameter)), Worker: fleet.EngineID(query.Get(workerParameter))}, true
}

// Refuse answers an upgrade request with the status of one of the errors of Open.
func Refuse(writer http.ResponseWriter, cause error) {
	for status, known := range errorsByStatus {
		if errors.Is(cause, known) {
			writer.WriteHeader(status)
			return
		}
	}
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// Accept answers an upgrade request with 101 and takes over its connection.
func Accept(writer http.ResponseWriter) (net.Conn, error) {
	conn, buffered, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return nil, errors.Wrap(err, "take over connection")
	}
	_ = conn.SetDeadline(time.Time{})
	_, err = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n")
	if err == nil && buffered.Reader.Buffered() > 0 {
		err = errors.New("bytes before the tunnel was open")
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// Carrier copies between a requesting node and a worker.
type Carrier struct {
	node, worker net.Conn
	// end tells how the connection to the worker ended.
	end      tcpend.Observer
	openedAt time.Time
	// lastByteAt is when bytes last came from either end, in nanoseconds since openedAt. awaitsWorker is
	// set while the last ones came from the node.
	lastByteAt   atomic.Int64
	awaitsWorker atomic.Bool
	// writing is held while bytes are written to the worker, and writeErr is the error of the last write.
	writing  sync.Mutex
	writeErr error
}

// NewCarrier returns a carrier between two connections, which it takes over.
func NewCarrier(node, worker net.Conn) *Carrier {
	return &Carrier{node: node, worker: worker, end: tcpend.Observe(worker), openedAt: time.Now()}
}

// Run copies until either end is closed, and closes both.
func (c *Carrier) Run() {
	var group sync.WaitGroup
	group.Go(func() {
		// The requesting node never closes one direction alone: its end means that the caller has left.
		_, _ = io.CopyBuffer(writerFunc(c.writeToWorker), c.observe(c.node, true), make([]byte, bufferSize))
		_ = c.worker.Close()
	})
	if copyChunked(c.node, c.observeEnd()) == nil {
		closeWrite(c.node)
	} else {
		reset(c.node)
	}
	group.Wait()
	_ = c.node.Close()
}

// CloseIfIdle closes the tunnel if nothing has come from either end for a duration, and the last bytes
// came from the worker: then no request waits for an answer.
func (c *Carrier) CloseIfIdle(duration time.Duration) {
	if !c.awaitsWorker.Load() && time.Since(c.openedAt)-time.Duration(c.lastByteAt.Load()) >= duration {
		_ = c.worker.Close()
	}
}

// observe returns a reader of a connection that records when bytes come from it.
func (c *Carrier) observe(conn net.Conn, fromNode bool) io.Reader {
	return readerFunc(func(into []byte) (int, error) {
		count, err := conn.Read(into)
		if count > 0 {
			c.lastByteAt.Store(int64(time.Since(c.openedAt)))
			c.awaitsWorker.Store(fromNode)
		}
		return count, err
	})
}

// writeToWorker writes to the worker and keeps the error for observeEnd.
func (c *Carrier) writeToWorker(content []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	count, err := c.worker.Write(content)
	if err != nil {
		c.writeErr = err
	}
	return count, err
}

// observeEnd returns a reader of the worker's bytes that returns io.EOF only after an orderly end.
func (c *Carrier) observeEnd() io.Reader {
	worker := c.observe(c.worker, false)
	return readerFunc(func(into []byte) (int, error) {
		count, err := worker.Read(into)
		if err != io.EOF {
			return count, err
		}
		if err := c.awaitWrite(); err != nil {
			return count, err
		}
		if err := c.end.Await(context.Background()); err != nil {
			return count, err
		}
		return count, io.EOF
	})
}

// awaitWrite returns the error of the last write to the worker, which it ends after endWriteTimeout. A reset is
// reported to the writer or to the reader, not to both: the reader then sees a regular end.
func (c *Carrier) awaitWrite() error {
	if err := c.worker.SetWriteDeadline(time.Now().Add(endWriteTimeout)); err != nil {
		return err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

type readerFunc func(into []byte) (int, error)

func (f readerFunc) Read(into []byte) (int, error) { return f(into) }

// writerFunc has no other methods, by which io.Copy would use splice(2).
type writerFunc func(content []byte) (int, error)

func (f writerFunc) Write(content []byte) (int, error) { return f(content) }

// copyChunked copies the bytes of a worker in chunked coding. It returns nil once the worker has closed
// its connection and the last chunk was written.
func copyChunked(to io.Writer, from io.Reader) error {
	buffered := bufio.NewWriterSize(to, bufferSize+64)
	chunks := httputil.NewChunkedWriter(buffered)
	buffer := make([]byte, bufferSize)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if _, writeErr := chunks.Write(buffer[:count]); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF {
			err = chunks.Close()
			return errors.Join(err, buffered.Flush())
		}
		if err != nil {
			return err
		}
		if err := buffered.Flush(); err != nil {
			return err
		}
	}
}

// reset closes a connection so that the peer can't take its end for a regular one.
func reset(conn net.Conn) {
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func closeWrite(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}
