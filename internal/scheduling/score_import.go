package scheduling

import "time"

// importTime returns the number of tokens beyond the cached ones that an engine imports from
// another holder, and the time that this takes. It returns zeros if prefill is faster.
func importTime(request *Request, endpoint *Endpoint, cached int) (tokens int, took time.Duration) {
	offered := min(prefixTokens(request, endpoint.ImportBlocks), request.PromptTokens-1)
	tokens = offered - cached
	if tokens <= 0 {
		return 0, 0
	}
	took = endpoint.ImportSetup + time.Duration(tokens)*endpoint.ImportPerToken
	if took >= prefillTime(endpoint, tokens) {
		return 0, 0
	}
	return tokens, took
}
