package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

// response is what a client got for a request. complete is set if the answer ended as the protocol says.
type response struct {
	status   int
	signed   bool
	body     []byte
	complete bool
	err      error
}

// client sends requests to one front, over connections that it keeps.
type client struct {
	front, host, key string
	http             *http.Client
}

func newClient(front, host, key string) *client {
	return &client{front: front, host: host, key: key, http: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// send sends a request once and reads the answer. The client leaves at its deadline.
func (c *client) send(method, path, id string, body []byte, deadline time.Duration, header map[string]string) response {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.front+path, bytes.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	if len(body) == 0 {
		request.Body, request.ContentLength = http.NoBody, 0
	}
	// Nothing is to be sent a second time by the library.
	request.GetBody = nil
	request.Host = c.host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+c.key)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	got, err := c.http.Do(request)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = got.Body.Close() }()
	content, err := io.ReadAll(got.Body)
	return response{status: got.StatusCode, signed: got.Header.Get("Response-Signature") != "", body: content, complete: err == nil, err: err}
}
