package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// TestEndlessAnswerOfARouterIsNotRead guards against an agent that runs out of memory, since a router answers a call
// without end.
func TestEndlessAnswerOfARouterIsNotRead(t *testing.T) {
	const endless, slack = 256 << 20, 16 << 20
	var sent atomic.Int64
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		writer.Header().Set("Content-Type", "application/protobuf")
		block := make([]byte, 1<<20)
		for sent.Load() < endless {
			count, err := writer.Write(block)
			sent.Add(int64(count))
			if err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	routers := newRouterSet(fleet.NewClock(), routerRanking{}, nil, time.Second)
	router := routers.getOrCreate(fleet.Address(strings.TrimPrefix(server.URL, "http://")))
	_, err := router.client.Sync(t.Context(), &rpc.SyncRequest{})
	require.Error(t, err)
	<-ended
	assert.Less(t, sent.Load(), int64(maxRouterMessageBytes+slack))
}
