package scheduling

import "time"

// decodeStallCost returns the cost of the pauses that a prompt causes in decoding streams. Each
// batch step computes a chunk of the queued prompts, so that a stream's next event is delayed by up
// to StepsPerEvent chunks. Prompts that fill fewer steps are not charged.
func (s *Scheduler) decodeStallCost(endpoint *Endpoint, uncached int) time.Duration {
	if endpoint.StepsPerEvent <= 0 || endpoint.DecodingStreams <= 0 {
		return 0
	}
	stepTokens := endpoint.StepTokens
	if stepTokens <= 0 {
		stepTokens = DefaultStepTokens
	}
	tolerated := (endpoint.StepsPerEvent - 1) * stepTokens
	if max(endpoint.PrefillTokens, 0)+uncached <= tolerated {
		return 0
	}
	return time.Duration(endpoint.DecodingStreams) * s.options.DecodeStallWeight
}
