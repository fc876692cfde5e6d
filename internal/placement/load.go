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
	// measured is the last report's measurement on our clock, measuredMillis on
	// the engine's, received its receipt.
	measured       time.Duration
	measuredMillis int64
	received       time.Duration
	reported       bool

	queueTokens float64
	asOf        time.Duration

	perToken   time.Duration
	step       time.Duration
	stepTokens int

	foreignStreams int
	// recent holds the grants that may still differ between a late report and
	// our own count, in order of grant.
	recent []*grantState
}

// speed returns the time that one prompt token takes, the fixed cost of batch
// steps included.
func (l *loadEstimate) speed() time.Duration {
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
	if now <= l.asOf {
		return
	}
	drained := float64(now-l.asOf) / float64(l.speed())
	l.queueTokens = max(l.queueTokens-drained, 0)
	l.asOf = now
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
	l.recent = append(l.recent, grant)
}

// take replaces the estimate by a report received at now. A report measured
// earlier than the last one is dropped.
func (l *loadEstimate) take(now time.Duration, report engine.Load, dispatchDelay time.Duration) {
	if l.reported && report.MeasuredAtMillis < l.measuredMillis {
		return
	}
	l.mapMeasurement(now, report.MeasuredAtMillis)
	l.perToken = time.Duration(report.PrefillMicrosPerToken * float64(time.Microsecond))
	l.step = time.Duration(report.StepMicros * float64(time.Microsecond))
	l.stepTokens = report.StepTokens
	l.countForeign(report, dispatchDelay)
	l.replay(now, float64(report.WaitingPrefillTokens), dispatchDelay)
}

// mapMeasurement finds the time of a measurement on our clock.
func (l *loadEstimate) mapMeasurement(now time.Duration, millis int64) {
	elapsed := time.Duration(millis) * time.Millisecond
	offset := now - elapsed
	if l.reported {
		drift := (now - l.received) / clockDriftDivisor
		offset = min(offset, l.offset+drift)
	}
	l.offset = offset
	l.measured = min(elapsed+offset, now)
	l.measuredMillis = millis
	l.received = now
	l.reported = true
}

// countForeign finds the streams that other routers placed: the reported ones
// less our own that the report must include.
func (l *loadEstimate) countForeign(report engine.Load, dispatchDelay time.Duration) {
	own := 0
	kept := l.recent[:0]
	for _, grant := range l.recent {
		if grant.ended && grant.endedAt <= l.measured {
			continue
		}
		kept = append(kept, grant)
		if grant.grantedAt+dispatchDelay <= l.measured && !grant.neverRan {
			own++
		}
	}
	clear(l.recent[len(kept):])
	l.recent = kept
	l.foreignStreams = max(report.RunningStreams+report.WaitingStreams-own, 0)
}

// replay starts from the reported work and adds the grants made since at the
// time that the engine gets them. A grant that the report may already include
// isn't added, so that the two sources don't count the same work twice.
func (l *loadEstimate) replay(now time.Duration, reportedTokens float64, dispatchDelay time.Duration) {
	l.queueTokens = reportedTokens
	l.asOf = l.measured
	for _, grant := range l.recent {
		arrives := grant.grantedAt + dispatchDelay
		if arrives <= l.measured || grant.neverRan {
			continue
		}
		l.advance(min(arrives, now))
		l.queueTokens += float64(grant.uncachedTokens)
	}
	l.advance(now)
}

// retract takes back the work of a grant that never ran.
func (l *loadEstimate) retract(now time.Duration, grant *grantState, dispatchDelay time.Duration) {
	if l.reported && grant.grantedAt+dispatchDelay <= l.measured {
		return
	}
	l.advance(now)
	l.queueTokens = max(l.queueTokens-float64(grant.uncachedTokens), 0)
}
