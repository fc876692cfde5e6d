package scheduling

import "time"

// prefillTime returns the time to compute a number of prompt tokens at an
// endpoint's measured speed.
func prefillTime(endpoint *Endpoint, tokens int) time.Duration {
	perToken := endpoint.PrefillPerToken
	if perToken <= 0 {
		perToken = DefaultPrefillPerToken
	}
	return time.Duration(max(tokens, 0)) * perToken
}
