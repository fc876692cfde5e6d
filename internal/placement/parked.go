package placement

// maxRank is the highest rank that a configuration allows.
const maxRank = 100

// parkedWork counts the requests that wait for an engine and the prompt tokens that it would
// compute for them.
type parkedWork struct {
	requests int
	tokens   int
}

// park adds a request that waits for this engine.
func (e *engineState) park(rank, tokens int) {
	if e.parked == nil {
		e.parked = make([]parkedWork, maxRank+1)
	}
	e.parked[rank].requests++
	e.parked[rank].tokens += tokens
}

// unpark removes a request that was parked with the same rank and tokens.
func (e *engineState) unpark(rank, tokens int) {
	e.parked[rank].requests--
	e.parked[rank].tokens -= tokens
	e.releaseParked()
}

// releaseParked frees the counts of an engine that isn't owned once no work waits for it. A router
// lists many more engines than it owns.
func (e *engineState) releaseParked() {
	if !e.owned && e.parkedAhead(maxRank) == (parkedWork{}) {
		e.parked = nil
	}
}

// parkedAhead returns the work that waits for this engine ahead of a request of the given rank.
func (e *engineState) parkedAhead(rank int) parkedWork {
	var total parkedWork
	for _, work := range e.parked[:min(rank+1, len(e.parked))] {
		total.requests += work.requests
		total.tokens += work.tokens
	}
	return total
}
