package engine

import (
	"net"
	"net/http"
	"time"

	"github.com/tillerfall/tillerfall/internal/boundedhttp"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Default values of Options.
const (
	DefaultConnectTimeout = 2 * time.Second
	DefaultHeaderTimeout  = 10 * time.Second
	DefaultMaxBodyBytes   = 64 << 20
)

// Options configures a ConnectionPool and its clients. Zero values select the defaults.
type Options struct {
	// ConnectTimeout limits the time to establish a connection.
	ConnectTimeout time.Duration
	// HeaderTimeout limits the wait for the response headers of a stream, and the whole request for
	// other calls without a deadline of their own. A long poll adds its wait time.
	HeaderTimeout time.Duration
	// MaxLineBytes limits the length of a line in an event stream, and of the body of an error
	// response.
	MaxLineBytes int
	// MaxBodyBytes limits the body of any other response.
	MaxBodyBytes int64
}

func (o Options) withDefaults() Options {
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = DefaultConnectTimeout
	}
	if o.HeaderTimeout <= 0 {
		o.HeaderTimeout = DefaultHeaderTimeout
	}
	if o.MaxLineBytes <= 0 {
		o.MaxLineBytes = DefaultMaxLineBytes
	}
	if o.MaxBodyBytes <= 0 {
		o.MaxBodyBytes = DefaultMaxBodyBytes
	}
	return o
}

// ConnectionPool holds the HTTP connections that the clients of many engines share, which keeps the
// cost of each client low.
type ConnectionPool struct {
	options Options
	streams *http.Client
	control *http.Client
	events  *http.Client
}

// NewConnectionPool returns a pool without open connections.
func NewConnectionPool(options Options) *ConnectionPool {
	options = options.withDefaults()
	return &ConnectionPool{
		options: options,
		streams: newHTTPClient(options, true),
		control: newHTTPClient(options, false),
		events:  newHTTPClient(options, false),
	}
}

// Client returns a client for the engine at address. It opens no connection.
func (c *ConnectionPool) Client(address fleet.Address) *Client {
	return &Client{
		base:    "http://" + string(address),
		options: c.options,
		streams: c.streams,
		control: c.control,
		events:  c.events,
	}
}

// newHTTPClient returns an HTTP client with its own connections, which doesn't follow redirects.
// Streams disable keep-alives: on a reused connection, a request that fails because the engine
// closed the idle connection can't be distinguished from one that the engine received.
func newHTTPClient(options Options, disableKeepAlives bool) *http.Client {
	dialer := &net.Dialer{Timeout: options.ConnectTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   disableKeepAlives,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     time.Minute,

		MaxResponseHeaderBytes: boundedhttp.MaxHeadBytes,
	}
	if disableKeepAlives {
		transport.ResponseHeaderTimeout = options.HeaderTimeout
	}
	rejectRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: rejectRedirects}
}
