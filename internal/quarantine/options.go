package quarantine

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Options configures a Tracker; zero fields take the defaults.
type Options struct {
	// Node names this node in what it tells others.
	Node fleet.NodeID
	// Threshold is the number of workers that must have crashed while running a request before it
	// is quarantined.
	Threshold int
	// GracePeriod is how long after a complete answer crashes don't count against the request.
	GracePeriod time.Duration
	// RequestTrials are the trials of quarantined requests, PartTrials those of parts.
	RequestTrials, PartTrials TrialPolicy
	// QuarantineRetention is how long after its last change the record of a quarantined request is
	// kept.
	QuarantineRetention time.Duration
	// SuspectRetention is how long after its last change the record of any other request is kept.
	SuspectRetention time.Duration
	// MaxRecords bounds the number of records.
	MaxRecords int
}

// TrialPolicy says when a quarantined request, or one with a quarantined part, may be sent once to see
// whether it still crashes workers. Zero fields take the defaults.
type TrialPolicy struct {
	// Delay is the time from the last crash to the first trial. Each trial multiplies the delay of the
	// next one by DelayFactor.
	Delay       time.Duration
	DelayFactor int
	// Max bounds the trials. After the last one the quarantine lasts until the record is dropped.
	Max int
}

// Defaults of Options.
const (
	// DefaultThreshold is high enough that a harmless request is rarely in flight at as many
	// crashing workers.
	DefaultThreshold = 3
	// DefaultGracePeriod protects popular requests of a service whose workers crash often.
	DefaultGracePeriod = 10 * time.Second
	// DefaultTrialDelay exceeds the usual delays between the retries of a caller.
	DefaultTrialDelay       = 2 * time.Minute
	DefaultTrialDelayFactor = 5
	DefaultMaxTrials        = 3
	// DefaultPartTrialDelay is shorter: many sound requests may have the part.
	DefaultPartTrialDelay       = 30 * time.Second
	DefaultPartTrialDelayFactor = 20
	// DefaultMaxPartTrials is lower: requests with the part may still be under way when it is
	// quarantined, and count as well.
	DefaultMaxPartTrials       = 2
	DefaultQuarantineRetention = 24 * time.Hour
	DefaultSuspectRetention    = 30 * time.Minute
	DefaultMaxRecords          = 2048
)

func (o *Options) setDefaults() {
	setDefault(&o.Threshold, DefaultThreshold)
	setDefault(&o.GracePeriod, DefaultGracePeriod)
	o.RequestTrials.setDefaults(TrialPolicy{Delay: DefaultTrialDelay, DelayFactor: DefaultTrialDelayFactor, Max: DefaultMaxTrials})
	o.PartTrials.setDefaults(TrialPolicy{Delay: DefaultPartTrialDelay, DelayFactor: DefaultPartTrialDelayFactor, Max: DefaultMaxPartTrials})
	setDefault(&o.QuarantineRetention, DefaultQuarantineRetention)
	setDefault(&o.SuspectRetention, DefaultSuspectRetention)
	setDefault(&o.MaxRecords, DefaultMaxRecords)
}

func (p *TrialPolicy) setDefaults(defaults TrialPolicy) {
	setDefault(&p.Delay, defaults.Delay)
	setDefault(&p.DelayFactor, defaults.DelayFactor)
	setDefault(&p.Max, defaults.Max)
}

// setDefault sets an option that isn't positive to its default.
func setDefault[Option int | time.Duration](option *Option, fallback Option) {
	if *option <= 0 {
		*option = fallback
	}
}

// allowsAnother reports whether another trial of a quarantined request or part is allowed.
func (p *TrialPolicy) allowsAnother(record *Record) bool { return record.Trials < p.Max }

// dueAt returns when the next trial is due. The delay counts from the last crash or the last trial,
// whichever is later.
func (p *TrialPolicy) dueAt(record *Record, lastCrash time.Duration) time.Duration {
	delay := p.Delay
	for range record.Trials {
		delay *= time.Duration(p.DelayFactor)
	}
	since := lastCrash
	if record.Trials > 0 {
		since = max(since, record.LastTrialAt)
	}
	return since + delay
}
