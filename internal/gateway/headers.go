package gateway

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// forwardedHeader returns a copy of the header without its hop-by-hop fields and Content-Length.
func forwardedHeader(header http.Header) http.Header {
	forwarded := make(http.Header, len(header)+8)
	for name, values := range header {
		forwarded[name] = values
	}
	for _, field := range header["Connection"] {
		for _, name := range strings.Split(field, ",") {
			if name = strings.TrimSpace(name); name != "" {
				forwarded.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(forwarded, name)
	}
	delete(forwarded, "Content-Length")
	return forwarded
}

// copyResponseHeader copies the end-to-end fields of a worker's response to the caller's. A missing
// Content-Type stays missing.
func copyResponseHeader(into, from http.Header) {
	for name, values := range forwardedHeader(from) {
		into[name] = values
	}
	if _, named := into["Content-Type"]; !named {
		into["Content-Type"] = nil
	}
}
