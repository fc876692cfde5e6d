package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const rejection = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

// identified returns a request to which only answers with its identifier, or rejections without any, are
// taken for the answer.
func identified(id string) *Request {
	request := postRequest("")
	request.Identify = func(status int, header http.Header) Identity {
		switch named := header.Get("Id"); {
		case named == id:
			return Identified
		case named == "" && status == http.StatusServiceUnavailable:
			return Unidentified
		default:
			return Foreign
		}
	}
	return request
}

// TestLateCopyOfARejectionAnswersNoOtherRequest guards against a copy of a rejection that comes in place of
// the answer to the next request, which runs: it would be sent on to another worker.
func TestLateCopyOfARejectionAnswersNoOtherRequest(t *testing.T) {
	destination := newWorker(t, func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		answer := rejection
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, answer)
			answer = rejection + "HTTP/1.1 200 OK\r\nId: second\r\nContent-Length: 0\r\n\r\n"
		}
	})
	dials := 0
	pool := NewPool(Options{OnDial: func(fleet.EngineID) { dials++ }})
	for _, id := range []string{"first", "second", "third"} {
		response, err := pool.Do(context.Background(), destination, identified(id))
		require.NoError(t, err)
		assert.True(t, response.Unidentified)
		_, err = io.ReadAll(response)
		require.NoError(t, err)
		response.Close()
	}
	assert.Equal(t, 3, dials, "no connection carries a request after an answer that names none")
	assert.Zero(t, pool.OpenConnections())
}

// TestIdentifiedAnswersKeepTheirConnection guards against a new connection for each request.
func TestIdentifiedAnswersKeepTheirConnection(t *testing.T) {
	destination := newWorker(t, func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nId: same\r\nContent-Length: 0\r\n\r\n")
		}
	})
	dials := 0
	pool := NewPool(Options{OnDial: func(fleet.EngineID) { dials++ }})
	for range 3 {
		response, err := pool.Do(context.Background(), destination, identified("same"))
		require.NoError(t, err)
		_, err = io.ReadAll(response)
		require.NoError(t, err)
		response.Close()
	}
	assert.Equal(t, 1, dials)
	_, err := pool.Do(context.Background(), destination, identified("other"))
	require.ErrorIs(t, err, ErrResponseMismatch)
	assert.Zero(t, pool.OpenConnections(), "closed, since it may bring more")
}
