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

// Orderer sends one order to an engine and waits for its answer.
type Orderer interface {
	Order(ctx context.Context, engine fleet.EngineID, order engine.Order) error
}

// Lease tells at each call whether this process may order, and under which
// fencing token. lease.Keeper implements it.
type Lease interface {
	Fence() (fleet.FencingToken, bool)
}

// ControllerOptions sets up a Controller. Durations and counts that are zero
// take the defaults.
type ControllerOptions struct {
	Lease   Lease
	Orderer Orderer
	// Document returns the configuration in force, nil if none is known.
	Document func() *config.Document
	// Engines returns the engines whose status is known and fresh.
	Engines func() []Engine
	Planner *Planner
	Clock   fleet.Clock
	Logger  zerolog.Logger
	// Interval is the time between plans.
	Interval time.Duration
	// OrderTimeout bounds one order.
	OrderTimeout time.Duration
	// ParallelOrders bounds the orders under way at once.
	ParallelOrders int
}

// Controller plans and sends orders while the lease is held. An order that
// fails is planned again, because the engine's status doesn't show its effect.
type Controller struct {
	options ControllerOptions
	tomb    tomb.Tomb
}

// NewController returns a controller that hasn't started.
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

// Start begins to plan.
func (c *Controller) Start() { c.tomb.Go(c.run) }

// Stop cancels the orders under way and waits.
func (c *Controller) Stop() error {
	c.tomb.Kill(nil)
	return c.tomb.Wait()
}

// Dead is closed when the controller has ended.
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

// reconcile makes and carries out one plan.
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

// send checks the lease at the last moment: the process may have been frozen
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
		Str("model", string(order.Order.Weights.Model)).
		Str("adapter", string(order.Order.Weights.Adapter)).
		Str("version", string(order.Order.Weights.Version)).
		Str("role", string(order.Order.Role)).
		Uint64("token", uint64(order.Order.Fence))
}
