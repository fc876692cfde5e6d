package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Client talks to one engine. It is safe for concurrent use. It never retries;
// net/http may repeat a read (GET) on a reused connection, never a POST.
// All its errors are *Error.
type Client struct {
	base    string
	options Options
	streams *http.Client
	control *http.Client
}

// New returns a client of the engine at an address.
func New(address fleet.Address, options Options) *Client {
	return NewConnectionPool(options).Client(address)
}

// CloseIdle closes the connections that no exchange uses, also those of other
// clients of the same Connections.
func (c *Client) CloseIdle() {
	c.streams.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Dispatch starts a stream. The context bounds the stream's whole life on this
// connection. Error.Outcome tells what a failure has left at the engine.
func (c *Client) Dispatch(ctx context.Context, request DispatchRequest) (*Stream, error) {
	response, err := c.do(ctx, c.streams, http.MethodPost, PathStreams, request)
	if err != nil {
		return nil, err
	}
	return newStream(request.StreamID, len(request.Continuation), response, c.options.MaxLineBytes), nil
}

// Resume reads a stream again from the token numbered offset. An engine that
// doesn't hold the stream any more answers ErrorUnknownStream.
func (c *Client) Resume(ctx context.Context, id fleet.StreamID, offset int) (*Stream, error) {
	path := streamPath(PathResume, id) + "?offset=" + strconv.Itoa(offset)
	response, err := c.do(ctx, c.streams, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	return newStream(id, offset, response, c.options.MaxLineBytes), nil
}

// Cancel stops a stream and bars any later dispatch of it. It is idempotent.
func (c *Client) Cancel(ctx context.Context, id fleet.StreamID, incarnation fleet.Incarnation) (CancelResponse, error) {
	var answer CancelResponse
	err := c.call(ctx, http.MethodPost, streamPath(PathCancel, id), CancelRequest{Incarnation: incarnation}, &answer)
	if err != nil {
		return CancelResponse{}, err
	}
	switch answer.State {
	case CancelNeverRan, CancelCancelled, CancelFinished:
		return answer, nil
	default:
		return CancelResponse{}, &Error{Code: ErrorProtocol, Message: "unknown cancel state", Sent: true}
	}
}

// Status asks for the engine's state and its lagging load.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var answer Status
	err := c.call(ctx, http.MethodGet, PathStatus, nil, &answer)
	return answer, err
}

// PollCacheEvents waits up to wait for cache events after a sequence number.
func (c *Client) PollCacheEvents(ctx context.Context, after uint64, wait time.Duration) (CacheEvents, error) {
	var answer CacheEvents
	path := fmt.Sprintf("%s?after=%d&wait_ms=%d", PathEvents, after, wait.Milliseconds())
	ctx, cancel := context.WithTimeout(ctx, wait+c.options.HeaderTimeout)
	defer cancel()
	err := c.call(ctx, http.MethodGet, path, nil, &answer)
	return answer, err
}

// CacheSnapshot asks for the whole set of cached blocks.
func (c *Client) CacheSnapshot(ctx context.Context) (CacheSnapshot, error) {
	var answer CacheSnapshot
	err := c.call(ctx, http.MethodGet, PathCache, nil, &answer)
	return answer, err
}

// SendOrder sends a fenced order.
func (c *Client) SendOrder(ctx context.Context, order Order) error {
	return c.call(ctx, http.MethodPost, PathOrders, order, nil)
}

// Export asks for the cached part of a prefix and checks its checksum.
func (c *Client) Export(ctx context.Context, request KVExportRequest) (KVBundle, error) {
	var answer KVBundle
	if err := c.call(ctx, http.MethodPost, PathExport, request, &answer); err != nil {
		return KVBundle{}, err
	}
	if answer.ComputeChecksum() != answer.Checksum || answer.Tenant != request.Tenant || answer.Weights != request.Weights {
		return KVBundle{}, &Error{Code: ErrorChecksum, Message: "bundle fails its check", Sent: true}
	}
	return answer, nil
}

// Import hands exported blocks to the engine.
func (c *Client) Import(ctx context.Context, bundle KVBundle) error {
	return c.call(ctx, http.MethodPost, PathImport, bundle, nil)
}

func streamPath(pattern string, id fleet.StreamID) string {
	return strings.Replace(pattern, ":id", url.PathEscape(string(id)), 1)
}

// call makes an exchange with a bounded JSON answer, which it decodes into
// answer unless that is nil.
func (c *Client) call(ctx context.Context, method, path string, body, answer any) error {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.options.HeaderTimeout)
		defer cancel()
	}
	response, err := c.do(ctx, c.control, method, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, c.options.MaxBodyBytes+1))
	if err != nil {
		return connectionLost(ctx, err)
	}
	if int64(len(data)) > c.options.MaxBodyBytes {
		return &Error{Code: ErrorProtocol, Message: "answer over the limit", Sent: true}
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return &Error{Code: ErrorProtocol, Message: err.Error(), Sent: true, Cause: err}
	}
	return nil
}

// do sends one request, once, and returns an answer below 400.
func (c *Client) do(ctx context.Context, client *http.Client, method, path string, body any) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), method, c.base+path, body)
	if err != nil {
		return nil, &Error{Code: ErrorBadRequest, Message: err.Error(), Cause: err}
	}
	response, err := client.Do(request)
	switch {
	case err != nil && !connected.Load():
		return nil, &Error{Code: ErrorConnect, Message: err.Error(), Cause: err}
	case err != nil:
		return nil, connectionLost(ctx, err)
	case response.StatusCode >= http.StatusMultipleChoices:
		defer response.Body.Close()
		return nil, c.readError(response)
	}
	return response, nil
}

func newRequest(ctx context.Context, method, target string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, target, nil)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	// Without GetBody net/http has no way to send the body a second time.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func connectionLost(ctx context.Context, err error) *Error {
	if ctx.Err() != nil {
		err = errors.Wrap(ctx.Err(), err.Error())
	}
	return &Error{Code: ErrorConnectionLost, Message: err.Error(), Sent: true, Cause: err}
}

// readError turns an error answer into an *Error. A body that isn't the
// engine's own, as from a proxy between, tells nothing of what was done.
func (c *Client) readError(response *http.Response) *Error {
	var body ErrorBody
	data, err := io.ReadAll(io.LimitReader(response.Body, int64(c.options.MaxLineBytes)))
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	if err != nil || body.Error == "" {
		return &Error{Code: ErrorProtocol, Message: "answer with status " + response.Status, Sent: true}
	}
	return &Error{Code: body.Error, Message: body.Message, Incarnation: body.Incarnation, Sent: true}
}

func isMalformed(err error) bool {
	return errors.Is(err, ErrMalformedFrame) || errors.Is(err, ErrLineTooLong)
}
