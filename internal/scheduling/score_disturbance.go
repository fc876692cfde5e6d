package scheduling

import "time"

// disturbance returns the price of the pauses that a prompt makes in the streams
// of others. An engine computes a part of the waiting prompts in each batch step,
// so a stream's next event waits for EventSteps such parts. As long as the
// waiting prompts fill fewer steps, the pause stays shorter.
func (s *Scheduler) disturbance(endpoint *Endpoint, uncached int) time.Duration {
	if endpoint.EventSteps <= 0 || endpoint.Decoding <= 0 {
		return 0
	}
	stepTokens := endpoint.StepTokens
	if stepTokens <= 0 {
		stepTokens = DefaultStepTokens
	}
	tolerated := (endpoint.EventSteps - 1) * stepTokens
	if max(endpoint.PrefillTokens, 0)+uncached <= tolerated {
		return 0
	}
	return time.Duration(endpoint.Decoding) * s.options.DisturbanceWeight
}
