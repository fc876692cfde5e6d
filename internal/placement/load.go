package placement

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// clockDriftDivisor is the inverse of the greatest rate at which an engine's
// clock may run slow against ours; the smallest offset is let rise by it.
const clockDriftDivisor = 2000

// loadEstimate corrects an engine's lagging load report by what was granted
// since its measurement. The prompt work is a fluid that drains at the engine's
// speed; it is replayed from the report's measurement with each new report.
type loadEstimate struct {
	// offset maps the engine's elapsed clock to ours: the smallest difference
	// seen between the receipt of a report and its measurement.
	offset time.Duration
	// measuredAt is the last report's measurement on our clock, measuredMillis on
	// the engine's, received its receipt.
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
	// recentGrants holds the grants that may still differ between a late report and
	// our own count, in order of grant.
	recentGrants []*grantState
}

// timePerToken returns the time that one prompt token takes, the fixed cost of batch
// steps included.
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

// tokens returns the estimated prompt work at now.
func (l *loadEstimate) tokens(now time.Duration) int {
	l.advance(now)
	return int(l.queueTokens)
}

// add counts a grant made at now.
func (l *loadEstimate) add(now time.Duration, grant *grantState) {
	l.advance(now)
	l.queueTokens += float64(grant.uncachedTokens)
	l.recentGrants = append(l.recentGrants, grant)
}

// applyReport replaces the estimate by a report received at now. A report measured
// earlier than the last one is dropped.
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

// alignClock finds the time of a measurement on our clock.
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

// countForeignStreams finds the streams that other routers placed: the reported ones
// less our own that the report must include.
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

// replay starts from the reported work and adds the grants made since at the
// time that the engine gets them. A grant that the report may already include
// isn't added, so that the two sources don't count the same work twice.
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

// retract takes back the work of a grant that never ran.
func (l *loadEstimate) retract(now time.Duration, grant *grantState, dispatchDelay time.Duration) {
	if l.reported && grant.grantedAt+dispatchDelay <= l.measuredAt {
		return
	}
	l.advance(now)
	l.queueTokens = max(l.queueTokens-float64(grant.uncachedTokens), 0)
}
