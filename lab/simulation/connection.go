package simulation

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// connection is a stream of frames from an engine to an agent.
type connection struct {
	engine    *engineHost
	inFlight  *inFlightRequest
	operation attempt.Operation
	stream    fleet.StreamID
	// nextToken is the index of the next token to send.
	nextToken   int
	lastArrival time.Duration
	// reading is set once the agent has received the first frame, broken if the connection ended
	// before that. No frames are delivered once closed is set.
	reading     bool
	broken      bool
	closed      bool
	lastFrameAt time.Duration
}

// pump sends the new frames and reports whether more may follow.
func (c *connection) pump(h *engineHost) bool {
	if c.closed || c.inFlight.generation != c.inFlight.agent.generation {
		return false
	}
	frames, ended, err := h.model.Frames(c.stream, c.nextToken)
	if err != nil {
		c.disconnect()
		return false
	}
	for _, frame := range frames {
		if frame.Kind == engine.FrameToken {
			c.nextToken++
		}
		if c.inFlight.agent.world.shouldReset(c) {
			c.disconnect()
			return false
		}
		c.send(frame)
	}
	return !ended
}

// send delivers a frame after all earlier frames.
func (c *connection) send(frame engine.Frame) {
	w := c.inFlight.agent.world
	at, _ := w.network.arrival(&c.engine.process, &c.inFlight.agent.process)
	c.lastArrival = max(c.lastArrival, at)
	w.queue.At(c.lastArrival, func() { c.inFlight.run(func() { c.receive(frame) }) })
}

// receive passes a frame to the request.
func (c *connection) receive(frame engine.Frame) {
	if c.closed || c.inFlight.agent.world.shouldDrop(c) {
		return
	}
	c.lastFrameAt = c.inFlight.agent.now()
	if frame.Kind == engine.FrameDone || frame.Kind == engine.FrameError {
		c.closed = true
	}
	c.inFlight.receiveFrame(c.operation, frame)
}

// disconnect breaks the connection. Frames that arrive later than the break are lost. The agent is
// informed unless the network is partitioned.
func (c *connection) disconnect() {
	if c.closed {
		return
	}
	agent := c.inFlight.agent
	at, arrives := agent.world.network.arrival(&c.engine.process, &agent.process)
	if !arrives {
		return
	}
	agent.world.queue.At(at, func() {
		c.inFlight.run(func() {
			if c.reading {
				c.reportBroken()
			}
			c.broken = true
		})
	})
}

// startReading begins to watch the connection, once the first frame has arrived.
func (c *connection) startReading() {
	c.reading = true
	c.lastFrameAt = c.inFlight.agent.now()
	if c.broken {
		c.reportBroken()
		return
	}
	c.watchIdleTimeout()
}

// reportBroken informs the request that no more frames will follow.
func (c *connection) reportBroken() {
	if c.closed {
		return
	}
	c.closed = true
	c.inFlight.handle(attempt.StreamBroken{Operation: c.operation}, "")
}

// watchIdleTimeout breaks the connection if no frame arrives within streamIdleTimeout.
func (c *connection) watchIdleTimeout() {
	agent := c.inFlight.agent
	c.inFlight.after(max(c.lastFrameAt+streamIdleTimeout-agent.now(), time.Millisecond), func() {
		switch {
		case c.closed:
		case agent.now()-c.lastFrameAt >= streamIdleTimeout:
			c.reportBroken()
		default:
			c.watchIdleTimeout()
		}
	})
}
