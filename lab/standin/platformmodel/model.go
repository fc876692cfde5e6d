// Package platformmodel models the services of the platform in memory: tables, objects, the weight
// store and the list of machines. It has no I/O, clock or randomness: each call takes the elapsed
// time. The HTTP stand-in and the simulation share it. It is not safe for concurrent use.
package platformmodel

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/platform"
)

// Options configures a Platform.
type Options struct {
	// Rate limits the calls to tables and objects together. The zero value means no limit.
	Rate Rate
	// FullSpeedLoads is the number of concurrent weight loads that run at full speed; 0 means one.
	FullSpeedLoads int
	// MachineLag is the age of the state that ListMachines returns.
	MachineLag time.Duration
}

// Platform is the state of all services.
type Platform struct {
	rows     map[string]platform.Row
	keys     []string // keys of rows, sorted
	objects  map[string][]byte
	limit    *limiter
	weights  *WeightStore
	machines machineList
}

// New returns an empty platform.
func New(options Options) *Platform {
	return &Platform{
		rows:     make(map[string]platform.Row),
		objects:  make(map[string][]byte),
		limit:    newLimiter(options.Rate),
		weights:  NewWeightStore(options.FullSpeedLoads),
		machines: machineList{lag: options.MachineLag},
	}
}

// SetRate replaces the rate limit. The bucket starts full.
func (p *Platform) SetRate(rate Rate) { p.limit = newLimiter(rate) }

// Weights returns the weight store.
func (p *Platform) Weights() *WeightStore { return p.weights }

// GetObject returns a copy of an object, platform.ErrNotFound or platform.ErrRateLimited.
func (p *Platform) GetObject(now time.Duration, name string) ([]byte, error) {
	if !p.limit.allow(now) {
		return nil, platform.ErrRateLimited
	}
	body, found := p.objects[name]
	if !found {
		return nil, platform.ErrNotFound
	}
	return slices.Clone(body), nil
}

// PutObject stores a copy of body, or returns platform.ErrInvalid or platform.ErrRateLimited.
func (p *Platform) PutObject(now time.Duration, name string, body []byte) error {
	if !p.limit.allow(now) {
		return platform.ErrRateLimited
	}
	if name == "" {
		return platform.ErrInvalid
	}
	p.objects[name] = append([]byte{}, body...)
	return nil
}
