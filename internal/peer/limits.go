package peer

import "net/http"

// maxMessageBytes bounds one message to or from another process.
const maxMessageBytes = 8 << 20

// LimitRequests wraps a handler so that requests end with an error beyond maxMessageBytes.
func LimitRequests(handler http.Handler) http.Handler {
	return http.MaxBytesHandler(handler, maxMessageBytes)
}
