package scheduling

import "time"

// importTime returns the tokens beyond the cached ones that an engine takes over
// from another holder, and the time that this takes. Nothing is taken over
// where computing is quicker.
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
