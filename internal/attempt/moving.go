package attempt

import "time"

// CanRepeat reports whether the next send may be abandoned without an answer and sent again to
// another worker.
func (f *Forwarding) CanRepeat() bool {
	if f.continuing || f.possibleRuns+1 >= f.policy.MaxRuns {
		return false
	}
	if f.delivering {
		return f.policy.Resumable
	}
	return f.policy.Idempotent
}

// CanResume reports whether the stream that the next send brings may be broken off and continued by
// another run.
func (f *Forwarding) CanResume() bool {
	return f.policy.Resumable && f.possibleRuns+1 < f.policy.MaxRuns
}

// CanBreakOff reports whether the answer of the current send may be broken off and the request sent again, or its
// stream continued, if the retry budget allows.
func (f *Forwarding) CanBreakOff() bool {
	if f.delivering {
		return f.policy.Resumable && f.hasRunsLeft()
	}
	return f.CanRepeat()
}

// PrepayRetry records that the next retry has already been withdrawn from the budget.
func (f *Forwarding) PrepayRetry() { f.prepaid = true }

// withdraw takes a retry from the budget unless it is prepaid.
func (f *Forwarding) withdraw(now time.Duration) bool {
	if f.prepaid {
		f.prepaid = false
		return true
	}
	return f.budget.Withdraw(now)
}
