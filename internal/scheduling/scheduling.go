// Package scheduling decides which engine gets a request: filters remove the
// engines that must not have it, scorers rate the rest, a picker takes one.
// Each step reads an immutable snapshot and has no I/O. The shape follows the
// endpoint picker of the Gateway API inference extension.
package scheduling

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Endpoint is what is known of one engine run at the moment of a decision.
type Endpoint struct {
	Run     fleet.EngineRun
	Address fleet.Address
	Zone    fleet.ZoneName
	Pool    fleet.PoolName
	// Ready is false for an engine that hasn't answered lately.
	Ready bool
	// Leaving is true once any source has said that this run is leaving; it
	// never becomes false again for the same run.
	Leaving bool
	// Serves tells whether the run has the weights loaded and its role takes requests.
	Serves func(weights fleet.Weights) bool
	// InFlight counts the streams placed here and not known to have ended.
	InFlight int
	// MaxStreams bounds InFlight.
	MaxStreams int
	// PrefillTokens is the uncached prompt work ahead of a new request: the
	// last load report plus what was placed since, less what has ended.
	PrefillTokens int
	// PrefillPerToken and Step are the engine's measured speed.
	PrefillPerToken time.Duration
	Step            time.Duration
	// CachedBlocks is the length of the request's prefix held here.
	CachedBlocks int
	// PendingBlocks is the part of the prefix that a request placed here
	// earlier is computing now, CachedBlocks included.
	PendingBlocks int
}

// Request is what a decision needs to know of a request.
type Request struct {
	ID           fleet.RequestID
	Tenant       fleet.TenantName
	Class        fleet.ClassName
	Rank         int
	Weights      fleet.Weights
	Pool         fleet.PoolName
	AgentZone    fleet.ZoneName
	PromptTokens int
	MaxTokens    int
	BlockTokens  int
	Excluded     []fleet.EngineRun
	// Deadline is the time left; 0 means none.
	Deadline time.Duration
}
