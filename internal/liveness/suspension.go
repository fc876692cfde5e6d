package liveness

import "time"

// Parameters of a suspension.
const (
	// minTrialDelay and maxTrialDelay bound the time until a silent engine is tried again. It
	// doubles with each failed trial; each one delays a request by the time to detect the silence.
	minTrialDelay = time.Second
	maxTrialDelay = 4 * time.Second
	// maxTrialTime is how long a trial excludes others if its result never comes, because its caller
	// has left.
	maxTrialTime = 2 * time.Second
	// unrepeatableDelay is how much later a request that may not run again may be the trial, so that
	// an engine is tried even if no other request comes.
	unrepeatableDelay = 4 * time.Second
)

// Suspension decides when a silent engine gets requests again: after some time a single one, and all
// others once it has been heard. The zero value is an engine that isn't suspended.
type Suspension struct {
	active     bool
	delay      time.Duration
	trialAt    time.Duration
	trialUntil time.Duration
}

// Start records that the engine is silent, and doubles the delay if a trial has shown it.
func (s *Suspension) Start(now time.Duration) {
	switch {
	case !s.active:
		*s = Suspension{active: true, delay: minTrialDelay}
	case s.trialUntil > 0:
		s.delay = min(2*s.delay, maxTrialDelay)
	}
	s.trialAt, s.trialUntil = now+s.delay, 0
}

// End records a sign of life. It reports whether the engine was suspended.
func (s *Suspension) End() bool {
	wasActive := s.active
	*s = Suspension{}
	return wasActive
}

// Hint records a sign of life that came by another node. It says nothing of this node's way to the
// engine, so it only makes the first trial due now.
func (s *Suspension) Hint(now time.Duration) {
	if s.active && s.trialUntil == 0 && s.delay == minTrialDelay {
		s.trialAt = min(s.trialAt, now)
	}
}

// IsActive reports whether the engine hasn't been heard since it was found silent, even if a trial is
// due.
func (s *Suspension) IsActive() bool { return s.active }

// IsSuspended reports whether the engine gets no requests: until the trial and while it lasts.
func (s *Suspension) IsSuspended(now time.Duration) bool {
	return s.active && (now < s.trialAt || now < s.trialUntil)
}

// Allows reports whether a request may be sent to the engine. repeatable is set if it may run again
// elsewhere.
func (s *Suspension) Allows(now time.Duration, repeatable bool) bool {
	if !s.active {
		return true
	}
	return !s.IsSuspended(now) && (repeatable || now >= s.trialAt+unrepeatableDelay)
}

// Begin records that a request is sent to the engine, which is a trial if one is due.
func (s *Suspension) Begin(now time.Duration) {
	if s.active && !s.IsSuspended(now) {
		s.trialUntil = now + maxTrialTime
	}
}
