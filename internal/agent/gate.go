package agent

import "sync"

// gate counts the running requests and lets no more in once it is shut.
type gate struct {
	mutex   sync.Mutex
	running int
	isShut  bool
	idle    chan struct{}
}

func newGate() *gate { return &gate{idle: make(chan struct{})} }

func (g *gate) enter() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.isShut {
		return false
	}
	g.running++
	return true
}

func (g *gate) leave() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.running--
	g.closeIfIdle()
}

// shut returns a channel that is closed once no request runs. It must be
// called once.
func (g *gate) shut() <-chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.isShut = true
	g.closeIfIdle()
	return g.idle
}

func (g *gate) open() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return !g.isShut
}

func (g *gate) closeIfIdle() {
	if g.isShut && g.running == 0 {
		close(g.idle)
	}
}
