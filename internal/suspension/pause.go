package suspension

import (
	"sync"
	"time"
)

// PauseDetector detects that the process didn't run for a time: it was stopped, the machine was suspended, or
// it got no processor. A loop reports its turns. It is safe for concurrent use.
type PauseDetector struct {
	// shortest is the shortest delay of a turn that counts as a pause.
	shortest time.Duration

	mutex sync.Mutex
	// due is when the next turn is due, if running is set.
	running bool
	due     time.Duration
	// endedAt is when the last pause was over, if paused is set.
	paused  bool
	endedAt time.Duration
}

// NewPauseDetector returns a detector of pauses that delay a turn by shortest or more.
func NewPauseDetector(shortest time.Duration) *PauseDetector {
	return &PauseDetector{shortest: shortest}
}

// Observe records a turn of the loop at now. The next one is due after interval.
func (p *PauseDetector) Observe(now, interval time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.isLate(now) {
		p.paused, p.endedAt = true, now
	}
	p.running, p.due = true, now+interval
}

// PausedSince reports whether there was a pause that wasn't over at a time, up to now. It knows of a pause
// before the loop has its first turn after it.
func (p *PauseDetector) PausedSince(since, now time.Duration) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.paused && p.endedAt > since || p.isLate(now)
}

// isLate reports whether a turn is overdue. The mutex must be held.
func (p *PauseDetector) isLate(now time.Duration) bool { return p.running && now >= p.due+p.shortest }
