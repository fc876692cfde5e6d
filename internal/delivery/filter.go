package delivery

import (
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// NewFilter returns a filter that allows only workers of the target version if targetOnly is set,
// else only workers of other versions. canaries limits the workers of the target; empty allows all.
func NewFilter(target fleet.SoftwareVersion, targetOnly bool, canaries map[fleet.EngineID]bool, fallback *Filter) *Filter {
	return &Filter{target: target, targetOnly: targetOnly, canaries: canaries, fallback: fallback}
}

// Allows reports whether a worker of a software version may get the request.
func (f *Filter) Allows(worker fleet.EngineID, version fleet.SoftwareVersion) bool {
	if f == nil {
		return true
	}
	if slices.Contains(f.excluded, version) {
		return false
	}
	if f.target == "" {
		return true
	}
	if (version == f.target) != f.targetOnly {
		return false
	}
	return !f.targetOnly || len(f.canaries) == 0 || f.canaries[worker]
}

// Canaries returns the canaries to which the request is limited; empty if it isn't limited to
// canaries.
func (f *Filter) Canaries() map[fleet.EngineID]bool {
	if f == nil || !f.targetOnly {
		return nil
	}
	return f.canaries
}
