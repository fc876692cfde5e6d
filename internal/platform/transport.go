package platform

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/boundedhttp"
)

const (
	// maxPageBytes bounds a page of rows, an object and the list of machines: as much as the service takes in one
	// call, and a list of 100,000 machines.
	maxPageBytes = 16 << 20
	// maxRowBytes bounds one row, which holds a configuration of up to 256 KB.
	maxRowBytes = 1 << 20
	// maxStatusBytes bounds all other responses: to writes, of errors, and on the weight store.
	maxStatusBytes = 64 << 10
	// maxIdleConnections limits the idle connections to the service.
	maxIdleConnections = 4
	// idleTimeout is the time after which idle connections are closed. It should be shorter than
	// the idle timeout of the service.
	idleTimeout = 20 * time.Second
)

// newHTTPClient returns a client that uses no proxy and follows no redirects, either of which could
// send a write twice.
func newHTTPClient(connectTimeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleTimeout,

			MaxResponseHeaderBytes: boundedhttp.MaxHeadBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// httpResult is a received response. If bodyErr is set, the body could not be read completely.
type httpResult struct {
	status  int
	body    []byte
	bodyErr error
}

// do sends one request and reads at most maxBytes of its response, of an error less. It fails with ErrUnavailable if no connection could be obtained, and with
// lostError after that, because net/http doesn't report reliably whether any byte was sent.
func (c *Client) do(ctx context.Context, method, path string, query url.Values, body *bytes.Reader, maxBytes int64, lostError error) (httpResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := c.newRequest(ctx, method, path, query, body)
	if err != nil {
		return httpResult{}, errors.Wrap(ErrInvalid, err.Error())
	}
	response, err := c.http.Do(request)
	if err != nil {
		if connected.Load() {
			return httpResult{}, errors.Wrap(lostError, err.Error())
		}
		return httpResult{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		maxBytes = maxStatusBytes
	}
	content, err := readBounded(response.Body, maxBytes)
	return httpResult{status: response.StatusCode, body: content, bodyErr: err}, nil
}

// newRequest returns a request that net/http can't retry: its body, even an empty one, can't be
// rewound.
func (c *Client) newRequest(ctx context.Context, method, path string, query url.Values, body *bytes.Reader) (*http.Request, error) {
	target := c.base
	target.Path = path
	target.RawQuery = query.Encode()
	if body == nil {
		body = bytes.NewReader(nil)
	}
	length := int64(body.Len())
	request, err := http.NewRequestWithContext(ctx, method, target.String(), io.NopCloser(body))
	if err != nil {
		return nil, err
	}
	request.ContentLength = length
	request.GetBody = nil
	return request, nil
}

// readBounded reads a body of at most maxBytes.
func readBounded(body io.Reader, maxBytes int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > maxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", maxBytes)
	}
	return content, nil
}
