// Package flowcontrol decides which waiting request is served next and which is refused. It orders
// classes by rank, shares each class among tenants by weight, guarantees minimum shares, bounds
// queues and enforces deadlines. It has no I/O and no clock; a Controller isn't safe for concurrent
// use.
//
// Fair sharing uses start-time fair queuing (Goyal, Vin, Cheng: "Start-time Fair Queuing", SIGCOMM
// 1996) with a request's tokens as the packet length.
package flowcontrol

import (
	"math/rand/v2"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Key identifies a waiting attempt.
type Key struct {
	Request fleet.RequestID
	Attempt fleet.Attempt
}

// Lane names a set of engines. Items of different lanes don't compete: a lane can't block another
// one, and shares are accounted per lane.
type Lane string

// Item is a waiting request.
type Item struct {
	Key    Key
	Tenant fleet.TenantName
	Class  fleet.ClassName
	Lane   Lane
	// Cost is charged against the tenant's share, in tokens.
	Cost float64
	// Deadline is the absolute time, on the caller's clock, after which the request is useless; 0
	// means none.
	Deadline time.Duration
}

// Refusal says that a request was not and will not be placed.
type Refusal struct {
	Key        Key
	Code       resultcode.Code
	Reason     string
	RetryAfter time.Duration
}

// Defaults of Options.
const (
	defaultScanDepth     = 16
	defaultMaxScan       = 4096
	defaultMinRetryAfter = 100 * time.Millisecond
	defaultMaxRetryAfter = time.Minute
	defaultRetryJitter   = 0.5
	defaultWeight        = 1
	defaultMaxWaiting    = 1024
)

// Options configures a Controller. Zero fields take their defaults.
type Options struct {
	// Random adds jitter to retry times; required.
	Random *rand.Rand
	// ScanDepth bounds how many items of a flow Next offers to admit.
	ScanDepth int
	// MaxScan bounds the calls of admit per Next.
	MaxScan int
	// MinRetryAfter and MaxRetryAfter bound a refusal's RetryAfter before jitter.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// RetryJitter is the largest fraction by which RetryAfter is lengthened at random.
	RetryJitter float64
	// UnknownTenant applies to tenants that the policy doesn't list.
	UnknownTenant TenantPolicy
}

func (o Options) withDefaults() Options {
	setDefault(&o.ScanDepth, defaultScanDepth)
	setDefault(&o.MaxScan, defaultMaxScan)
	setDefault(&o.MinRetryAfter, defaultMinRetryAfter)
	setDefault(&o.MaxRetryAfter, defaultMaxRetryAfter)
	setDefault(&o.RetryJitter, defaultRetryJitter)
	setDefault(&o.UnknownTenant.Weight, defaultWeight)
	setDefault(&o.UnknownTenant.MaxWaiting, defaultMaxWaiting)
	return o
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
