package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Default values of ClientOptions.
const (
	DefaultTimeout        = 2 * time.Second
	DefaultConnectTimeout = time.Second
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// Address is the service's "host:port".
	Address fleet.Address
	// Timeout limits a call from connecting to the last byte of the response; 0 means
	// DefaultTimeout.
	Timeout time.Duration
	// ConnectTimeout limits the time to connect; 0 means DefaultConnectTimeout.
	ConnectTimeout time.Duration
}

// Client calls the platform over HTTP. It implements Tables, Objects and Machines and is safe for
// concurrent use. Each method sends at most one request; retries are left to the caller, because
// the service is rate-limited.
type Client struct {
	base    url.URL
	timeout time.Duration
	http    *http.Client
}

var (
	_ Tables   = (*Client)(nil)
	_ Objects  = (*Client)(nil)
	_ Machines = (*Client)(nil)
)

// NewClient returns a client. It opens no connection.
func NewClient(options ClientOptions) *Client {
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.ConnectTimeout <= 0 {
		options.ConnectTimeout = DefaultConnectTimeout
	}
	return &Client{
		base:    url.URL{Scheme: "http", Host: string(options.Address)},
		timeout: options.Timeout,
		http:    newHTTPClient(options.ConnectTimeout),
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Tables.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	query := url.Values{ParameterKey: {key}}
	body, err := c.read(ctx, PathRow, query, maxRowBytes)
	if err != nil {
		return Row{}, errors.Wrap(err, "get row")
	}
	row, err := decodeRow(body, key)
	return row, wrap(err, "get row")
}

// List implements Tables. The service returns at most MaxListRows rows.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{
		ParameterPrefix: {prefix},
		ParameterAfter:  {after},
		ParameterLimit:  {strconv.Itoa(limit)},
	}
	body, err := c.read(ctx, PathRows, query, maxPageBytes)
	if err != nil {
		return nil, errors.Wrap(err, "list rows")
	}
	rows, err := decodeRows(body, prefix, after)
	return rows, wrap(err, "list rows")
}

// Commit implements Tables.
func (c *Client) Commit(ctx context.Context, transaction Transaction) error {
	body, err := json.Marshal(transaction)
	if err != nil {
		return errors.Wrap(err, "encode transaction")
	}
	return wrap(c.write(ctx, http.MethodPost, PathCommit, nil, body), "commit")
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	body, err := c.read(ctx, PathObject, url.Values{ParameterName: {name}}, maxPageBytes)
	return body, wrap(err, "get object")
}

// PutObject implements Objects. After ErrUnknownOutcome the object may or may not have been
// replaced.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	query := url.Values{ParameterName: {name}}
	return wrap(c.write(ctx, http.MethodPut, PathObject, query, body), "put object")
}

// ListMachines implements Machines.
func (c *Client) ListMachines(ctx context.Context) ([]Machine, error) {
	body, err := c.read(ctx, PathMachines, nil, maxPageBytes)
	if err != nil {
		return nil, errors.Wrap(err, "list machines")
	}
	machines, err := decodeMachines(body)
	return machines, wrap(err, "list machines")
}

// WeightStore returns the current load of the weight store.
func (c *Client) WeightStore(ctx context.Context) (WeightStoreStatus, error) {
	body, err := c.read(ctx, PathWeights, nil, maxStatusBytes)
	if err != nil {
		return WeightStoreStatus{}, errors.Wrap(err, "weight store status")
	}
	status, err := decodeWeightStoreStatus(body)
	return status, wrap(err, "weight store status")
}

// wrap adds the operation to a non-nil error. Unlike errors.Wrap it returns nil for nil.
func wrap(err error, operation string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, operation)
}

// read sends a GET request and returns the response body of at most maxBytes. Since reads have no effect, failures
// without a conclusive response are ErrUnavailable rather than ErrUnknownOutcome.
func (c *Client) read(ctx context.Context, path string, query url.Values, maxBytes int64) ([]byte, error) {
	result, err := c.do(ctx, http.MethodGet, path, query, nil, maxBytes, ErrUnavailable)
	if err != nil {
		return nil, err
	}
	if result.status == http.StatusOK {
		if errors.Is(result.bodyErr, ErrTooLarge) {
			return nil, errors.Join(ErrUnavailable, result.bodyErr)
		}
		if result.bodyErr != nil {
			return nil, errors.Wrap(ErrUnavailable, result.bodyErr.Error())
		}
		return result.body, nil
	}
	kind := errorForStatus(result.status)
	if errors.Is(kind, ErrUnknownOutcome) {
		kind = ErrUnavailable
	}
	return nil, wrapStatusError(kind, result)
}

// write sends a request that has an effect. The status alone determines success, so an incomplete
// response body is ignored.
func (c *Client) write(ctx context.Context, method, path string, query url.Values, body []byte) error {
	result, err := c.do(ctx, method, path, query, bytes.NewReader(body), maxStatusBytes, ErrUnknownOutcome)
	if err != nil {
		return err
	}
	if result.status >= http.StatusOK && result.status < http.StatusMultipleChoices {
		return nil
	}
	return statusError(result)
}
