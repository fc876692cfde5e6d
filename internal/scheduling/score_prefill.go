package scheduling

import "time"

// prefillTime returns the time to prefill the given number of tokens at the endpoint's measured
// speed.
func prefillTime(endpoint *Endpoint, tokens int) time.Duration {
	perToken := endpoint.PrefillPerToken
	if perToken <= 0 {
		perToken = DefaultPrefillPerToken
	}
	return time.Duration(max(tokens, 0)) * perToken
}
