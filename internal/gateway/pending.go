package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/quarantine"
)

// staleVersionMargin is how long before an older model version becomes too old the requests that
// wait at its engines are cancelled there.
const staleVersionMargin = 400 * time.Millisecond

// errStaleVersion is the cause of a send that is cancelled because the engine's model version has
// become too old.
var errStaleVersion = errors.New("model version too old to start the request")

// pendingSends holds the sends whose response has not begun. An engine may queue a request until
// its model version is too old or until the request is quarantined.
type pendingSends struct {
	mutex sync.Mutex
	sends map[*pendingSend]bool
}

// pendingSend is one send to a worker.
type pendingSend struct {
	// model and version are those that the engine is expected to run; empty for other workers, and for a run that
	// continues.
	model   fleet.ModelName
	version backends.ModelVersion
	subject quarantine.Subject
	// quarantineTrial is set if the request is quarantined and this is its single trial.
	quarantineTrial bool
	cancel          context.CancelCauseFunc
	// reserveMove reports whether another worker could take the request now, and takes the retry from the
	// budget. It is nil if the request must not be sent again while this send is unanswered.
	reserveMove func(now time.Duration) bool
	// direct is set once the send has a direct connection.
	direct atomic.Bool
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

// cancelHanging cancels the sends on direct connections that can be made again on another one. All others wait:
// their workers may be sound and answer once the links are back.
func (p *pendingSends) cancelHanging(now time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for send := range p.sends {
		if send.direct.Load() && send.reserveMove != nil && send.reserveMove(now) {
			send.cancel(errLinkLost)
			delete(p.sends, send)
		}
	}
}

// cancelStale cancels the sends that wait at an older version than required.
func (p *pendingSends) cancelStale(required map[fleet.ModelName]backends.ModelVersion) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for send := range p.sends {
		if send.version < required[send.model] {
			send.cancel(errStaleVersion)
			delete(p.sends, send)
		}
	}
}

// cancelQuarantined cancels the sends of requests that have been quarantined and returns their number.
func (p *pendingSends) cancelQuarantined(isQuarantined func(subject *quarantine.Subject) bool) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	cancelled := 0
	for send := range p.sends {
		if !send.quarantineTrial && isQuarantined(&send.subject) {
			send.cancel(errQuarantined)
			delete(p.sends, send)
			cancelled++
		}
	}
	return cancelled
}
