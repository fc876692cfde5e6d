package history

import (
	"fmt"
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// checkCacheEntries checks that no request uses a cache entry of an ended engine run, another
// tenant or another model version. A request must be computed by the run named in its grant, for
// its own tenant, with a model version that it was resolved to and on blocks of its own scope. No
// router may expect cached blocks that the run never stored.
func checkCacheEntries(history *History, _ Limits) []Violation {
	var violations []Violation
	violate := func(entry Entry, format string, arguments ...any) {
		violations = append(violations, Violation{Invariant: CacheEntries, At: entry.At, Message: fmt.Sprintf(format, arguments...)})
	}
	tenants := make(map[fleet.RequestID]fleet.TenantName)
	versions := make(map[fleet.RequestID][]fleet.ModelVersion)
	for _, entry := range history.Entries {
		switch event := entry.Event.(type) {
		case Requested:
			tenants[event.Request] = event.Tenant
		case Resolved:
			versions[event.Request] = append(versions[event.Request], event.Version)
		case Granted:
			if event.NeverCachedBlocks > 0 {
				violate(entry, "router %s expects %d cached blocks that %v never stored", event.Router, event.NeverCachedBlocks, event.Run)
			}
		case Accepted:
			if event.Run != event.Granted {
				violate(entry, "stream %s was granted %v but accepted by %v", event.Stream, event.Granted, event.Run)
			}
		case Executed:
			if event.Tenant != tenants[event.Request] {
				violate(entry, "stream %s of tenant %q was computed for tenant %q", event.Stream, tenants[event.Request], event.Tenant)
			}
			if !slices.Contains(versions[event.Request], event.Version) {
				violate(entry, "stream %s was computed with %v, resolved versions are %v", event.Stream, event.Version, versions[event.Request])
			}
			if event.ForeignBlocks > 0 {
				violate(entry, "stream %s used %d cached blocks of another scope", event.Stream, event.ForeignBlocks)
			}
		}
	}
	return append(violations, findMixedVersions(history)...)
}

// findMixedVersions returns a violation for each token that comes from another model version than
// the previous one of its answer.
func findMixedVersions(history *History) []Violation {
	var violations []Violation
	computed := make(map[fleet.StreamID]fleet.ModelVersion)
	answered := make(map[fleet.RequestID]fleet.ModelVersion)
	for _, entry := range history.Entries {
		switch event := entry.Event.(type) {
		case Executed:
			computed[event.Stream] = event.Version
		case TokenDelivered:
			version, known := computed[event.Stream]
			earlier, begun := answered[event.Request]
			if known && begun && earlier != version {
				violations = append(violations, Violation{
					Invariant: CacheEntries, At: entry.At,
					Message: fmt.Sprintf("answer to %s mixes tokens of %v and %v", event.Request, earlier, version),
				})
			}
			if known {
				answered[event.Request] = version
			}
		}
	}
	return violations
}
