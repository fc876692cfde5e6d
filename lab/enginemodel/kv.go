package enginemodel

import (
	"sort"
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// pendingImport is a bundle whose blocks are stored at readyAt.
type pendingImport struct {
	readyAt time.Duration
	scope   int32
	hashes  []fleet.BlockHash
}

// Export returns the leading cached blocks of the requested prefix that belong to the tenant and
// weights of the request.
func (e *Engine) Export(now time.Duration, request engine.KVExportRequest) (engine.KVBundle, error) {
	e.Advance(now)
	bundle := engine.KVBundle{Tenant: request.Tenant, ModelVersion: request.ModelVersion}
	scope, known := e.scopes[cacheScope(request.Tenant, request.ModelVersion)]
	for _, hash := range request.Hashes {
		if !known || !e.blocks.isInScope(hash, scope) {
			break
		}
		bundle.Hashes = append(bundle.Hashes, hash)
	}
	bundle.Checksum = bundle.ComputeChecksum()
	return bundle, nil
}

// Import verifies a bundle and schedules its blocks to be stored at the returned time. The weights
// that computed the blocks must be loaded. Errors are *engine.Error.
func (e *Engine) Import(now time.Duration, bundle engine.KVBundle) (readyAt time.Duration, err error) {
	e.Advance(now)
	if bundle.ComputeChecksum() != bundle.Checksum {
		return 0, e.newError(engine.ErrorChecksum, "bundle fails its check")
	}
	if !e.control.isLoaded(bundle.ModelVersion) {
		return 0, e.newError(engine.ErrorVersionNotLoaded, "weights of the bundle are not loaded")
	}
	readyAt = e.now + time.Duration(len(bundle.Hashes))*e.config.Costs.ImportPerBlock
	pending := pendingImport{readyAt: readyAt, scope: e.scopeNumber(bundle.Tenant, bundle.ModelVersion), hashes: bundle.Hashes}
	position := sort.Search(len(e.imports), func(i int) bool { return e.imports[i].readyAt > readyAt })
	e.imports = append(e.imports, pendingImport{})
	copy(e.imports[position+1:], e.imports[position:])
	e.imports[position] = pending
	return readyAt, nil
}

func (e *Engine) finishImports() {
	for len(e.imports) > 0 && e.imports[0].readyAt <= e.now {
		pending := e.imports[0]
		e.imports = e.imports[1:]
		stored := e.blocks.storeIdle(pending.hashes, pending.scope, e.now)
		e.counters.ImportedBlocks += int64(stored)
	}
}
