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

const (
	// pressureInterval is the time between two measurements of this gateway's resource usage.
	pressureInterval = 250 * time.Millisecond
	// pressureIdleInterval is the same for an idle gateway, whose usage changes slowly.
	pressureIdleInterval = time.Second
	// usageSmoothing is the weight of one interval in the moving average of processor usage. The
	// average ignores peaks as short as one garbage collection.
	usageSmoothing = 0.3
	// baseDescriptors is the assumed number of descriptors that are not counted individually:
	// listeners and calls to the store, to engines and to other gateways.
	baseDescriptors = 64
	// maxConnectionFraction is the part of the descriptors up to which new connections are
	// accepted. The rest is kept for connections to workers.
	maxConnectionFraction = 0.97
	// releasedMemory and totalMemory are the names of the runtime metrics for the memory returned
	// to the system and for all mapped memory, in bytes.
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
	// descriptors is the number of open file descriptors.
	descriptors int
}

// pressureMonitor tracks how close this gateway is to its resource limits. Only the goroutine of
// monitorPressure uses the meter.
type pressureMonitor struct {
	meter        nodecapacity.Meter
	processorUse float64
	lastUsage    resourceUsage
	lastAt       time.Duration
	currentLevel atomic.Uint32
	scarcest     atomic.Uint32
	// scarce is set while memory or descriptors run short.
	scarce atomic.Bool
	// connections counts the servers' open connections, workerConnections those to workers at the
	// last measurement.
	connections       atomic.Int64
	workerConnections atomic.Int64
	// tunnels counts the open tunnels that this gateway carries for others.
	tunnels atomic.Int64
}

// level returns this gateway's pressure at the last measurement.
func (p *pressureMonitor) level() nodecapacity.Pressure {
	return nodecapacity.Pressure(p.currentLevel.Load())
}

// scarcestResource returns the resource that was closest to its limit at the last measurement.
func (p *pressureMonitor) scarcestResource() nodecapacity.Resource {
	return nodecapacity.Resource(p.scarcest.Load())
}

// observe adds a measurement and returns the pressure before and after it.
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
	p.scarcest.Store(uint32(p.meter.ScarcestResource()))
	p.scarce.Store(usage.IsScarce())
	return before, after
}

// monitorPressure measures resource usage until the process ends.
func (g *Gateway) monitorPressure() error {
	for g.pauseInterval(g.pressureSampleInterval()) {
		used, err := g.measureUsage()
		if err != nil {
			g.events.line("usage_unread").Err(err).Msg("usage_unread")
			continue
		}
		g.recordUsage(g.now(), used)
	}
	return nil
}

// pressureSampleInterval returns the time until the next measurement.
func (g *Gateway) pressureSampleInterval() time.Duration {
	if g.isIdle() {
		return pressureIdleInterval
	}
	return pressureInterval
}

// recordUsage updates this gateway's pressure from its resource usage at now, and logs changes.
func (g *Gateway) recordUsage(now time.Duration, used resourceUsage) {
	before, after := g.pressure.observe(now, used, g.settings().Limits)
	g.origins.setPressure(now, g.node, after)
	g.metrics.pressure.Set(float64(after))
	if before == after {
		return
	}
	g.logger.Info().Stringer("pressure", after).Stringer("before", before).Stringer("scarce", g.pressure.meter.ScarcestResource()).
		Float64("processor", g.pressure.processorUse).Uint64("memory", used.memory).Int("descriptors", used.descriptors).
		Msg("pressure_changed")
}

// measureUsage returns the process's current resource usage.
func (g *Gateway) measureUsage() (resourceUsage, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return resourceUsage{}, errors.Wrap(err, "read processor time")
	}
	samples := []runtimemetrics.Sample{{Name: totalMemory}, {Name: releasedMemory}}
	runtimemetrics.Read(samples)
	g.pressure.workerConnections.Store(int64(g.upstreams.OpenConnections()))
	return resourceUsage{
		processor:   time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		memory:      samples[0].Value.Uint64() - samples[1].Value.Uint64(),
		descriptors: g.pressure.openDescriptors(),
	}, nil
}

// openDescriptors returns the approximate number of open file descriptors.
func (p *pressureMonitor) openDescriptors() int {
	return int(p.connections.Load()+p.workerConnections.Load()+p.tunnels.Load()*tunnelDescriptors) + baseDescriptors
}

// observeConnection is the ConnState hook of all servers.
func (p *pressureMonitor) observeConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		p.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		p.connections.Add(-1)
	default:
	}
}

// boundedListener closes connections beyond a bound at once. Their callers detect that no request
// was read and try another gateway. Connections left waiting would use descriptors that requests in
// flight need.
type boundedListener struct {
	net.Listener
	// hasRoom reports whether another connection can be accepted.
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

// hasConnectionRoom reports whether this gateway can accept another connection.
func (g *Gateway) hasConnectionRoom() bool {
	limits := g.settings().Limits
	if limits.FileDescriptors == 0 {
		return true
	}
	bound := float64(limits.FileDescriptors-nodecapacity.ReservedDescriptors) * maxConnectionFraction
	return float64(g.pressure.openDescriptors()) < bound
}
