package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/quarantine"
)

// beginReserve is how much before the bound on weights a request that waits at an
// engine with an older version is taken away from it.
const beginReserve = 400 * time.Millisecond

// errOutdated is the cause of a send broken off since the engine's weights are too old.
var errOutdated = errors.New("weights too old to begin on")

// pendingSends are the sends whose answer has not begun. An engine may have them wait until
// its weights are too old for a request to begin on, or until the request is held.
type pendingSends struct {
	mutex sync.Mutex
	sends map[*pendingSend]bool
}

// pendingSend is one send to a worker.
type pendingSend struct {
	// model and version are those that an engine is to run; empty for other workers.
	model       fleet.ModelName
	version     backends.ModelVersion
	fingerprint quarantine.Fingerprint
	// trial is set if the request is held and this is the one time that it is tried.
	trial  bool
	cancel context.CancelCauseFunc
}

func newPendingSends() *pendingSends { return &pendingSends{sends: make(map[*pendingSend]bool)} }

func (p *pendingSends) add(send *pendingSend) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sends[send] = true
}

func (p *pendingSends) remove(send *pendingSend) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.sends, send)
}

// expire breaks the sends off that wait at an older version than required.
func (p *pendingSends) expire(required map[fleet.ModelName]backends.ModelVersion) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for send := range p.sends {
		if send.version < required[send.model] {
			send.cancel(errOutdated)
			delete(p.sends, send)
		}
	}
}

// hold breaks the sends of a request off that is held from now on, and returns their number.
func (p *pendingSends) hold(fingerprint quarantine.Fingerprint) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	broken := 0
	for send := range p.sends {
		if send.fingerprint == fingerprint && !send.trial {
			send.cancel(errQuarantined)
			delete(p.sends, send)
			broken++
		}
	}
	return broken
}
