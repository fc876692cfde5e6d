package gateway

import (
	"sync"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/tunnel"
)

// idleTunnel is how long nothing passes through a tunnel that counts as idle. An answer may be under way there, whose
// worker is silent.
const idleTunnel = fleet.MaxSilence

// openCarriers holds the tunnels that this gateway carries for others. It is safe for concurrent use.
type openCarriers struct {
	mutex sync.Mutex
	open  map[*tunnel.Carrier]bool
}

func newOpenCarriers() *openCarriers { return &openCarriers{open: make(map[*tunnel.Carrier]bool)} }

func (c *openCarriers) add(carrier *tunnel.Carrier) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.open[carrier] = true
}

func (c *openCarriers) remove(carrier *tunnel.Carrier) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.open, carrier)
}

// closeIdle closes the tunnels that nobody uses, so that no request is sent on one whose connection to
// the worker hangs.
func (c *openCarriers) closeIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for carrier := range c.open {
		carrier.CloseIfIdle(idleTunnel)
	}
}
