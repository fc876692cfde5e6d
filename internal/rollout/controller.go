package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Defaults of ControllerOptions.
const (
	DefaultInterval       = 500 * time.Millisecond
	DefaultOrderTimeout   = 2 * time.Second
	DefaultParallelOrders = 16
)

// Orderer sends an order to an engine and waits for the response.
type Orderer interface {
	Order(ctx context.Context, engine fleet.EngineID, order engine.Order) error
}

// Lease returns the current fencing token, and whether this process holds the lease and may send
// orders.
type Lease interface {
	Fence() (fleet.FencingToken, bool)
}

// ControllerOptions configures a Controller. Zero durations and counts take the defaults.
type ControllerOptions struct {
	Lease   Lease
	Orderer Orderer
	// Document returns the current configuration, nil if there is none.
	Document func() *config.Document
	// Engines returns the engines with a fresh status.
	Engines func() []Engine
	Planner *Planner
	Clock   fleet.Clock
	Logger  zerolog.Logger
	// Interval is the time between two plans.
	Interval time.Duration
	// OrderTimeout is the timeout of one order.
	OrderTimeout time.Duration
	// ParallelOrders is the maximum number of orders in flight.
	ParallelOrders int
}

// Controller plans and sends orders while the lease is held. A failed order is planned again,
// because the engine's status doesn't show its effect.
type Controller struct {
	options ControllerOptions
	tomb    tomb.Tomb
}

// NewController returns a controller that isn't started.
func NewController(options ControllerOptions) *Controller {
	if options.Interval <= 0 {
		options.Interval = DefaultInterval
	}
	if options.OrderTimeout <= 0 {
		options.OrderTimeout = DefaultOrderTimeout
	}
	if options.ParallelOrders <= 0 {
		options.ParallelOrders = DefaultParallelOrders
	}
	return &Controller{options: options}
}

// Start starts the planning loop.
func (c *Controller) Start() { c.tomb.Go(c.run) }

// Stop cancels orders in flight and waits for the loop to end.
func (c *Controller) Stop() error {
	c.tomb.Kill(nil)
	return c.tomb.Wait()
}

// Dead returns a channel that is closed when the controller has stopped.
func (c *Controller) Dead() <-chan struct{} { return c.tomb.Dead() }

func (c *Controller) run() error {
	ticker := time.NewTicker(c.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-c.tomb.Dying():
			return nil
		case <-ticker.C:
			c.reconcile()
		}
	}
}

// reconcile makes a plan and sends its orders.
func (c *Controller) reconcile() {
	if _, held := c.options.Lease.Fence(); !held {
		return
	}
	orders := c.options.Planner.Plan(c.options.Clock.Now(), c.options.Document(), c.options.Engines())
	queue := make(chan Order)
	var workers sync.WaitGroup
	for range min(len(orders), c.options.ParallelOrders) {
		workers.Go(func() {
			for order := range queue {
				c.send(order)
			}
		})
	}
	for _, order := range orders {
		queue <- order
	}
	close(queue)
	workers.Wait()
}

// send sends an order. It checks the lease right before, since the process may have been suspended
// since the plan was made.
func (c *Controller) send(order Order) {
	ctx, cancel := context.WithTimeout(c.tomb.Context(context.Background()), c.options.OrderTimeout)
	defer cancel()
	token, held := c.options.Lease.Fence()
	if !held {
		c.log(c.options.Logger.Warn(), order).Msg("order_dropped_without_lease")
		return
	}
	order.Order.Fence = token
	if err := c.options.Orderer.Order(ctx, order.Engine, order.Order); err != nil {
		c.log(c.options.Logger.Warn(), order).Err(err).Msg("order_failed")
		return
	}
	c.log(c.options.Logger.Info(), order).Msg("order_accepted")
}

func (c *Controller) log(event *zerolog.Event, order Order) *zerolog.Event {
	return event.
		Str("engine", string(order.Engine)).
		Uint64("incarnation", uint64(order.Order.Incarnation)).
		Str("order", string(order.Order.Kind)).
		Str("model", string(order.Order.ModelVersion.Model)).
		Str("adapter", string(order.Order.ModelVersion.Adapter)).
		Str("version", string(order.Order.ModelVersion.Version)).
		Str("role", string(order.Order.Role)).
		Uint64("token", uint64(order.Order.Fence))
}
