package scheduling

// cachedTokens returns the part of the prompt that needs no prefill. A prefix
// that is being computed counts as held: by the time that this request's own
// prefill begins it is there, so that one cold prefix is not computed by many
// engines at once. The last token is always computed, since the first output
// token is sampled from it.
func cachedTokens(request *Request, endpoint *Endpoint) int {
	blocks := max(endpoint.CachedBlocks, endpoint.PendingBlocks)
	return max(min(prefixTokens(request, blocks), request.PromptTokens-1), 0)
}

// prefixTokens returns the tokens in the first blocks, or named parts, of a
// prompt.
func prefixTokens(request *Request, blocks int) int {
	if request.PartTokens == nil {
		return blocks * request.BlockTokens
	}
	blocks = min(blocks, len(request.PartTokens))
	if blocks <= 0 {
		return 0
	}
	return request.PartTokens[blocks-1]
}
