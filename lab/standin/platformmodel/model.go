// Package platformmodel is the behaviour of the platform's services in memory:
// tables, objects, weight store and list of machines. It has no I/O, clock or
// randomness: each call takes now, the elapsed time. The HTTP stand-in and the
// deterministic simulation run the same code. It isn't safe for concurrent use.
package platformmodel

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/platform"
)

// Options sets up a Platform.
type Options struct {
	// Rate limits calls to tables and objects together. The zero value is no limit.
	Rate Rate
	// FullSpeedLoads is the number of weight loads that run at full speed
	// together; 0 means one.
	FullSpeedLoads int
	// MachineLag is the age of what the list of machines shows.
	MachineLag time.Duration
}

// Platform is the state of all services.
type Platform struct {
	rows     map[string]platform.Row
	keys     []string // of rows, sorted
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

// SetRate replaces the rate limit; the bucket starts full.
func (p *Platform) SetRate(rate Rate) { p.limit = newLimiter(rate) }

// Weights returns the weight store.
func (p *Platform) Weights() *WeightStore { return p.weights }

// GetObject returns a copy of an object or platform.ErrNotFound.
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

// PutObject stores a copy of body.
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
