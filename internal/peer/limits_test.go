package peer

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

const (
	// endlessBytes is the length of a message without end, in bytes, and slackBytes what may be on the way.
	endlessBytes = 128 << 20
	slackBytes   = 16 << 20
)

func newTestPeer(t *testing.T) *Peer {
	peer, err := New(Options{
		Membership: membership.Options{Self: membership.Member{Node: "self", Address: "127.0.0.1:1"}}, Holder: config.NewHolder(),
	})
	require.NoError(t, err)
	return peer
}

// TestEndlessAnswerOfAMemberIsNotRead guards against a process that runs out of memory, since another one
// answers a call without end.
func TestEndlessAnswerOfAMemberIsNotRead(t *testing.T) {
	var sent atomic.Int64
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		writer.Header().Set("Content-Type", "application/protobuf")
		block := make([]byte, 1<<20)
		for sent.Load() < endlessBytes {
			count, err := writer.Write(block)
			sent.Add(int64(count))
			if err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	_, err := newTestPeer(t).ExchangeLoad(t.Context(), address(server), &rpc.LoadReport{Node: "self"})
	require.Error(t, err)
	<-ended
	assert.Less(t, sent.Load(), int64(maxMessageBytes+slackBytes))
}

// TestEndlessCallOfAMemberIsNotRead guards against a process that runs out of memory, since another one sends a
// call without end.
func TestEndlessCallOfAMemberIsNotRead(t *testing.T) {
	server := httptest.NewServer(LimitRequests(rpc.NewPeerServer(newTestPeer(t))))
	t.Cleanup(server.Close)
	content := &countingReader{Reader: io.LimitReader(zeros{}, endlessBytes)}
	response, err := http.Post(server.URL+rpc.PeerPathPrefix+"ShareLoad", "application/protobuf", content)
	if err == nil {
		_ = response.Body.Close()
		assert.NotEqual(t, http.StatusOK, response.StatusCode)
	}
	assert.Less(t, content.count.Load(), int64(maxMessageBytes+slackBytes))
}

// TestLargeMessagesPass guards against limits that cut what members do send.
func TestLargeMessagesPass(t *testing.T) {
	answered := &rpc.LoadReport{Node: string(bytes.Repeat([]byte("n"), 4<<20))}
	server := httptest.NewServer(LimitRequests(rpc.NewPeerServer(&answeringPeer{Peer: newTestPeer(t), answer: answered})))
	t.Cleanup(server.Close)
	got, err := newTestPeer(t).ExchangeLoad(t.Context(), address(server), answered)
	require.NoError(t, err)
	assert.Len(t, got.GetNode(), 4<<20)
}

// zeros reads zeros without end.
type zeros struct{}

func (zeros) Read(into []byte) (int, error) {
	clear(into)
	return len(into), nil
}

// countingReader counts the bytes read.
type countingReader struct {
	io.Reader
	count atomic.Int64
}

func (c *countingReader) Read(into []byte) (int, error) {
	count, err := c.Reader.Read(into)
	c.count.Add(int64(count))
	return count, err
}
