package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestStartupHoldBeginsWhenFrontOpens has the process take longer to open its front than
// a request is held.
func TestStartupHoldBeginsWhenFrontOpens(t *testing.T) {
	g := newTestGateway(t)
	time.Sleep(startupHold + 20*time.Millisecond)
	g.readiness.frontOpenedAt.Store(int64(g.now()))
	answered := time.AfterFunc(50*time.Millisecond, func() { close(g.readiness.ready) })
	defer answered.Stop()
	began := g.now()
	g.awaitReady(context.Background())
	assert.GreaterOrEqual(t, g.now()-began, 45*time.Millisecond, "it waits for the store's answer")
}
