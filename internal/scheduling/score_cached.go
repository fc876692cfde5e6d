package scheduling

// cachedTokens returns the number of prompt tokens that need no prefill. A prefix that is being
// computed counts as cached, since it is available by the time this request's prefill begins;
// otherwise a burst would compute the same prefix on many engines. The last token is always
// computed because the first output token is sampled from it.
func cachedTokens(request *Request, endpoint *Endpoint) int {
	blocks := max(endpoint.CachedBlocks, endpoint.PendingBlocks)
	return max(min(prefixTokens(request, blocks), request.PromptTokens-1), 0)
}

// prefixTokens returns the number of tokens in the first blocks or parts of a prompt.
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
