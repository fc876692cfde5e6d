package engine

import (
	"net"
	"net/http"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Defaults of Options.
const (
	DefaultConnectTimeout = 2 * time.Second
	DefaultHeaderTimeout  = 10 * time.Second
	DefaultMaxBodyBytes   = 64 << 20
)

// Options tune a Client. Zero values mean the defaults.
type Options struct {
	// ConnectTimeout bounds the making of a connection.
	ConnectTimeout time.Duration
	// HeaderTimeout bounds the wait for the head of an answer; the wait of a
	// long poll is added to it.
	HeaderTimeout time.Duration
	// MaxLineBytes bounds one line of an event stream.
	MaxLineBytes int
	// MaxBodyBytes bounds the body of any other answer.
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

// ConnectionPool are what the clients of many engines share, so that a process
// can know thousands of engines at little cost.
type ConnectionPool struct {
	options Options
	streams *http.Client
	control *http.Client
}

// NewConnectionPool returns an empty set of connections.
func NewConnectionPool(options Options) *ConnectionPool {
	options = options.withDefaults()
	return &ConnectionPool{
		options: options,
		streams: newHTTPClient(options, true),
		control: newHTTPClient(options, false),
	}
}

// Client returns a client of the engine at an address.
func (c *ConnectionPool) Client(address fleet.Address) *Client {
	return &Client{
		base:    "http://" + string(address),
		options: c.options,
		streams: c.streams,
		control: c.control,
	}
}

// newHTTPClient makes a client of its own connections. Streams get a fresh
// connection each: on a reused one, an idle connection that the engine has
// dropped could not be told from a request that was lost after it arrived.
func newHTTPClient(options Options, fresh bool) *http.Client {
	dialer := &net.Dialer{Timeout: options.ConnectTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     time.Minute,
	}
	if fresh {
		transport.ResponseHeaderTimeout = options.HeaderTimeout
	}
	refuse := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: refuse}
}
