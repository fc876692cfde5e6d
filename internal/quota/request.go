package quota

import (
	"math"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// PriorityCount is the number of priorities among a tenant's own requests.
const PriorityCount = 3

// Request is a request of a tenant that asks for units of the tenant's limit.
type Request struct {
	Tenant fleet.TenantName
	// Amount is the number of units.
	Amount float64
	// Priority orders the tenant's own requests: 0 is the most urgent, PriorityCount - 1 the least.
	Priority int
	// Returning is set if the caller was refused before and returns at the time that it was told.
	Returning bool
	// HoldBack is the number of units to leave for callers who were told to return now. It is
	// ignored if Returning is set.
	HoldBack float64
}

// priority returns the priority, within its range.
func (r *Request) priority() int { return min(max(r.Priority, 0), PriorityCount-1) }

// holdBack returns the units to leave for returning callers, at most limit.
func (r *Request) holdBack(limit float64) float64 {
	if r.Returning || math.IsNaN(r.HoldBack) {
		return 0
	}
	return min(max(r.HoldBack, 0), limit)
}

// Cause is the reason for a decision.
type Cause int

// Causes of decisions.
const (
	// WithinLimit means that the request was admitted, as one of any priority would have been.
	WithinLimit Cause = iota
	// FromReserve means that it was admitted to units that are kept from less urgent requests.
	FromReserve
	// AsReturning means that it was admitted since its caller returned as told.
	AsReturning
	// ByMinimumShare means that it was admitted by the minimum share of its priority.
	ByMinimumShare
	// AsCheap means that it was admitted before larger requests of its priority.
	AsCheap
	// LimitUsed means that it was refused since too few units are left.
	LimitUsed
	// KeptForOthers means that it was refused since the units left are kept for more urgent requests
	// or for returning callers.
	KeptForOthers
)

// admits reports whether the request was admitted.
func (c Cause) admits() bool { return c < LimitUsed }

// String returns the cause as it appears in logs and metrics.
func (c Cause) String() string {
	switch c {
	case WithinLimit:
		return "within_limit"
	case FromReserve:
		return "from_reserve"
	case AsReturning:
		return "returning"
	case ByMinimumShare:
		return "minimum_share"
	case AsCheap:
		return "cheap"
	case LimitUsed:
		return "limit_used"
	case KeptForOthers:
		return "kept_for_others"
	default:
		return "unknown"
	}
}
