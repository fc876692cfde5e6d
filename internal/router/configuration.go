package router

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// offerConfiguration offers a configuration received from another node to the holder, which ignores
// revisions that are not newer than its own.
func (r *Router) offerConfiguration(message *rpc.ConfigSnapshot, sender string) {
	if message == nil || fleet.Revision(message.GetRevision()) <= r.holder.Revision() {
		return
	}
	document, err := config.DocumentFromMessage(message)
	if err == nil {
		_, err = r.holder.OfferSnapshot(document)
	}
	if err != nil {
		r.logger.Warn().Str("sender", sender).Uint64("revision", message.GetRevision()).Err(err).Msg("configuration_rejected")
		return
	}
	r.logger.Info().Str("sender", sender).Uint64("revision", message.GetRevision()).Msg("configuration_learned")
}

// applyConfigurations passes each accepted configuration to the placement core.
func (r *Router) applyConfigurations() error {
	for {
		updated := r.holder.Updated()
		if view := r.holder.Current(); view != nil {
			r.applyConfiguration(view)
		}
		select {
		case <-r.tomb.Dying():
			return nil
		case <-updated:
		}
	}
}

func (r *Router) applyConfiguration(view *config.View) {
	r.placer.do(func(now time.Duration, core *placement.Core) { core.ApplyConfig(now, view) })
	r.configured.Store(true)
	r.logger.Info().Uint64("revision", uint64(view.Revision())).Msg("configuration_applied")
}

// snapshotCache caches the encoded form of the current configuration, which many agents request
// after a change.
type snapshotCache struct {
	mutex    sync.Mutex
	revision fleet.Revision
	message  *rpc.ConfigSnapshot
}

// encode returns the encoded form of view, or nil if view is nil or can't be encoded.
func (c *snapshotCache) encode(view *config.View, logger zerolog.Logger) *rpc.ConfigSnapshot {
	if view == nil {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.message != nil && c.revision == view.Revision() {
		return c.message
	}
	message, err := config.SnapshotMessage(view.Document())
	if err != nil {
		logger.Error().Err(err).Msg("configuration_encode_failed")
		return nil
	}
	c.revision = view.Revision()
	c.message = message
	return message
}

func (r *Router) configurationMessage() *rpc.ConfigSnapshot {
	return r.configSnapshots.encode(r.holder.Current(), r.logger)
}

// followConfiguration starts following the configuration from peers and the platform.
func (r *Router) followConfiguration() {
	settings := r.options.Settings
	r.configFollower = config.StartPlatformFollower(r.configStore, r.holder, r.fetcher, config.PlatformFollowerOptions{
		Follower:     config.FollowerOptions{PollInterval: time.Duration(settings.ConfigurationInterval)},
		Timeout:      time.Duration(settings.Platform.Timeout),
		Clock:        r.clock,
		Random:       newRandom(),
		Logger:       r.logger,
		PlatformDone: r.countConfigurationRead,
	})
}

func (r *Router) countConfigurationRead(err error) {
	if err != nil {
		r.metrics.platformErrors.WithLabelValues("configuration").Inc()
	}
}

// observeRevision records the configuration revision in another node's message header.
func (r *Router) observeRevision(header *rpc.Header) {
	r.configFollower.ObserveRevision(fleet.Revision(header.GetKnownRevision()))
}

// refreshConfiguration reads the latest configuration immediately after a command.
func (r *Router) refreshConfiguration() {
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), time.Duration(r.options.Settings.Platform.Timeout))
	defer cancel()
	if _, err := r.configStore.Refresh(ctx, r.holder); err != nil {
		r.logger.Debug().Err(err).Msg("configuration_refresh_failed")
	}
}
