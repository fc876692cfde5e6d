package backends

import "time"

// meanProgress is the mean speed at which an engine computes the reported prompts, as a fraction of
// its usual speed: it is slowed down at moments and computes short prompts in between.
const meanProgress = 0.5

// reportInterval is the time after which peers have reported their work anew.
const reportInterval = 600 * time.Millisecond

// prefillAhead predicts how much of the reported prompt work an engine still has before it. Reports
// count a prompt until its response begins or until the next report, so that they overstate the
// work that is left.
type prefillAhead struct {
	// reported is the reported work as of updatedAt, and remaining the part that is left of it, both
	// in tokens.
	reported  int
	remaining float64
	updatedAt time.Duration
}

// update returns the remaining work at now, for the reported work and an engine's time per token.
// Added work is assumed to have just arrived. After more than an interval of reports, all of it is:
// only growth shows in the reports, not what takes the place of work that was computed.
func (p *prefillAhead) update(now time.Duration, reported int, perToken time.Duration) int {
	switch elapsed := now - p.updatedAt; {
	case elapsed > reportInterval:
		p.remaining = float64(max(reported, 0))
	case elapsed > 0 && perToken > 0:
		p.remaining = max(p.remaining-meanProgress*float64(elapsed)/float64(perToken), 0)
	}
	p.remaining = min(p.remaining+float64(max(reported-p.reported, 0)), float64(max(reported, 0)))
	p.reported, p.updatedAt = reported, now
	return int(p.remaining)
}
