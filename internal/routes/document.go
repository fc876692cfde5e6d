// Package routes is the gateway's configuration: which service a request goes to, who may send it, and
// within which limits. A Document is the configuration as an operator wrote it; a Table is a document
// compiled for lookups, immutable and safe for concurrent use. The package has no I/O.
package routes

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Kind is whether a route's requests may be repeated.
type Kind string

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Streaming requests are answered by a series of events. They count as unsafe unless the route is
	// resumable.
	Streaming Kind = "streaming"
)

// Document is a complete configuration.
type Document struct {
	Version  fleet.Revision
	Routes   []Route
	Services []Service
	Tenants  []Tenant
	Limits   Limits
}

// Route defines where requests with one host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Split lists the services and their shares of the requests.
	Split []Share
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// TargetLatency is the target for the time to the complete answer, or to the first event of a
	// stream.
	TargetLatency time.Duration
	// TargetGap is the target for the longest pause between the events of a stream.
	TargetGap time.Duration
	// Priority of the route's requests; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the workers to which one request may be sent.
	MaxAttempts int
	// Public routes require no key.
	Public bool
	// Resumable streams may be continued by another worker.
	Resumable bool
}

// IsIdempotent reports whether a request of the route may run more than once.
func (r *Route) IsIdempotent() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Share is one service's share of a route's requests, in proportion to its weight.
type Share struct {
	Service fleet.PoolName
	Weight  int
}

// Service is a set of workers that do the same work.
type Service struct {
	Name       fleet.PoolName
	HealthPath string
	// MaxConnections bounds the connections to one worker from all callers; 0 means no bound.
	MaxConnections int
	// MaxFollowers bounds the callers that subscribe to one worker's cache events; 0 means no bound.
	MaxFollowers int
	// Engine is set for language-model engines.
	Engine *EngineService
	// Store is set for a KV cache store, which serves no requests.
	Store *StoreService
}

// EngineService describes the engines of a service.
type EngineService struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CapacityTokens is the size of an engine's KV cache, in tokens.
	CapacityTokens int
	// TokenBytes is the KV cache size of one token, in bytes.
	TokenBytes int
	// LinkMegabits is the bandwidth of an engine's link, in Mbit/s.
	LinkMegabits float64
	// EventTokens is the number of tokens in an event of a stream.
	EventTokens int
	// Models lists the models that the engines serve.
	Models []fleet.ModelName
}

// StoreService describes a KV cache store.
type StoreService struct {
	Address fleet.Address
	Zone    fleet.ZoneName
	// LinkMegabits is the bandwidth of the store's link, in Mbit/s.
	LinkMegabits float64
	// CapacityTokens is the store's capacity, in tokens.
	CapacityTokens int
}

// Tenant is a caller that authenticates with one of its keys.
type Tenant struct {
	Name fleet.TenantName
	Keys []string
	// Priority overrides the route's if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated tenants share no cached prompt prefixes with other tenants.
	Isolated bool
	// Quota bounds the tenant's use over all nodes; nil means no bound.
	Quota *Quota
	// QuotaUnreadable is set if the document's quota for the tenant can't be parsed.
	QuotaUnreadable bool
}

// QuotaUnit is the unit that a quota counts.
type QuotaUnit string

// Units of quotas.
const (
	// QuotaRequests counts each request as one.
	QuotaRequests QuotaUnit = "requests"
	// QuotaTokens counts the prompt's tokens and the maximum number of output tokens.
	QuotaTokens QuotaUnit = "tokens"
)

// Quota bounds a tenant's use over all nodes.
type Quota struct {
	Unit QuotaUnit
	// Rate is in units per second; Burst is the units that may be used at once, above the rate.
	Rate  float64
	Burst float64
	// UncountedTokens is the cost of a request that doesn't state its number of tokens.
	UncountedTokens int
}

// Cost returns the units that a request uses. counted is set if the request states its number of
// tokens.
func (q *Quota) Cost(promptTokens, outputTokens int, counted bool) float64 {
	switch {
	case q.Unit != QuotaTokens:
		return 1
	case !counted:
		return float64(q.UncountedTokens)
	default:
		return float64(promptTokens + outputTokens)
	}
}

// KeepUnreadableQuotas keeps the previous table's quota of each tenant whose quota can't be parsed.
// previous may be nil.
func (d *Document) KeepUnreadableQuotas(previous *Table) {
	for index := range d.Tenants {
		tenant := &d.Tenants[index]
		if !tenant.QuotaUnreadable || previous == nil {
			continue
		}
		for _, before := range previous.Tenants() {
			if before.Name == tenant.Name {
				tenant.Quota = before.Quota
			}
		}
	}
}

// Limits bounds what a caller may send. A zero field means no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
