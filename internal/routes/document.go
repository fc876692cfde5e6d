// Package routes is the gateway's configuration: which service a request goes
// to, who may send it, and within which bounds. A Document is what an operator
// wrote; a Table is the document compiled for lookups, immutable and safe for
// concurrent use. The package has no I/O.
package routes

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Kind tells what may be repeated of a route's requests.
type Kind string

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Streaming requests are answered by a series of events. They count as
	// unsafe unless the route is resumable.
	Streaming Kind = "streaming"
)

// Document is a whole configuration.
type Document struct {
	Version  fleet.Revision
	Routes   []Route
	Services []Service
	Tenants  []Tenant
	Limits   Limits
}

// Route says where requests of one host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Split names the services and their shares.
	Split []Share
	// Timeout is the longest that a request may be held.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full worth, to
	// the first event for streams.
	TargetLatency time.Duration
	// TargetGap is the longest pause between events of an answer in time.
	TargetGap time.Duration
	// Priority orders routes; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the workers that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued by another worker.
	Resumable bool
}

// IsIdempotent tells whether a request of the route may run more than once.
func (r *Route) IsIdempotent() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Share is one service's part of a route's requests.
type Share struct {
	Service fleet.PoolName
	Weight  int
}

// Service is a set of workers that do the same work.
type Service struct {
	Name       fleet.PoolName
	HealthPath string
	// MaxConnections bounds the connections to one worker from all callers; 0
	// means no bound.
	MaxConnections int
	// MaxFollowers bounds the callers that follow one worker's cache; 0 means no
	// bound.
	MaxFollowers int
	// Engine is set for language-model engines.
	Engine *EngineService
	// Store is set for a store of kept KV cache, which serves no requests.
	Store *StoreService
}

// EngineService describes the engines of a service.
type EngineService struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CapacityTokens is an engine's memory for KV cache.
	CapacityTokens int
	// TokenBytes is the size of one token's KV cache.
	TokenBytes int
	// LinkMegabits is the bandwidth of an engine's link, in Mbit/s.
	LinkMegabits float64
	// EventTokens is the number of tokens in an event of a stream.
	EventTokens int
	// Models lists what the engines serve.
	Models []fleet.ModelName
}

// StoreService describes a store of kept KV cache.
type StoreService struct {
	Address fleet.Address
	Zone    fleet.ZoneName
	// LinkMegabits is the bandwidth of the store's link, in Mbit/s.
	LinkMegabits float64
	// CapacityTokens is the store's room.
	CapacityTokens int
}

// Tenant is a caller with keys.
type Tenant struct {
	Name fleet.TenantName
	Keys []string
	// Priority goes before the route's where HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated tenants share no cached prompt part with others.
	Isolated bool
	// Quota bounds what the tenant may use of all nodes together; nil means no bound.
	Quota *Quota
	// QuotaUnreadable is set if the document names a bound that can't be read.
	QuotaUnreadable bool
}

// QuotaUnit is what a quota counts.
type QuotaUnit string

// Units of quotas.
const (
	// QuotaRequests counts each request as one.
	QuotaRequests QuotaUnit = "requests"
	// QuotaTokens counts a prompt's tokens and the most tokens of its answer.
	QuotaTokens QuotaUnit = "tokens"
)

// Quota bounds a tenant's requests of all nodes together.
type Quota struct {
	Unit QuotaUnit
	// Rate is the units a second, and Burst the units that may be used above.
	Rate  float64
	Burst float64
	// UncountedTokens is what a request costs that doesn't name its tokens.
	UncountedTokens int
}

// Cost returns the units that a request uses. counted is set if it names its tokens.
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

// KeepUnreadableQuotas gives tenants whose quota can't be read the one that a former table
// holds. former may be nil.
func (d *Document) KeepUnreadableQuotas(former *Table) {
	for index := range d.Tenants {
		tenant := &d.Tenants[index]
		if !tenant.QuotaUnreadable || former == nil {
			continue
		}
		for _, before := range former.Tenants() {
			if before.Name == tenant.Name {
				tenant.Quota = before.Quota
			}
		}
	}
}

// Limits bound what a caller may send. A zero field means no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
