package delivery

import (
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// NewFilter returns a filter that allows only workers of the target version if targetOnly is set,
// else only workers of other versions. canaries limits the workers of the target; empty allows all.
func NewFilter(target fleet.SoftwareVersion, wantsTarget bool, canaries map[fleet.EngineID]bool, fallback *Filter) *Filter {
	return &Filter{target: target, targetOnly: wantsTarget, canaries: canaries, fallback: fallback}
}

// Allows reports whether a worker of a software version may get the request.
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

// Canaries returns the canaries to which the request is limited; empty if it isn't limited to
// canaries.
func (c *Filter) Canaries() map[fleet.EngineID]bool {
	if c == nil || !c.targetOnly {
		return nil
	}
	return c.canaries
}
