package rollout

import (
	"slices"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// configuredVersion is a version of a model or adapter in the configuration.
type configuredVersion struct {
	version engine.ModelVersion
	pool    fleet.PoolName
	state   config.VersionState
}

// listVersions returns all versions of all models and adapters, in the document's order.
func listVersions(document *config.Document) []configuredVersion {
	var all []configuredVersion
	for _, model := range document.Models {
		all = appendVersions(all, model, "", model.Versions)
		for _, adapter := range model.Adapters {
			all = appendVersions(all, model, adapter.Name, adapter.Versions)
		}
	}
	return all
}

func appendVersions(all []configuredVersion, model config.Model, adapter fleet.AdapterName, versions []config.Version) []configuredVersion {
	for _, version := range versions {
		identity := engine.ModelVersion{Model: model.Name, Adapter: adapter, Version: version.Name}
		all = append(all, configuredVersion{version: identity, pool: model.Pool, state: version.State})
	}
	return all
}

// catalogue groups the configured versions by state.
type catalogue struct {
	serving []configuredVersion
	loading []configuredVersion
	retired []configuredVersion
}

func newCatalogue(document *config.Document) catalogue {
	var sorted catalogue
	for _, candidate := range listVersions(document) {
		switch candidate.state {
		case config.VersionServing:
			sorted.serving = append(sorted.serving, candidate)
		case config.VersionLoading:
			sorted.loading = append(sorted.loading, candidate)
		case config.VersionRetired:
			sorted.retired = append(sorted.retired, candidate)
		}
	}
	return sorted
}

// needed returns the versions that engines should have loaded. Serving versions come first, because
// engines can't serve requests without them.
func (c catalogue) needed() []configuredVersion { return slices.Concat(c.serving, c.loading) }

// versionsInPool returns the versions that belong to a pool.
func versionsInPool(all []configuredVersion, pool fleet.PoolName) []configuredVersion {
	var kept []configuredVersion
	for _, candidate := range all {
		if candidate.pool == pool {
			kept = append(kept, candidate)
		}
	}
	return kept
}

// isSameVariant reports whether two versions belong to the same model and adapter.
func isSameVariant(a, b engine.ModelVersion) bool {
	return a.Model == b.Model && a.Adapter == b.Adapter
}
