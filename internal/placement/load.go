package placement

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// clockDriftDivisor is the inverse of the maximum rate at which an engine's clock may run slow. The
// clock offset may rise at this rate.
const clockDriftDivisor = 2000

// loadEstimate corrects an engine's delayed load reports by the grants made since their
// measurement. Prompt work drains continuously at the engine's speed; each new report replays it
// from the time of measurement.
type loadEstimate struct {
	// offset maps the engine's elapsed clock to the local clock. It is the smallest observed
	// difference between the receipt of a report and its measurement, corrected for drift.
	offset time.Duration
	// measuredAt is the time of the last report's measurement on the local clock, measuredMillis on
	// the engine's clock; receivedAt is its receipt.
	measuredAt     time.Duration
	measuredMillis int64
	receivedAt     time.Duration
	reported       bool

	queueTokens float64
	updatedAt   time.Duration

	perToken   time.Duration
	step       time.Duration
	stepTokens int

	foreignStreams int
	// recentGrants holds, in order of grant, the grants that a delayed report may not include yet
	// or may still include.
	recentGrants []*grantState
}

// timePerToken returns the time to compute one prompt token, including the fixed cost of batch
// steps.
func (l *loadEstimate) timePerToken() time.Duration {
	perToken := l.perToken
	if perToken <= 0 {
		perToken = scheduling.DefaultPrefillPerToken
	}
	stepTokens := l.stepTokens
	if stepTokens <= 0 {
		stepTokens = scheduling.DefaultStepTokens
	}
	return perToken + l.step/time.Duration(stepTokens)
}

// advance drains the queue up to now.
func (l *loadEstimate) advance(now time.Duration) {
	if now <= l.updatedAt {
		return
	}
	drained := float64(now-l.updatedAt) / float64(l.timePerToken())
	l.queueTokens = max(l.queueTokens-drained, 0)
	l.updatedAt = now
}

// tokens returns the estimated prompt tokens queued at now.
func (l *loadEstimate) tokens(now time.Duration) int {
	l.advance(now)
	return int(l.queueTokens)
}

// add adds a grant made at now.
func (l *loadEstimate) add(now time.Duration, grant *grantState) {
	l.advance(now)
	l.queueTokens += float64(grant.uncachedTokens)
	l.recentGrants = append(l.recentGrants, grant)
}

// applyReport replaces the estimate by a report received at now. It drops a report measured before
// the last one.
func (l *loadEstimate) applyReport(now time.Duration, report engine.Load, dispatchDelay time.Duration) {
	if l.reported && report.MeasuredAtMillis < l.measuredMillis {
		return
	}
	l.alignClock(now, report.MeasuredAtMillis)
	l.perToken = time.Duration(report.PrefillMicrosPerToken * float64(time.Microsecond))
	l.step = time.Duration(report.StepMicros * float64(time.Microsecond))
	l.stepTokens = report.StepTokens
	l.countForeignStreams(report, dispatchDelay)
	l.replay(now, float64(report.WaitingPrefillTokens), dispatchDelay)
}

// alignClock maps the time of a measurement to the local clock.
func (l *loadEstimate) alignClock(now time.Duration, millis int64) {
	elapsed := time.Duration(millis) * time.Millisecond
	offset := now - elapsed
	if l.reported {
		drift := (now - l.receivedAt) / clockDriftDivisor
		offset = min(offset, l.offset+drift)
	}
	l.offset = offset
	l.measuredAt = min(elapsed+offset, now)
	l.measuredMillis = millis
	l.receivedAt = now
	l.reported = true
}

// countForeignStreams counts the streams placed by other routers: the reported ones minus the local
// ones that the report must include.
func (l *loadEstimate) countForeignStreams(report engine.Load, dispatchDelay time.Duration) {
	own := 0
	kept := l.recentGrants[:0]
	for _, grant := range l.recentGrants {
		if grant.ended && grant.endedAt <= l.measuredAt {
			continue
		}
		kept = append(kept, grant)
		if grant.grantedAt+dispatchDelay <= l.measuredAt && !grant.neverRan {
			own++
		}
	}
	clear(l.recentGrants[len(kept):])
	l.recentGrants = kept
	l.foreignStreams = max(report.RunningStreams+report.WaitingStreams-own, 0)
}

// replay starts from the reported work and adds later grants at the time that the engine receives
// them. It skips grants that the report may already include, to avoid counting their work twice.
func (l *loadEstimate) replay(now time.Duration, reportedTokens float64, dispatchDelay time.Duration) {
	l.queueTokens = reportedTokens
	l.updatedAt = l.measuredAt
	for _, grant := range l.recentGrants {
		arrives := grant.grantedAt + dispatchDelay
		if arrives <= l.measuredAt || grant.neverRan {
			continue
		}
		l.advance(min(arrives, now))
		l.queueTokens += float64(grant.uncachedTokens)
	}
	l.advance(now)
}

// retract removes the work of a grant that never ran.
func (l *loadEstimate) retract(now time.Duration, grant *grantState, dispatchDelay time.Duration) {
	if l.reported && grant.grantedAt+dispatchDelay <= l.measuredAt {
		return
	}
	l.advance(now)
	l.queueTokens = max(l.queueTokens-float64(grant.uncachedTokens), 0)
}
