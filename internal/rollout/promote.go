package rollout

import (
	"slices"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// ReadyToPromote tells whether a version may become the serving one: every
// engine of the model's pool that stays has loaded it, and there is one at
// least. loaded of wanted engines have it; both are 0 if the document doesn't
// name the version, or names it as retired.
func ReadyToPromote(
	document *config.Document,
	engines []Engine,
	model fleet.ModelName,
	adapter fleet.AdapterName,
	version fleet.VersionName,
) (ready bool, loaded, wanted int) {
	if document == nil {
		return false, 0, 0
	}
	weights := engine.Weights{Model: model, Adapter: adapter, Version: version}
	all := newCatalogue(document).needed()
	index := slices.IndexFunc(all, func(candidate configuredVersion) bool { return candidate.version == weights })
	if index < 0 {
		return false, 0, 0
	}
	for _, candidate := range newDirectiveSet(document).withoutLeaving(newestRuns(engines)) {
		if candidate.Pool != all[index].pool {
			continue
		}
		wanted++
		if candidate.hasLoaded(weights) {
			loaded++
		}
	}
	return wanted > 0 && loaded == wanted, loaded, wanted
}
