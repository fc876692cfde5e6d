package scheduling

import "time"

// queueTime returns the time until the request's own prefill can begin: the queued prompt work and
// the wait for a slot. If the request depends on a pending prefix, it waits at least for that. The
// pending prefix is part of the queued work, so the two are not added.
func queueTime(endpoint *Endpoint) time.Duration {
	ahead := prefillTime(endpoint, endpoint.PrefillTokens)
	if endpoint.PendingBlocks > endpoint.CachedBlocks {
		ahead = max(ahead, endpoint.PendingRemaining)
	}
	return ahead + slotWait(endpoint)
}

// slotWait predicts the time until a slot is free for the request, after the waiting streams of the
// same or a higher priority. Slots are assumed to become free at even intervals.
func slotWait(endpoint *Endpoint) time.Duration {
	if endpoint.Slots <= 0 || endpoint.InFlight < endpoint.Slots {
		return 0
	}
	waiting := max(endpoint.InFlight-endpoint.LowerPriorityStreams-endpoint.Slots, 0)
	return time.Duration(waiting+1) * endpoint.SlotTime / time.Duration(endpoint.Slots)
}

// PredictedWait returns the time for which a new request waits at an endpoint for requests of the
// same or a higher priority.
func PredictedWait(endpoint *Endpoint) time.Duration {
	wait := queueTime(endpoint) - prefillTime(endpoint, endpoint.LowerPriorityTokens+endpoint.ComputedTokens)
	return max(wait, 0)
}
