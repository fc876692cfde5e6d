package delivery

import (
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// NewChoice returns what limits a request to workers of a target version, or to all others;
// canaries are the workers of the target that it may go to, nil for all of them.
func NewChoice(target fleet.SoftwareVersion, wantsTarget bool, canaries map[fleet.EngineID]bool, fallback *Choice) *Choice {
	return &Choice{target: target, wantsTarget: wantsTarget, canaries: canaries, fallback: fallback}
}

// Allows tells whether a worker with a software version may get the request.
func (c *Choice) Allows(worker fleet.EngineID, version fleet.SoftwareVersion) bool {
	if c == nil {
		return true
	}
	if slices.Contains(c.condemned, version) {
		return false
	}
	if c.target == "" {
		return true
	}
	if (version == c.target) != c.wantsTarget {
		return false
	}
	return !c.wantsTarget || len(c.canaries) == 0 || c.canaries[worker]
}

// Canaries returns the workers to which the request is limited; nil if it isn't limited to
// single workers.
func (c *Choice) Canaries() map[fleet.EngineID]bool {
	if c == nil || !c.wantsTarget {
		return nil
	}
	return c.canaries
}
