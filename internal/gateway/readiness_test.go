package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestStartupHoldBeginsWhenFrontOpens guards against refusing the first requests when the process
// takes longer than startupHold to open its front.
func TestStartupHoldBeginsWhenFrontOpens(t *testing.T) {
	g := newTestGateway(t)
	time.Sleep(startupHold + 20*time.Millisecond)
	g.readiness.frontOpenedAt.Store(int64(g.now()))
	answered := time.AfterFunc(50*time.Millisecond, func() { close(g.readiness.ready) })
	defer answered.Stop()
	start := g.now()
	g.awaitReady(context.Background())
	assert.GreaterOrEqual(t, g.now()-start, 45*time.Millisecond, "must wait for the store's response")
}
