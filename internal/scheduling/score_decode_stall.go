package scheduling

import "time"

// decodeStallCost returns the price of the pauses that a prompt makes in the streams
// of others. An engine computes a part of the waiting prompts in each batch step,
// so a stream's next event waits for EventSteps such parts. As long as the
// waiting prompts fill fewer steps, the pause stays shorter.
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
