package rollout

import (
	"slices"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// ReadyToPromote reports whether a version may become the serving one: the model's pool has engines
// that aren't leaving, and all of them have loaded it. loaded of expected engines have loaded it;
// both are 0 if the document doesn't list the version or lists it as retired.
func ReadyToPromote(
	document *config.Document,
	engines []Engine,
	model fleet.ModelName,
	adapter fleet.AdapterName,
	version fleet.VersionName,
) (ready bool, loaded, expected int) {
	if document == nil {
		return false, 0, 0
	}
	target := engine.ModelVersion{Model: model, Adapter: adapter, Version: version}
	all := newCatalogue(document).needed()
	index := slices.IndexFunc(all, func(candidate configuredVersion) bool { return candidate.version == target })
	if index < 0 {
		return false, 0, 0
	}
	for _, candidate := range newDirectiveSet(document).withoutLeaving(newestRuns(engines)) {
		if candidate.Pool != all[index].pool {
			continue
		}
		expected++
		if candidate.hasLoaded(target) {
			loaded++
		}
	}
	return expected > 0 && loaded == expected, loaded, expected
}
