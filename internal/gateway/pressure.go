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
	// pressureIdleInterval is the same at a node at rest, whose use changes slowly.
	pressureIdleInterval = time.Second
	// usageSmoothing is the part of one interval in the mean use of the processor, which so
	// lasts some 0.8 s: a collection of garbage alone doesn't count.
	usageSmoothing = 0.3
	// baseDescriptors are those that aren't counted one by one: listeners, calls to the
	// store, to engines and to other nodes.
	baseDescriptors = 64
	// maxConnectionFraction is the part of the descriptors up to which connections are taken at
	// all. A process without descriptors can neither take connections nor reach workers.
	maxConnectionFraction = 0.97
	// releasedMemory and totalMemory are the runtime's names of what it has given back, and
	// of all that it has mapped, in bytes.
	releasedMemory = "/memory/classes/heap/released:bytes"
	totalMemory    = "/memory/classes/total:bytes"
	bytesPerMB     = 1 << 20
)

// resourceUsage is what the process uses at a moment.
type resourceUsage struct {
	// processor is the processor time since the start.
	processor time.Duration
	// memory is in bytes.
	memory uint64
	// descriptors are the open connections.
	descriptors int
}

// pressureMonitor follows how near this node is to its limits. Its meter belongs to
// drivePressure alone.
type pressureMonitor struct {
	meter        nodecapacity.Meter
	processorUse float64
	lastUsage    resourceUsage
	lastAt       time.Duration
	currentLevel atomic.Uint32
	scarcest     atomic.Uint32
	// connections counts those that servers have open, and workerConnections those to
	// workers at the last look.
	connections       atomic.Int64
	workerConnections atomic.Int64
}

// level returns this node's pressure at the last look.
func (p *pressureMonitor) level() nodecapacity.Pressure {
	return nodecapacity.Pressure(p.currentLevel.Load())
}

// scarcestResource returns the resource that this node was shortest of at the last look.
func (p *pressureMonitor) scarcestResource() nodecapacity.Resource {
	return nodecapacity.Resource(p.scarcest.Load())
}

// observe takes in what is used at now, and returns the pressure before and after.
func (p *pressureMonitor) observe(now time.Duration, used resourceUsage, limits nodecapacity.Limits) (before, after nodecapacity.Pressure) {
	if elapsed := now - p.lastAt; elapsed > 0 && p.lastAt > 0 {
		busy := float64(used.processor-p.lastUsage.processor) / float64(elapsed)
		p.processorUse += (busy - p.processorUse) * usageSmoothing
	}
	p.lastUsage, p.lastAt = used, now
	var usage nodecapacity.Usage
	if limits.ProcessorShare > 0 {
		usage[nodecapacity.Processor] = p.processorUse / limits.ProcessorShare
	}
	if limits.MemoryMB > 0 {
		usage[nodecapacity.Memory] = float64(used.memory) / float64(limits.MemoryMB*bytesPerMB)
	}
	if limits.FileDescriptors > 0 {
		usage[nodecapacity.Descriptors] = float64(used.descriptors) / float64(limits.FileDescriptors-nodecapacity.ReservedDescriptors)
	}
	before = p.meter.Pressure()
	after = p.meter.Observe(now, usage)
	p.currentLevel.Store(uint32(after))
	p.scarcest.Store(uint32(p.meter.Scarce()))
	return before, after
}

// monitorPressure measures what this node uses, until the process ends.
func (g *Gateway) monitorPressure() error {
	for g.pauseOrRest(g.pressureSampleInterval()) {
		used, err := g.measureUsage()
		if err != nil {
			g.events.line("usage_unread").Err(err).Msg("usage_unread")
			continue
		}
		g.recordUsage(g.now(), used)
	}
	return nil
}

// pressureSampleInterval returns the time until the next look.
func (g *Gateway) pressureSampleInterval() time.Duration {
	if g.resting() {
		return pressureIdleInterval
	}
	return pressureInterval
}

// recordUsage takes in what this node uses at now.
func (g *Gateway) recordUsage(now time.Duration, used resourceUsage) {
	before, after := g.pressure.observe(now, used, g.settings().Limits)
	g.origins.setPressure(now, g.node, after)
	g.metrics.pressure.Set(float64(after))
	if before == after {
		return
	}
	g.logger.Info().Stringer("pressure", after).Stringer("before", before).Stringer("scarce", g.pressure.meter.Scarce()).
		Float64("processor", g.pressure.processorUse).Uint64("memory", used.memory).Int("descriptors", used.descriptors).
		Msg("pressure_changed")
}

// measureUsage returns what the process uses.
func (g *Gateway) measureUsage() (resourceUsage, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return resourceUsage{}, errors.Wrap(err, "processor time")
	}
	samples := []runtimemetrics.Sample{{Name: totalMemory}, {Name: releasedMemory}}
	runtimemetrics.Read(samples)
	g.pressure.workerConnections.Store(int64(g.upstreams.Open()))
	return resourceUsage{
		processor:   time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		memory:      samples[0].Value.Uint64() - samples[1].Value.Uint64(),
		descriptors: g.pressure.openDescriptors(),
	}, nil
}

// openDescriptors returns the number of open openDescriptors, nearly.
func (p *pressureMonitor) openDescriptors() int {
	return int(p.connections.Load()+p.workerConnections.Load()) + baseDescriptors
}

// countConnection is a ConnState hook of all servers.
func (p *pressureMonitor) countConnection(_ net.Conn, state http.ConnState) {
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
	// hasRoom tells whether another connection can be taken.
	hasRoom func() bool
	// onRefused is called for each connection that is closed.
	onRefused func()
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || l.hasRoom() {
			return conn, err
		}
		l.onRefused()
		_ = conn.Close()
	}
}

// hasConnectionRoom tells whether this node can take another connection.
func (g *Gateway) hasConnectionRoom() bool {
	limits := g.settings().Limits
	if limits.FileDescriptors == 0 {
		return true
	}
	bound := float64(limits.FileDescriptors-nodecapacity.ReservedDescriptors) * maxConnectionFraction
	return float64(g.pressure.openDescriptors()) < bound
}
