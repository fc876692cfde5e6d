package workload

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Priority classes of both fleets, most urgent first.
const (
	ClassUrgent   fleet.ClassName = "urgent"
	ClassStandard fleet.ClassName = "standard"
	ClassBatch    fleet.ClassName = "batch"
)

// Fleet describes a fleet: its machines, network and traffic.
type Fleet struct {
	Name         string
	Zones        []fleet.ZoneName
	Engines      int
	Routers      int
	ModelVersion fleet.ModelVersion
	Pool         fleet.PoolName
	// ZoneLatency is the one-way latency between zones, ClientLatency that to clients.
	ZoneLatency   time.Duration
	ClientLatency time.Duration
	// FullSpeedLoads is the number of engines that can load weights concurrently at full speed.
	FullSpeedLoads int
	// BlockTokens is the length of a cache block in tokens, CacheBlocks the cache capacity of one
	// engine in blocks. BlockIdleTTL is the idle time after which blocks are evicted.
	BlockTokens  int
	CacheBlocks  int
	BlockIdleTTL time.Duration
	Tenants      []Tenant
	Traffic      Traffic
}

// Tenant is a tenant of a fleet.
type Tenant struct {
	Name   fleet.TenantName
	Weight float64
	// Share is the fraction of all requests that the tenant sends.
	Share float64
}

// Traffic describes the requests of a fleet.
type Traffic struct {
	// Top, Middle and LeafTokens describe the nested levels of long prompts. The leaf is unique to
	// a request.
	Top, Middle  Level
	LeafTokens   int
	LookupTokens int
	// Fractions of all requests by kind. The rest are drafts.
	QuestionFraction, LookupFraction, BatchFraction float64
	// Mean output lengths in tokens by kind.
	QuestionOutput, DraftOutput, LookupOutput, BatchOutput int
	// NonRepeatableFraction is the fraction of lookups that must run at most once.
	NonRepeatableFraction float64
}

// Level is one level of the nested prefixes of a tenant.
type Level struct {
	// Variants is the number of different texts, Skew the exponent of their Zipf popularity.
	Variants int
	Skew     float64
	Tokens   int
}

const (
	tenantCount       = 8
	largeTenantShare  = 0.25
	largeTenants      = 3
	largeTenantWeight = 3
)

// AhdWestFleet returns the fleet "ahd-west", whose main objective is the tail latency of the first
// token.
func AhdWestFleet() Fleet {
	return Fleet{
		Name:           "ahd-west",
		Zones:          []fleet.ZoneName{"paldi-hall", "vasna-hall", "bopal-hall"},
		Engines:        12,
		Routers:        3,
		ModelVersion:   fleet.ModelVersion{Model: "sahayak-llm", Version: "v1"},
		Pool:           "sahayak",
		ZoneLatency:    1500 * time.Microsecond,
		ClientLatency:  time.Millisecond,
		FullSpeedLoads: 2,
		BlockTokens:    64,
		CacheBlocks:    2048,
		BlockIdleTTL:   10 * time.Second,
		Tenants:        tenants(),
		Traffic: Traffic{
			Top:              Level{Variants: 6, Skew: 1.4, Tokens: 6000},
			Middle:           Level{Variants: 40, Skew: 1.2, Tokens: 1500},
			LeafTokens:       120,
			LookupTokens:     300,
			QuestionFraction: 0.45, LookupFraction: 0.25, BatchFraction: 0.2,
			QuestionOutput: 60, DraftOutput: 250, LookupOutput: 20, BatchOutput: 120,
			NonRepeatableFraction: 0.2,
		},
	}
}

// WPColomboFleet returns the fleet "wp-colombo", whose main objectives are cache hit rate and
// little recomputation.
func WPColomboFleet() Fleet {
	return Fleet{
		Name:           "wp-colombo",
		Zones:          []fleet.ZoneName{"rajagiriya", "kelaniya", "nugegoda", "ratmalana"},
		Engines:        18,
		Routers:        4,
		ModelVersion:   fleet.ModelVersion{Model: "lm-fab", Version: "v1"},
		Pool:           "fab",
		ZoneLatency:    1500 * time.Microsecond,
		ClientLatency:  time.Millisecond,
		FullSpeedLoads: 3,
		BlockTokens:    64,
		CacheBlocks:    4096,
		BlockIdleTTL:   10 * time.Second,
		Tenants:        tenants(),
		Traffic: Traffic{
			Top:              Level{Variants: 4, Skew: 1.3, Tokens: 16000},
			Middle:           Level{Variants: 120, Skew: 1.1, Tokens: 3000},
			LeafTokens:       200,
			LookupTokens:     250,
			QuestionFraction: 0.3, LookupFraction: 0.35, BatchFraction: 0.1,
			QuestionOutput: 80, DraftOutput: 300, LookupOutput: 15, BatchOutput: 150,
			NonRepeatableFraction: 0.2,
		},
	}
}

// tenants returns eight tenants, three of them large.
func tenants() []Tenant {
	names := []fleet.TenantName{"t-amber", "t-birch", "t-cedar", "t-dune", "t-elm", "t-fern", "t-grove", "t-heath"}
	small := (1 - largeTenants*largeTenantShare) / (tenantCount - largeTenants)
	result := make([]Tenant, 0, tenantCount)
	for i, name := range names {
		if i < largeTenants {
			result = append(result, Tenant{Name: name, Weight: largeTenantWeight, Share: largeTenantShare})
			continue
		}
		result = append(result, Tenant{Name: name, Weight: 1, Share: small})
	}
	return result
}
