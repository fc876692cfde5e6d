package platform

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// TestEndlessAnswerOfThePlatformIsNotRead guards against an answer that decides how much memory a router or an agent
// takes.
func TestEndlessAnswerOfThePlatformIsNotRead(t *testing.T) {
	// unread is what the connection's buffers may hold, in bytes.
	const unread = 12 << 20
	for name, test := range map[string]struct {
		status int
		bound  int64
		call   func(ctx context.Context, client *Client) error
	}{
		"row": {http.StatusOK, maxRowBytes, func(ctx context.Context, client *Client) error {
			_, err := client.Get(ctx, "key")
			return err
		}},
		"rows": {http.StatusOK, maxPageBytes, func(ctx context.Context, client *Client) error {
			_, err := client.List(ctx, "", "", MaxListRows)
			return err
		}},
		"object": {http.StatusOK, maxPageBytes, func(ctx context.Context, client *Client) error {
			_, err := client.GetObject(ctx, "name")
			return err
		}},
		"machines": {http.StatusOK, maxPageBytes, func(ctx context.Context, client *Client) error {
			_, err := client.ListMachines(ctx)
			return err
		}},
		"weight store": {http.StatusOK, maxStatusBytes, func(ctx context.Context, client *Client) error {
			_, err := client.WeightStore(ctx)
			return err
		}},
		"error": {http.StatusInternalServerError, maxStatusBytes, func(ctx context.Context, client *Client) error {
			_, err := client.ListMachines(ctx)
			return err
		}},
		"refused write": {http.StatusConflict, maxStatusBytes, func(ctx context.Context, client *Client) error {
			return client.Commit(ctx, Transaction{})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			ended := make(chan struct{})
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				defer close(ended)
				writer.WriteHeader(test.status)
				zeros := make([]byte, 64<<10)
				for sent.Load() < 256<<20 {
					count, err := writer.Write(zeros)
					sent.Add(int64(count))
					if err != nil {
						return
					}
				}
			}))
			server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
				if tcp, isTCP := conn.(*net.TCPConn); isTCP && state == http.StateNew {
					_ = tcp.SetWriteBuffer(64 << 10)
				}
			}
			server.Start()
			defer server.Close()
			client := NewClient(ClientOptions{Address: fleet.Address(strings.TrimPrefix(server.URL, "http://"))})
			defer client.Close()
			require.Error(t, test.call(t.Context(), client))
			<-ended
			assert.Less(t, sent.Load(), test.bound+unread)
		})
	}
}

// TestLongestPageOfThePlatformIsRead guards against a bound that ends whole answers.
func TestLongestPageOfThePlatformIsRead(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write(make([]byte, maxPageBytes))
	}))
	defer server.Close()
	client := NewClient(ClientOptions{Address: fleet.Address(strings.TrimPrefix(server.URL, "http://"))})
	defer client.Close()
	body, err := client.GetObject(t.Context(), "name")
	require.NoError(t, err)
	assert.Len(t, body, maxPageBytes)
}
