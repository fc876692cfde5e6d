// Package boundedhttp bounds what HTTP clients read of responses. Clients that are generated from protobuf
// definitions read whole bodies, whatever their length.
package boundedhttp

import "net/http"

// MaxHeadBytes bounds the heads of responses. net/http takes up to 10 MB by default.
const MaxHeadBytes = 64 << 10

// Transport is a round tripper whose responses end with an *http.MaxBytesError beyond a length.
type Transport struct {
	// Next makes the calls.
	Next http.RoundTripper
	// MaxBodyBytes is the greatest length of a body, in bytes.
	MaxBodyBytes int64
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, t.MaxBodyBytes)
	return response, nil
}

// CloseIdleConnections closes idle connections. http.Client calls it.
func (t Transport) CloseIdleConnections() {
	if closer, ok := t.Next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
