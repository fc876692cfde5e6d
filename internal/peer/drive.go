package peer

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

// driveLoop calls the core whenever work is due.
func (p *Peer) driveLoop() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	refresh := time.NewTicker(seedRefreshInterval)
	defer refresh.Stop()
	for {
		select {
		case <-p.tomb.Dying():
			return nil
		case <-refresh.C:
			p.refreshSeeds()
		case <-timer.C:
			p.tick()
		case <-p.wakeDriver:
		}
		timer.Reset(p.untilWake())
	}
}

// untilWake returns the time until the next work is due.
func (p *Peer) untilWake() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	wake := p.core.NextWake()
	if at, pending := p.dissemination.NextWake(); pending {
		wake = min(wake, at)
	}
	if p.isViewStale() {
		wake = min(wake, p.nextViewAt())
	}
	return max(0, wake-p.clock.Now())
}

func (p *Peer) tick() {
	var pull membership.Pull
	var due bool
	p.send(p.step(func(now time.Duration) []membership.Message {
		messages := p.core.Tick(now)
		pull, due = p.dissemination.NextPull(now)
		return append(messages, p.dissemination.Tick(now, p.View())...)
	}))
	if due {
		p.enqueue(call{pull: &pull})
	}
}

// refreshSeeds passes all known addresses of possible routers to the core.
func (p *Peer) refreshSeeds() {
	seeds := append([]fleet.Address(nil), p.options.Seeds...)
	if p.options.DiscoverSeeds != nil {
		seeds = append(seeds, p.options.DiscoverSeeds()...)
	}
	p.send(p.step(func(now time.Duration) []membership.Message { return p.core.Join(now, seeds) }))
}

// watchHolder publishes each new revision that the holder accepts, regardless of its source.
func (p *Peer) watchHolder() error {
	for {
		updated := p.options.Holder.Updated()
		p.send(p.step(p.publishHeld))
		select {
		case <-p.tomb.Dying():
			return nil
		case <-updated:
		}
	}
}

// publishHeld publishes the changes up to the held revision. If they are not available
// individually, the other routers pull because of the revision in each header.
func (p *Peer) publishHeld(now time.Duration) []membership.Message {
	revision := p.options.Holder.Revision()
	changes, known := p.options.Holder.ChangesAfter(p.dissemination.Held())
	if !known {
		p.dissemination.RecordHeld(revision)
		return nil
	}
	encoded, err := encodeChanges(changes)
	if err != nil {
		p.options.Logger.Error().Err(err).Msg("configuration_encode_failed")
		p.dissemination.RecordHeld(revision)
		return nil
	}
	return p.dissemination.Publish(now, encoded, p.View())
}
