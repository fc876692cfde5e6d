package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Names that the configuration and the clients use.
const (
	routeHost = "jepu9.example"
	apiKey    = "ctnfzs989anu6wsjnban"
)

// reply is an answer as a client received it.
type reply struct {
	status    int
	signature string
	body      string
	// err is set if there was no answer, or if it ended early.
	err error
}

// send sends a request on a new connection.
func send(address, method, path, requestID string, deadline time.Duration, headers map[string]string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+2*time.Second)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("body of " + requestID)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return reply{err: err}
	}
	request.Host = routeHost
	request.Header.Set("Request-Id", requestID)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Deadline-Ms", formatMillis(deadline))
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{}).DialContext}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, signature: response.Header.Get("Response-Signature"), body: string(content), err: err}
}
