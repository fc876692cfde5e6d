package gateway

import (
	"net"
	"net/http"
	runtimemetrics "runtime/metrics"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/nodecapacity"
)

// Constants of a node's own pressure.
const (
	// pressureInterval is the time between two looks at what this node uses.
	pressureInterval = 250 * time.Millisecond
	// pressureRest is the same at a node at rest, whose use changes slowly.
	pressureRest = time.Second
	// usageWeight is the part of one interval in the mean use of the processor, which so
	// lasts some 0.8 s: a collection of garbage alone doesn't count.
	usageWeight = 0.3
	// quietDescriptors are those that aren't counted one by one: listeners, calls to the
	// store, to engines and to other nodes.
	quietDescriptors = 64
	// connectionPart is the part of the descriptors up to which connections are taken at
	// all. A process without descriptors can neither take connections nor reach workers.
	connectionPart = 0.97
	// releasedMemory and totalMemory are the runtime's names of what it has given back, and
	// of all that it has mapped, in bytes.
	releasedMemory = "/memory/classes/heap/released:bytes"
	totalMemory    = "/memory/classes/total:bytes"
	bytesPerMB     = 1 << 20
)

// consumption is what the process uses at a moment.
type consumption struct {
	// processor is the processor time since the start.
	processor time.Duration
	// memory is in bytes.
	memory uint64
	// descriptors are the open connections.
	descriptors int
}

// pressure follows how near this node is to its limits. Its meter belongs to
// drivePressure alone.
type pressure struct {
	meter     nodecapacity.Meter
	processor float64
	last      consumption
	lastAt    time.Duration
	current   atomic.Uint32
	scarcest  atomic.Uint32
	// connections counts those that servers have open, and workerConnections those to
	// workers at the last look.
	connections       atomic.Int64
	workerConnections atomic.Int64
}

// level returns this node's pressure at the last look.
func (p *pressure) level() nodecapacity.Pressure { return nodecapacity.Pressure(p.current.Load()) }

// scarce returns the resource that this node was shortest of at the last look.
func (p *pressure) scarce() nodecapacity.Resource { return nodecapacity.Resource(p.scarcest.Load()) }

// observe takes in what is used at now, and returns the pressure before and after.
func (p *pressure) observe(now time.Duration, used consumption, limits nodecapacity.Limits) (before, after nodecapacity.Pressure) {
	if elapsed := now - p.lastAt; elapsed > 0 && p.lastAt > 0 {
		busy := float64(used.processor-p.last.processor) / float64(elapsed)
		p.processor += (busy - p.processor) * usageWeight
	}
	p.last, p.lastAt = used, now
	var usage nodecapacity.Usage
	if limits.ProcessorShare > 0 {
		usage[nodecapacity.Processor] = p.processor / limits.ProcessorShare
	}
	if limits.MemoryMB > 0 {
		usage[nodecapacity.Memory] = float64(used.memory) / float64(limits.MemoryMB*bytesPerMB)
	}
	if limits.FileDescriptors > 0 {
		usage[nodecapacity.Descriptors] = float64(used.descriptors) / float64(limits.FileDescriptors-nodecapacity.ReservedDescriptors)
	}
	before = p.meter.Pressure()
	after = p.meter.Observe(now, usage)
	p.current.Store(uint32(after))
	p.scarcest.Store(uint32(p.meter.ScarcestResource()))
	return before, after
}

// drivePressure measures what this node uses, until the process ends.
func (g *Gateway) drivePressure() error {
	for g.pauseOrRest(g.pressurePause()) {
		used, err := g.consumed()
		if err != nil {
			g.events.line("usage_unread").Err(err).Msg("usage_unread")
			continue
		}
		g.takeUsage(g.now(), used)
	}
	return nil
}

// pressurePause returns the time until the next look.
func (g *Gateway) pressurePause() time.Duration {
	if g.resting() {
		return pressureRest
	}
	return pressureInterval
}

// takeUsage takes in what this node uses at now.
func (g *Gateway) takeUsage(now time.Duration, used consumption) {
	before, after := g.pressure.observe(now, used, g.settings().Limits)
	g.origins.press(now, g.node, after)
	g.metrics.pressure.Set(float64(after))
	if before == after {
		return
	}
	g.logger.Info().Stringer("pressure", after).Stringer("before", before).Stringer("scarce", g.pressure.meter.ScarcestResource()).
		Float64("processor", g.pressure.processor).Uint64("memory", used.memory).Int("descriptors", used.descriptors).
		Msg("pressure_changed")
}

// consumed returns what the process uses.
func (g *Gateway) consumed() (consumption, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return consumption{}, errors.Wrap(err, "processor time")
	}
	samples := []runtimemetrics.Sample{{Name: totalMemory}, {Name: releasedMemory}}
	runtimemetrics.Read(samples)
	g.pressure.workerConnections.Store(int64(g.upstreams.Open()))
	return consumption{
		processor:   time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		memory:      samples[0].Value.Uint64() - samples[1].Value.Uint64(),
		descriptors: g.pressure.descriptors(),
	}, nil
}

// descriptors returns the number of open descriptors, nearly.
func (p *pressure) descriptors() int {
	return int(p.connections.Load()+p.workerConnections.Load()) + quietDescriptors
}

// countConnection is a ConnState hook of all servers.
func (p *pressure) countConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		p.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		p.connections.Add(-1)
	default:
	}
}

// boundedListener closes connections beyond a bound at once: their callers know by that that
// nothing was read, and take another node. Waiting ones would use up the descriptors with
// which requests under way are carried.
type boundedListener struct {
	net.Listener
	// room tells whether another connection can be taken.
	room func() bool
	// refused is called for each connection that is closed.
	refused func()
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || l.room() {
			return conn, err
		}
		l.refused()
		_ = conn.Close()
	}
}

// hasRoom tells whether this node can take another connection.
func (g *Gateway) hasRoom() bool {
	limits := g.settings().Limits
	if limits.FileDescriptors == 0 {
		return true
	}
	bound := float64(limits.FileDescriptors-nodecapacity.ReservedDescriptors) * connectionPart
	return float64(g.pressure.descriptors()) < bound
}
