package scheduling

import "time"

// queueTime returns the time until the request's own prefill can begin: the
// prompt work ahead of it. A pending prefix that the request would use may
// take longer; its computation is part of the work ahead, so the two don't add.
func queueTime(endpoint *Endpoint) time.Duration {
	ahead := prefillTime(endpoint, endpoint.PrefillTokens)
	if endpoint.PendingBlocks > endpoint.CachedBlocks {
		return max(ahead, endpoint.PendingRemaining)
	}
	return ahead
}
