package peer

import "net/http"

const (
	// maxMessageBytes bounds one message to or from another process. Generated clients and servers read whole
	// bodies.
	maxMessageBytes = 8 << 20
	// maxResponseHeadBytes bounds the head of a response.
	maxResponseHeadBytes = 16 << 10
)

// limitedResponses is a round tripper whose responses end with an error beyond maxMessageBytes.
type limitedResponses struct {
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (l limitedResponses) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := l.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, maxMessageBytes)
	return response, nil
}

// CloseIdleConnections closes idle connections. http.Client calls it.
func (l limitedResponses) CloseIdleConnections() {
	if closer, ok := l.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// LimitRequests wraps a handler so that requests end with an error beyond maxMessageBytes.
func LimitRequests(handler http.Handler) http.Handler {
	return http.MaxBytesHandler(handler, maxMessageBytes)
}
