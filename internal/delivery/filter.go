package delivery

import (
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// NewFilter returns what limits a request to workers of a target version, or to all others;
// canaries are the workers of the target that it may go to, nil for all of them.
func NewFilter(target fleet.SoftwareVersion, wantsTarget bool, canaries map[fleet.EngineID]bool, fallback *Filter) *Filter {
	return &Filter{target: target, targetOnly: wantsTarget, canaries: canaries, fallback: fallback}
}

// Allows tells whether a worker with a software version may get the request.
func (c *Filter) Allows(worker fleet.EngineID, version fleet.SoftwareVersion) bool {
	if c == nil {
		return true
	}
	if slices.Contains(c.excluded, version) {
		return false
	}
	if c.target == "" {
		return true
	}
	if (version == c.target) != c.targetOnly {
		return false
	}
	return !c.targetOnly || len(c.canaries) == 0 || c.canaries[worker]
}

// Canaries returns the workers to which the request is limited; nil if it isn't limited to
// single workers.
func (c *Filter) Canaries() map[fleet.EngineID]bool {
	if c == nil || !c.targetOnly {
		return nil
	}
	return c.canaries
}
