package simulation

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// connection is one stream of frames from an engine to an agent.
type connection struct {
	engine    *engineHost
	carrier   *carrier
	operation attempt.Operation
	stream    fleet.StreamID
	// next is the index of the next token to send.
	next        int
	lastArrival time.Duration
	// reading is set once the agent has the first frame, broke when the
	// connection has ended before; closed ends it.
	reading bool
	broke   bool
	closed  bool
	heard   time.Duration
}

// pump sends the frames that are new and tells whether more may follow.
func (c *connection) pump(h *engineHost) bool {
	if c.closed || c.carrier.life != c.carrier.agent.life {
		return false
	}
	frames, ended, err := h.model.Frames(c.stream, c.next)
	if err != nil {
		c.breakOff()
		return false
	}
	for _, frame := range frames {
		if frame.Kind == engine.FrameToken {
			c.next++
		}
		if c.carrier.agent.world.resets(c) {
			c.breakOff()
			return false
		}
		c.send(frame)
	}
	return !ended
}

// send carries a frame behind those before it.
func (c *connection) send(frame engine.Frame) {
	w := c.carrier.agent.world
	at, _ := w.network.arrival(&c.engine.process, &c.carrier.agent.process)
	c.lastArrival = max(c.lastArrival, at)
	w.queue.At(c.lastArrival, func() { c.carrier.run(func() { c.take(frame) }) })
}

// take gives a frame to the carrier.
func (c *connection) take(frame engine.Frame) {
	if c.closed || c.carrier.agent.world.loses(c) {
		return
	}
	c.heard = c.carrier.agent.now()
	if frame.Kind == engine.FrameDone || frame.Kind == engine.FrameError {
		c.closed = true
	}
	c.carrier.frame(c.operation, frame)
}

// breakOff ends the connection, wherever its frames are; those still on their
// way are lost. The agent learns of it unless the network is cut.
func (c *connection) breakOff() {
	if c.closed {
		return
	}
	agent := c.carrier.agent
	at, arrives := agent.world.network.arrival(&c.engine.process, &agent.process)
	if !arrives {
		return
	}
	agent.world.queue.At(at, func() {
		c.carrier.run(func() {
			if c.reading {
				c.lost()
			}
			c.broke = true
		})
	})
}

// read begins to take frames, once the agent has the first.
func (c *connection) read() {
	c.reading = true
	c.heard = c.carrier.agent.now()
	if c.broke {
		c.lost()
		return
	}
	c.watchSilence()
}

// lost tells the carrier that no more frames come.
func (c *connection) lost() {
	if c.closed {
		return
	}
	c.closed = true
	c.carrier.handle(attempt.StreamBroken{Operation: c.operation}, "")
}

// watchSilence breaks the connection when no frame comes for too long.
func (c *connection) watchSilence() {
	agent := c.carrier.agent
	c.carrier.after(max(c.heard+streamIdleTimeout-agent.now(), time.Millisecond), func() {
		switch {
		case c.closed:
		case agent.now()-c.heard >= streamIdleTimeout:
			c.lost()
		default:
			c.watchSilence()
		}
	})
}
