package config

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// validYAML is a small valid configuration. The tests refer to its line numbers.
const validYAML = `tenants:
  - name: citizen-app
    key_hashes: ["` + counterKeyHash + `"]
    weight: 3
    classes: [urgent, batch]
    max_concurrent: 64
    max_waiting: 256
classes:
  - {name: urgent, rank: 0, max_wait: 2s, min_share: 0}
  - {name: batch, rank: 20, max_wait: 10m, min_share: 0.05}
models:
  - name: notes
    pool: main
    versions:
      - {name: v1, state: serving}
      - {name: v2, state: loading}
    adapters:
      - name: billing
        versions: [{name: a1, state: serving}]
    max_prompt_tokens: 32768
    max_output_tokens: 1024
    block_tokens: 64
pools:
  - {name: main, max_streams: 16, max_loads: 2}
`

// counterKeyHash is the SHA-256 of "example-key-counter".
const counterKeyHash = "27c139b736e0e8c8e7292cde302b0d6fb1e6cff6b1a7413f3fafe27e70a2b166"

// validDocument returns a valid configuration with the named tenants and the tenant "first".
func validDocument(revision fleet.Revision, tenants ...fleet.TenantName) Document {
	document := Document{
		Revision: revision,
		Classes:  []Class{{Name: "urgent", MaxWait: Duration(time.Second)}},
		Models: []Model{{
			Name:            "notes",
			Pool:            "main",
			Versions:        []Version{{Name: "v1", State: VersionServing}},
			MaxPromptTokens: 4096,
			MaxOutputTokens: 512,
			BlockTokens:     64,
		}},
		Pools: []Pool{{Name: "main", MaxStreams: 8, MaxLoads: 1}},
	}
	for _, name := range append(tenants, "first") {
		document.Tenants = append(document.Tenants, Tenant{
			Name:          name,
			KeyHashes:     []string{HashKey(string(name))},
			Weight:        1,
			Classes:       []fleet.ClassName{"urgent"},
			MaxConcurrent: 4,
			MaxWaiting:    8,
		})
	}
	return Canonical(document)
}
