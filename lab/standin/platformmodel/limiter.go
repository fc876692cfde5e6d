package platformmodel

import (
	"time"

	"golang.org/x/time/rate"
)

// Rate configures a token bucket.
type Rate struct {
	// PerSecond is the refill rate in calls per second; 0 means no limit.
	PerSecond float64 `json:"per_second"`
	// Burst is the capacity of the bucket; 0 means one call.
	Burst int `json:"burst"`
}

// limiter is a token bucket on elapsed time.
type limiter struct{ bucket *rate.Limiter }

func newLimiter(limit Rate) *limiter {
	if limit.PerSecond <= 0 {
		return &limiter{}
	}
	return &limiter{bucket: rate.NewLimiter(rate.Limit(limit.PerSecond), max(limit.Burst, 1))}
}

func (l *limiter) allow(now time.Duration) bool {
	if l.bucket == nil {
		return true
	}
	return l.bucket.AllowN(time.Unix(0, 0).Add(now), 1)
}
