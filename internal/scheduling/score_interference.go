package scheduling

import "time"

// interferenceTime returns the time that batch steps take in addition to prefill: with chunked
// prefill, every step is shared with the decoding streams (Agrawal et al., "Sarathi-Serve", OSDI
// 2024). An idle engine takes one step, which yields the first token.
func interferenceTime(endpoint *Endpoint, uncached int) time.Duration {
	step := endpoint.Step
	if step <= 0 {
		step = DefaultStep
	}
	stepTokens := endpoint.StepTokens
	if stepTokens <= 0 {
		stepTokens = DefaultStepTokens
	}
	tokens := max(endpoint.PrefillTokens, 0) + max(uncached, 0)
	steps := max((tokens+stepTokens-1)/stepTokens, 1)
	return time.Duration(steps) * step
}
