package rollout

import (
	"slices"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// configuredVersion is the configuration's word about one set of weights.
type configuredVersion struct {
	version engine.Weights
	pool    fleet.PoolName
	state   config.VersionState
}

// listVersions returns every version of every model and adapter, in the
// document's order.
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
		weights := engine.Weights{Model: model.Name, Adapter: adapter, Version: version.Name}
		all = append(all, configuredVersion{version: weights, pool: model.Pool, state: version.State})
	}
	return all
}

// catalogue sorts the configuration's weights by what engines should do with
// them.
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

// needed returns what engines should hold: what serves goes before what is
// being brought in, because an engine without it can't work.
func (c catalogue) needed() []configuredVersion { return slices.Concat(c.serving, c.loading) }

// versionsInPool keeps the weights that one pool should hold.
func versionsInPool(all []configuredVersion, pool fleet.PoolName) []configuredVersion {
	var kept []configuredVersion
	for _, candidate := range all {
		if candidate.pool == pool {
			kept = append(kept, candidate)
		}
	}
	return kept
}

// isSameVariant tells whether two sets of weights are versions of one model or
// of one adapter.
func isSameVariant(a, b engine.Weights) bool {
	return a.Model == b.Model && a.Adapter == b.Adapter
}
