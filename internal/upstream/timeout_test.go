package upstream

import (
	"context"
	"net"
	"net/http"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// A timeout on a reused connection must close the idle connections to the same worker; any other
// error must not.
func TestTimeoutOnReusedConnectionClosesIdleOnes(t *testing.T) {
	for name, failure := range map[string]error{"timeout": os.ErrDeadlineExceeded, "reset": net.ErrClosed} {
		t.Run(name, func(t *testing.T) {
			pool := NewPool(Options{})
			for range 3 {
				pool.mutex.Lock()
				if pool.workers["w"] == nil {
					pool.workers["w"] = &worker{}
				}
				pool.workers["w"].open++
				pool.mutex.Unlock()
				near, far := net.Pipe()
				t.Cleanup(func() { near.Close(); far.Close() })
				pool.release(&connection{engine: "w", raw: near, keepAlive: DefaultIdleTimeout})
			}
			destination := Destination{Engine: "w"}
			pool.onExchangeFailed(destination, true, failure)
			kept := 0
			if state := pool.workers[fleet.EngineID("w")]; state != nil {
				kept = len(state.idle)
			}
			assert.Equal(t, map[string]int{"timeout": 0, "reset": 3}[name], kept)
		})
	}
}

// A failure to connect must be reported as not sent.
func TestDialFailureIsReportedAsNotSent(t *testing.T) {
	pool := NewPool(Options{Dial: func(context.Context, Destination) (net.Conn, error) { return nil, os.ErrDeadlineExceeded }})
	_, err := pool.Do(context.Background(), Destination{Engine: "w"}, &Request{Method: http.MethodGet, Target: "/", Header: http.Header{}})
	var failure *ExchangeError
	require.ErrorAs(t, err, &failure)
	assert.Equal(t, NotSent, failure.Stage)
}
