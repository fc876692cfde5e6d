package scheduling

import "time"

// queueTime returns the time until the request's own prefill can begin: the
// prompt work ahead of it and the wait for a slot. A pending prefix that the request
// would use may take longer; its computation is part of the work ahead, so the two
// don't add.
func queueTime(endpoint *Endpoint) time.Duration {
	ahead := prefillTime(endpoint, endpoint.PrefillTokens)
	if endpoint.PendingBlocks > endpoint.CachedBlocks {
		ahead = max(ahead, endpoint.PendingRemaining)
	}
	return ahead + slotWait(endpoint)
}

// slotWait predicts the time until a slot is free for the request, behind the streams
// that wait for one and are as urgent. Slots become free one after the other, evenly
// over the time that a stream holds one.
func slotWait(endpoint *Endpoint) time.Duration {
	if endpoint.Slots <= 0 || endpoint.InFlight < endpoint.Slots {
		return 0
	}
	waiting := max(endpoint.InFlight-endpoint.LowerPriorityStreams-endpoint.Slots, 0)
	return time.Duration(waiting+1) * endpoint.SlotTime / time.Duration(endpoint.Slots)
}

// PredictedWait returns the time for which a request waits for others at an endpoint, without
// those that it overtakes.
func PredictedWait(endpoint *Endpoint) time.Duration {
	return queueTime(endpoint) - prefillTime(endpoint, endpoint.LowerPriorityTokens)
}
