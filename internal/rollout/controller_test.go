package rollout

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// recorder implements Lease and Orderer. The lease is lost after the given number of checks.
type recorder struct {
	mutex  sync.Mutex
	checks int
	token  fleet.FencingToken
	fail   bool
	hang   bool
	orders []Order
}

func (r *recorder) Fence() (fleet.FencingToken, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.checks == 0 {
		return 0, false
	}
	r.checks--
	return r.token, true
}

func (r *recorder) Order(ctx context.Context, id fleet.EngineID, order engine.Order) error {
	if r.hang {
		<-ctx.Done()
		return ctx.Err()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.fail {
		r.fail = false
		return errors.New("connection reset")
	}
	r.orders = append(r.orders, Order{Engine: id, Order: order})
	return nil
}

func (r *recorder) sent() []Order {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.orders)
}

func startController(t *testing.T, recorder *recorder) *Controller {
	document := testDocument(config.VersionServing, config.VersionRetired)
	controller := NewController(ControllerOptions{
		Lease:    recorder,
		Orderer:  recorder,
		Document: func() *config.Document { return document },
		Engines:  func() []Engine { return []Engine{testEngine("a"), testEngine("b")} },
		Planner:  NewPlanner(PlannerSettings{}),
		Clock:    fleet.NewRuntimeClock(),
		Logger:   zerolog.Nop(),
		Interval: time.Second,
		// Orders are sent one at a time, so that the lease is lost between two of them.
		ParallelOrders: 1,
	})
	controller.Start()
	return controller
}

func TestLeaseIsCheckedRightBeforeEachOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder := &recorder{checks: 2, token: 7} // one for the plan and one for an order
		controller := startController(t, recorder)
		time.Sleep(time.Minute)
		want := loadOrder("a", oldVersion)
		want.Order.Fence = 7
		assert.Equal(t, []Order{want}, recorder.sent())
		require.NoError(t, controller.Stop())
	})
}

func TestFailedOrderIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder := &recorder{checks: 1000, token: 1, fail: true}
		controller := startController(t, recorder)
		time.Sleep(2 * time.Second)
		require.Len(t, recorder.sent(), 1)
		time.Sleep(DefaultStatusGrace)
		sent := recorder.sent()
		assert.True(t, slices.ContainsFunc(sent, func(order Order) bool { return order.Engine == "a" }))
		require.NoError(t, controller.Stop())
	})
}

func TestStopCancelsAHangingOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder := &recorder{checks: 1000, hang: true}
		controller := startController(t, recorder)
		time.Sleep(1500 * time.Millisecond)
		start := time.Now()
		require.NoError(t, controller.Stop())
		assert.Zero(t, time.Since(start))
	})
}
