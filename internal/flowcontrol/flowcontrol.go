// Package flowcontrol decides which waiting request goes next and which is
// refused: classes by rank, weighted fair shares among the tenants of a class,
// a guaranteed minimum share against starvation, bounded queues, deadlines.
// It has no I/O and no clock of its own; a Controller isn't safe for
// concurrent use.
//
// The fair share is start-time fair queuing (Goyal, Vin, Cheng: "Start-time
// Fair Queuing", SIGCOMM 1996) with a request's tokens in place of a packet's
// length.
package flowcontrol

import (
	"math/rand/v2"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Key identifies one waiting attempt.
type Key struct {
	Request fleet.RequestID
	Attempt fleet.Attempt
}

// Lane names a set of engines. Items of different lanes never compete, so
// neither blocks the other and shares are kept for each lane apart.
type Lane string

// Item is one waiting request.
type Item struct {
	Key    Key
	Tenant fleet.TenantName
	Class  fleet.ClassName
	Lane   Lane
	// Cost is the request's charge against its tenant's share, in tokens.
	Cost float64
	// Deadline is the absolute time, on the caller's clock, after which the
	// request is of no use; 0 means none.
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

// Options sets up a Controller. A zero field takes its default.
type Options struct {
	// Random spreads the retry times; required.
	Random *rand.Rand
	// ScanDepth bounds how many items of one tenant, class and lane Next looks
	// at behind one that isn't admitted.
	ScanDepth int
	// MaxScan bounds the calls of admit in one Next.
	MaxScan int
	// MinRetryAfter and MaxRetryAfter bound a refusal's RetryAfter before spreading.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// RetryJitter is the greatest part by which RetryAfter is lengthened at random.
	RetryJitter float64
	// UnknownTenant applies to tenants that the policy doesn't name.
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
