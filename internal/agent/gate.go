package agent

import "sync"

// admissionGate counts running requests and admits no more once it is closed.
type admissionGate struct {
	mutex    sync.Mutex
	running  int
	isClosed bool
	idle     chan struct{}
}

func newAdmissionGate() *admissionGate { return &admissionGate{idle: make(chan struct{})} }

func (g *admissionGate) enter() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.isClosed {
		return false
	}
	g.running++
	return true
}

func (g *admissionGate) leave() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.running--
	g.closeIfIdle()
}

// close closes the gate and returns a channel that is closed once no request is running. It must be
// called only once.
func (g *admissionGate) close() <-chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.isClosed = true
	g.closeIfIdle()
	return g.idle
}

func (g *admissionGate) isOpen() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return !g.isClosed
}

func (g *admissionGate) closeIfIdle() {
	if g.isClosed && g.running == 0 {
		close(g.idle)
	}
}
