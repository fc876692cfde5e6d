// Package hollow runs many hollow routers in one process beside a small real
// fleet, over loopback, and measures what their membership and configuration
// cost and how fast news reaches all. A hollow router is the product's
// membership, configuration and transport between routers, and nothing else.
package hollow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/lab/capacity"
	"github.com/tillerfall/tillerfall/lab/localfleet"
)

const (
	realRouters = 2
	realEngines = 1
	drained     = "engine-1"
	// startPause spreads the start of the hollow routers.
	startPause   = 20 * time.Millisecond
	pollInterval = 10 * time.Millisecond
	// patience bounds each wait for all to agree.
	patience = 2 * time.Minute
	// settleTime lets the news of the start pass from the routers' queues.
	settleTime = 10 * time.Second
)

// Options sets up a run.
type Options struct {
	// Routers is the number of hollow routers, Kills how many of them crash together.
	Routers int
	Kills   int
	// Changes is the number of commands given to a real router.
	Changes int
	// Steady is how long the steady cost is measured.
	Steady time.Duration
	// Settle is how long the routers are left alone before that.
	Settle time.Duration
	// Document is the configuration of the real fleet.
	Document config.Document
	Seed     uint64
}

// DefaultSettle is the usual Options.Settle.
const DefaultSettle = settleTime

// run is a run under way.
type run struct {
	options  Options
	real     *localfleet.Fleet
	operator operator
	random   *rand.Rand
	traffic  traffic
	nodes    []*node
	figures  []capacity.Figure
}

// Run starts the fleet, measures it and stops it.
func Run(ctx context.Context, options Options) ([]capacity.Figure, error) {
	r := &run{options: options, random: rand.New(rand.NewPCG(options.Seed, 1))}
	err := r.measure(ctx)
	return r.figures, errors.Join(err, r.stop())
}

func (r *run) note(name, unit string, value float64) {
	r.figures = append(r.figures, capacity.Figure{Name: name, Unit: unit, Value: value})
}

func (r *run) measure(ctx context.Context) error {
	for _, step := range []func(context.Context) error{r.startReal, r.startHollow, r.measureSteady, r.measureChanges, r.measureKills} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) startReal(ctx context.Context) error {
	var err error
	r.real, err = localfleet.Start(ctx, localfleet.Options{
		Document: r.options.Document, Routers: realRouters, Engines: realEngines,
		AgentAddress: "127.0.0.1:0", Logger: zerolog.Nop(),
	})
	if err != nil {
		return errors.Wrap(err, "start real fleet")
	}
	r.operator = newOperator(r.real.RouterAddress())
	return nil
}

func (r *run) startHollow(ctx context.Context) error {
	before := capacity.MemoryInUse()
	started := time.Now()
	for number := range r.options.Routers {
		random := rand.New(rand.NewPCG(r.random.Uint64(), 1))
		next, err := startNode(number, []fleet.Address{r.real.RouterAddress()}, &r.traffic, random)
		if err != nil {
			return errors.Wrapf(err, "start hollow router %d", number)
		}
		r.nodes = append(r.nodes, next)
		if err := pause(ctx, startPause); err != nil {
			return err
		}
	}
	if err := r.await(ctx, "join", r.allKnow(r.options.Routers+realRouters)); err != nil {
		return err
	}
	r.note("hollow routers", "1", float64(r.options.Routers))
	r.note("from the first start until all know all", "s", time.Since(started).Seconds())
	if err := pause(ctx, r.options.Settle); err != nil {
		return err
	}
	r.note("memory of a hollow router, its connections included", "B", (capacity.MemoryInUse()-before)/float64(r.options.Routers))
	if open, err := os.ReadDir("/proc/self/fd"); err == nil {
		r.note("open files of the process", "1", float64(len(open)))
	}
	return nil
}

