package peer

import "net/http"

// Header names.
const (
	headerContentType = "Content-Type"
	headerUserAgent   = "User-Agent"
	headerDate        = "Date"
)

// minimalHeaders sends requests with only the headers that the server reads, since most calls are
// as small as their headers.
type minimalHeaders struct {
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (m minimalHeaders) RoundTrip(request *http.Request) (*http.Response, error) {
	minimal := *request
	minimal.Header = http.Header{
		headerContentType: request.Header[headerContentType],
		// An empty value keeps net/http from sending its default.
		headerUserAgent: {""},
	}
	return m.next.RoundTrip(&minimal)
}

// CloseIdleConnections closes idle connections. http.Client calls it.
func (m minimalHeaders) CloseIdleConnections() {
	if closer, ok := m.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// MinimalResponseHeaders wraps a handler to omit headers that the callers do not read: the date,
// and the content type of a successful response, which is fixed for each call.
func MinimalResponseHeaders(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		handler.ServeHTTP(&minimalHeaderWriter{ResponseWriter: writer}, request)
	})
}

// minimalHeaderWriter omits headers that the callers do not read.
type minimalHeaderWriter struct {
	http.ResponseWriter
}

// WriteHeader implements http.ResponseWriter.
func (w *minimalHeaderWriter) WriteHeader(status int) {
	header := w.Header()
	header[headerDate] = nil
	if status == http.StatusOK {
		header[headerContentType] = nil
	}
	w.ResponseWriter.WriteHeader(status)
}
