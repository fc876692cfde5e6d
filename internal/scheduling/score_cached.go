package scheduling

// cachedTokens returns the part of the prompt that needs no prefill. A prefix
// that is being computed counts as held: by the time that this request's own
// prefill begins it is there, so that one cold prefix is not computed by many
// engines at once. The last token is always computed, since the first output
// token is sampled from it.
func cachedTokens(request *Request, endpoint *Endpoint) int {
	blocks := max(endpoint.CachedBlocks, endpoint.PendingBlocks)
	return max(min(blocks*request.BlockTokens, request.PromptTokens-1), 0)
}
