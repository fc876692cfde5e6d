// Package flowcontrol decides which waiting request goes next and which is
// refused: classes by rank, weighted fair shares among the tenants of a class,
// a guaranteed minimum share against starvation, bounded queues, deadlines.
// It has no I/O and no clock of its own.
package flowcontrol

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Key identifies one waiting attempt.
type Key struct {
	Request fleet.RequestID
	Attempt fleet.Attempt
}

// Item is one waiting request.
type Item struct {
	Key    Key
	Tenant fleet.TenantName
	Class  fleet.ClassName
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
