package spill

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/lab/workload"
)

// Shape of the requests. A prompt consists of a system prompt shared by a tenant's requests in a
// pool, one of the tenant's long documents and a question.
const (
	blockTokens    = 16
	tenantCount    = 8
	systemTokens   = 128
	documentTokens = 4096
	questionTokens = 200
	outputTokens   = 32
	zipfSkew       = 1.2
	maxStreams     = 64
	maxWait        = 5 * time.Second
	class          = fleet.ClassName("urgent")
)

func poolName(pool int) fleet.PoolName { return fleet.PoolName(fmt.Sprintf("pool-%02d", pool)) }

func modelVersion(pool int) fleet.ModelVersion {
	return fleet.ModelVersion{Model: fleet.ModelName(fmt.Sprintf("model-%02d", pool)), Version: "v1"}
}

func tenantName(tenant int) fleet.TenantName {
	return fleet.TenantName(fmt.Sprintf("tenant-%d", tenant))
}

// newDocument returns the configuration of the fleet.
func newDocument(pools int) config.Document {
	document := config.Document{
		Revision: 1,
		Classes:  []config.Class{{Name: class, MaxWait: config.Duration(maxWait)}},
	}
	for tenant := range tenantCount {
		document.Tenants = append(document.Tenants, config.Tenant{
			Name: tenantName(tenant), KeyHashes: []string{fmt.Sprintf("%064x", tenant+1)}, Weight: 1,
			Classes: []fleet.ClassName{class}, MaxConcurrent: 1 << 20, MaxWaiting: 1 << 20,
		})
	}
	for pool := range pools {
		document.Pools = append(document.Pools, config.Pool{Name: poolName(pool), MaxStreams: maxStreams, MaxLoads: 1})
		document.Models = append(document.Models, config.Model{
			Name: modelVersion(pool).Model, Pool: poolName(pool),
			MaxPromptTokens: 1 << 20, MaxOutputTokens: 4096, BlockTokens: blockTokens,
			Versions: []config.Version{{Name: "v1", State: config.VersionServing}},
		})
	}
	return document
}

// generator draws random requests.
type generator struct {
	random    *rand.Rand
	tenants   *rand.Zipf
	documents *rand.Zipf
	options   Options
	drawn     uint64
}

func newGenerator(options Options, random *rand.Rand) *generator {
	return &generator{
		random:    random,
		tenants:   rand.NewZipf(random, zipfSkew, 1, tenantCount-1),
		documents: rand.NewZipf(random, zipfSkew, 1, uint64(options.Documents-1)),
		options:   options,
	}
}

func (g *generator) next(now time.Duration) *workload.Request {
	g.drawn++
	pool := g.random.IntN(g.options.Pools)
	tenant, document := 0, 0
	if g.random.Float64() >= g.options.HotShare {
		tenant, document = int(g.tenants.Uint64()), int(g.documents.Uint64())
	}
	system := uint64(pool*tenantCount+tenant) + 1
	return &workload.Request{
		ID:           fleet.RequestID(fmt.Sprintf("request-%d", g.drawn)),
		At:           now,
		Tenant:       tenantName(tenant),
		Class:        class,
		ModelVersion: modelVersion(pool),
		Segments: []workload.Segment{
			{ID: system, Tokens: systemTokens},
			{ID: system<<16 | uint64(document+1), Tokens: documentTokens},
			{ID: 1<<40 | g.drawn, Tokens: questionTokens},
		},
		OutputTokens: outputTokens,
	}
}