// measureSteady measures what the routers cost while nothing happens. The
// processor time is that of the whole process, the real fleet included.
func (r *run) measureSteady(ctx context.Context) error {
	calls, bytes := r.traffic.calls.Load(), r.traffic.bytes.Load()
	processor, started := capacity.ProcessorTime(), time.Now()
	if err := pause(ctx, r.options.Steady); err != nil {
		return err
	}
	nodeSeconds := float64(r.options.Routers) * time.Since(started).Seconds()
	r.note("steady: calls answered by a router", "1/s", float64(r.traffic.calls.Load()-calls)/nodeSeconds)
	r.note("steady: bytes sent by a router, HTTP included", "B/s", float64(r.traffic.bytes.Load()-bytes)/nodeSeconds)
	r.note("steady: processor time a router, the real fleet's included", "core-µs/s",
		float64((capacity.ProcessorTime()-processor).Microseconds())/nodeSeconds)
	return nil
}

// measureChanges gives commands to a real router and waits until every hollow
// router holds their revisions.
func (r *run) measureChanges(ctx context.Context) error {
	var mean, slowest, commit time.Duration
	for number := range r.options.Changes {
		statement := "drain " + drained
		if number%2 == 1 {
			statement = "admit " + drained
		}
		asked := time.Now()
		answer, err := r.operator.execute(ctx, statement, fmt.Sprintf("hollow-%d", number))
		if err != nil {
			return err
		}
		committed := time.Now()
		revision := fleet.Revision(answer.GetRevision())
		err = r.await(ctx, "change", func() bool {
			return r.all(func(n *node) bool { return n.holder.Revision() >= revision })
		})
		if err != nil {
			return err
		}
		took := time.Since(committed)
		mean += took / time.Duration(r.options.Changes)
		slowest = max(slowest, took)
		commit = max(commit, committed.Sub(asked))
		if err := pause(ctx, time.Second); err != nil {
			return err
		}
	}
	r.note("command at a real router: until answered, slowest", "s", commit.Seconds())
	r.note("then until all hollow routers hold the revision, mean", "s", mean.Seconds())
	r.note("then until all hollow routers hold the revision, slowest", "s", slowest.Seconds())
	return nil
}

// measureKills lets routers crash together and waits until no other lists them.
func (r *run) measureKills(ctx context.Context) error {
	killed := time.Now()
	for _, next := range r.nodes[:r.options.Kills] {
		if err := next.kill(); err != nil {
			return errors.Wrap(err, "kill")
		}
	}
	left := r.options.Routers + realRouters - r.options.Kills
	if err := r.await(ctx, "deaths", r.allKnow(left)); err != nil {
		return err
	}
	r.note(fmt.Sprintf("%d hollow routers crash: until no hollow router lists one", r.options.Kills), "s", time.Since(killed).Seconds())
	return r.await(ctx, "the real router's list", func() bool {
		answer, err := r.operator.execute(ctx, "show routers", "")
		return err == nil && len(answer.GetRows()) == left
	})
}

// all tells whether a condition holds for every hollow router that runs.
func (r *run) all(condition func(*node) bool) bool {
	for _, next := range r.nodes {
		if !next.stopped && !condition(next) {
			return false
		}
	}
	return true
}

// allKnow returns whether every hollow router lists so many members.
func (r *run) allKnow(count int) func() bool {
	return func() bool {
		return r.all(func(n *node) bool { return len(n.peer.Members()) == count })
	}
}

// await polls a condition until it holds.
func (r *run) await(ctx context.Context, what string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for !condition() {
		if err := pause(ctx, pollInterval); err != nil {
			return errors.Wrapf(err, "wait for %s", what)
		}
	}
	return nil
}

func (r *run) stop() error {
	var failures []error
	for _, next := range r.nodes {
		failures = append(failures, next.kill())
	}
	if r.real != nil {
		failures = append(failures, r.real.Stop())
	}
	return errors.Join(failures...)
}

// pause waits; it fails if the context ends before.
func pause(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
