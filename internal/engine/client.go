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
	"github.com/tillerfall/tillerfall/internal/upstream"
)

// Client sends requests to one engine. It is safe for concurrent use. It doesn't retry; net/http
// may retry a GET on a reused connection, but never a POST. All returned errors are of type *Error.
type Client struct {
	base    string
	options Options
	streams *http.Client
	control *http.Client
	// events has connections of its own: they are closed after an answer of which it isn't known whose it is.
	events *http.Client
}

// NewClient returns a client for the engine at address with its own connection pool.
func NewClient(address fleet.Address, options Options) *Client {
	return NewConnectionPool(options).Client(address)
}

// CloseIdle closes the idle connections of the client's ConnectionPool, which other clients may
// share.
func (c *Client) CloseIdle() {
	c.streams.CloseIdleConnections()
	c.control.CloseIdleConnections()
	c.events.CloseIdleConnections()
}

// Dispatch starts a stream. The context covers both the request and reading the stream. On failure,
// Error.Outcome reports whether the engine may have started the stream.
func (c *Client) Dispatch(ctx context.Context, request DispatchRequest) (*Stream, error) {
	response, err := c.do(ctx, c.streams, http.MethodPost, PathStreams, request)
	if err != nil {
		return nil, err
	}
	return newStream(request.StreamID, len(request.Continuation), response, c.options.MaxLineBytes), nil
}

// Resume reads a stream from the token at offset on. It fails with ErrorUnknownStream if the engine
// no longer has the stream.
func (c *Client) Resume(ctx context.Context, id fleet.StreamID, offset int) (*Stream, error) {
	path := streamPath(PathResume, id) + "?offset=" + strconv.Itoa(offset)
	response, err := c.do(ctx, c.streams, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	return newStream(id, offset, response, c.options.MaxLineBytes), nil
}

// Cancel stops a stream and bars later dispatches with the same stream ID. It is idempotent.
func (c *Client) Cancel(ctx context.Context, id fleet.StreamID, incarnation fleet.Incarnation) (CancelResponse, error) {
	var response CancelResponse
	err := c.call(ctx, http.MethodPost, streamPath(PathCancel, id), CancelRequest{Incarnation: incarnation}, &response)
	if err != nil {
		return CancelResponse{}, err
	}
	switch response.State {
	case CancelNeverRan, CancelCancelled, CancelFinished:
		return response, nil
	default:
		return CancelResponse{}, &Error{Code: ErrorProtocol, Message: "cancel response has an unknown state", Sent: true}
	}
}

// Status returns the engine's state and its last load report, which may be stale.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodGet, PathStatus, nil, &status)
	return status, err
}

// PollCacheEvents long-polls for cache events with a sequence number above after, for up to wait. Answers name no
// request, so those that prove nothing end their connection.
func (c *Client) PollCacheEvents(ctx context.Context, after uint64, wait time.Duration) (CacheEvents, error) {
	var events CacheEvents
	path := fmt.Sprintf("%s?after=%d&wait_ms=%d", PathEvents, after, wait.Milliseconds())
	ctx, cancel := context.WithTimeout(ctx, wait+c.options.HeaderTimeout)
	defer cancel()
	err := upstream.DoPoll(ctx, after, func(ctx context.Context) (upstream.Changes, error) {
		events = CacheEvents{}
		err := c.callWith(ctx, c.events, http.MethodGet, path, nil, &events)
		return events.changes(), err
	})
	if errors.Is(err, upstream.ErrOtherPoll) {
		err = &Error{Code: ErrorProtocol, Message: err.Error(), Sent: true, Cause: err}
	}
	if err != nil {
		return CacheEvents{}, err
	}
	return events, nil
}

// changes returns what an answer says about positions. One without events says nothing.
func (e *CacheEvents) changes() upstream.Changes {
	changes := upstream.Changes{Numbers: make([]uint64, len(e.Events))}
	for index := range e.Events {
		changes.Numbers[index] = e.Events[index].Sequence
	}
	return changes
}

// CacheSnapshot returns all cached blocks of the engine.
func (c *Client) CacheSnapshot(ctx context.Context) (CacheSnapshot, error) {
	var snapshot CacheSnapshot
	err := c.call(ctx, http.MethodGet, PathCache, nil, &snapshot)
	return snapshot, err
}

// SendOrder sends an order, which the engine rejects if its fencing token is stale.
func (c *Client) SendOrder(ctx context.Context, order Order) error {
	return c.call(ctx, http.MethodPost, PathOrders, order, nil)
}

// Export returns the cached blocks of a prefix. It fails with ErrorChecksum if the bundle's
// checksum, tenant or model version don't match the request.
func (c *Client) Export(ctx context.Context, request KVExportRequest) (KVBundle, error) {
	var bundle KVBundle
	if err := c.call(ctx, http.MethodPost, PathExport, request, &bundle); err != nil {
		return KVBundle{}, err
	}
	if bundle.ComputeChecksum() != bundle.Checksum || bundle.Tenant != request.Tenant || bundle.ModelVersion != request.ModelVersion {
		return KVBundle{}, &Error{Code: ErrorChecksum, Message: "KV bundle has a wrong checksum, tenant or model version", Sent: true}
	}
	return bundle, nil
}

// Import sends exported blocks to the engine.
func (c *Client) Import(ctx context.Context, bundle KVBundle) error {
	return c.call(ctx, http.MethodPost, PathImport, bundle, nil)
}

func streamPath(pattern string, id fleet.StreamID) string {
	return strings.Replace(pattern, ":id", url.PathEscape(string(id)), 1)
}

// call is callWith for calls that aren't polls.
func (c *Client) call(ctx context.Context, method, path string, body, result any) error {
	return c.callWith(ctx, c.control, method, path, body, result)
}

// callWith sends a request and decodes the JSON response, of at most MaxBodyBytes, into result unless
// that is nil. Without a context deadline it times out after HeaderTimeout.
func (c *Client) callWith(ctx context.Context, client *http.Client, method, path string, body, result any) error {
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.options.HeaderTimeout)
		defer cancel()
	}
	response, err := c.do(ctx, client, method, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, c.options.MaxBodyBytes+1))
	if err != nil {
		return connectionLost(ctx, err)
	}
	if int64(len(data)) > c.options.MaxBodyBytes {
		return &Error{Code: ErrorProtocol, Message: "response body exceeds the size limit", Sent: true}
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return &Error{Code: ErrorProtocol, Message: err.Error(), Sent: true, Cause: err}
	}
	return nil
}

// do sends one request without retries. A response with a status of 300 or more becomes an *Error.
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
	// Without GetBody, net/http can't replay the body on a retry.
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

// readError converts an error response to an *Error. A body that isn't an ErrorBody, such as one
// from an intermediate proxy, yields ErrorProtocol, because it doesn't show whether the engine ran
// the request.
func (c *Client) readError(response *http.Response) *Error {
	var body ErrorBody
	data, err := io.ReadAll(io.LimitReader(response.Body, int64(c.options.MaxLineBytes)))
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	if err != nil || body.Error == "" {
		return &Error{Code: ErrorProtocol, Message: "unrecognized error response with status " + response.Status, Sent: true}
	}
	return &Error{Code: body.Error, Message: body.Message, Incarnation: body.Incarnation, Sent: true}
}

func isMalformed(err error) bool {
	return errors.Is(err, ErrMalformedFrame) || errors.Is(err, ErrLineTooLong)
}
