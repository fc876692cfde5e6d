package peer

import "net/http"

// Names of headers.
const (
	headerContentType = "Content-Type"
	headerUserAgent   = "User-Agent"
	headerDate        = "Date"
)

// minimalHeaders makes calls whose heads hold only what the other side reads. Most calls are as
// short as their heads: of 350 bytes of heads a call and its answer, 180 say nothing.
type minimalHeaders struct {
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (s minimalHeaders) RoundTrip(request *http.Request) (*http.Response, error) {
	short := *request
	short.Header = http.Header{
		headerContentType: request.Header[headerContentType],
		// An empty value keeps net/http from sending its own.
		headerUserAgent: {""},
	}
	return s.next.RoundTrip(&short)
}

// CloseIdleConnections closes the kept connections, as http.Client has it done.
func (s minimalHeaders) CloseIdleConnections() {
	if closer, ok := s.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// MinimalResponseHeaders has a handler answer with the same in mind: a success names neither its type,
// which is the call's, nor the date.
func MinimalResponseHeaders(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		handler.ServeHTTP(&minimalHeaderWriter{ResponseWriter: writer}, request)
	})
}

// minimalHeaderWriter leaves out headers that nobody reads.
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
