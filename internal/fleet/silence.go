package fleet

import "time"

// MaxSilence exceeds the time for which a sound worker may be silent, a second or so. No shorter silence is a reason
// to give up what a worker has begun.
const MaxSilence = 2500 * time.Millisecond
