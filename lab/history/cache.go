package history

import (
	"fmt"
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// checkCacheEntries checks that a request relies on no cache entry of a dead
// engine, of another tenant or of other weights: it is computed by the run that
// its grant named, for its own tenant, with weights it was resolved to, on
// blocks of its own scope; and no router counts on blocks that the run never had.
func checkCacheEntries(history *History, _ Limits) []Violation {
	var violations []Violation
	breach := func(entry Entry, format string, arguments ...any) {
		violations = append(violations, Violation{Invariant: CacheEntries, At: entry.At, Message: fmt.Sprintf(format, arguments...)})
	}
	tenants := make(map[fleet.RequestID]fleet.TenantName)
	weights := make(map[fleet.RequestID][]fleet.ModelVersion)
	for _, entry := range history.Entries {
		switch event := entry.Event.(type) {
		case Requested:
			tenants[event.Request] = event.Tenant
		case Resolved:
			weights[event.Request] = append(weights[event.Request], event.Version)
		case Granted:
			if event.NeverCachedBlocks > 0 {
				breach(entry, "router %s counts on %d blocks that %v never held", event.Router, event.NeverCachedBlocks, event.Run)
			}
		case Accepted:
			if event.Run != event.Granted {
				breach(entry, "stream %s was granted %v and ran at %v", event.Stream, event.Granted, event.Run)
			}
		case Executed:
			if event.Tenant != tenants[event.Request] {
				breach(entry, "stream %s of tenant %q was computed for %q", event.Stream, tenants[event.Request], event.Tenant)
			}
			if !slices.Contains(weights[event.Request], event.Version) {
				breach(entry, "stream %s was computed with %v, resolved were %v", event.Stream, event.Version, weights[event.Request])
			}
			if event.ForeignBlocks > 0 {
				breach(entry, "stream %s took %d blocks of another scope", event.Stream, event.ForeignBlocks)
			}
		}
	}
	return append(violations, findMixedVersions(history)...)
}

// findMixedVersions finds answers whose tokens come from more than one set of weights.
func findMixedVersions(history *History) []Violation {
	var violations []Violation
	computed := make(map[fleet.StreamID]fleet.ModelVersion)
	answered := make(map[fleet.RequestID]fleet.ModelVersion)
	for _, entry := range history.Entries {
		switch event := entry.Event.(type) {
		case Executed:
			computed[event.Stream] = event.Version
		case TokenDelivered:
			weights, known := computed[event.Stream]
			earlier, begun := answered[event.Request]
			if known && begun && earlier != weights {
				violations = append(violations, Violation{
					Invariant: CacheEntries, At: entry.At,
					Message: fmt.Sprintf("answer %s mixes tokens of %v and %v", event.Request, earlier, weights),
				})
			}
			if known {
				answered[event.Request] = weights
			}
		}
	}
	return violations
}
