package placement

// maxRank is the highest rank that a configuration allows.
const maxRank = 100

// parkedWork counts requests that wait for one engine and the prompt tokens
// that it would compute for them.
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

// unpark takes a request out that was parked with the same rank and tokens.
func (e *engineState) unpark(rank, tokens int) {
	e.parked[rank].requests--
	e.parked[rank].tokens -= tokens
	e.releaseParked()
}

// releaseParked gives the counts of an engine of another owner back once no
// work waits for it: a router lists hundreds of engines for each that it owns.
func (e *engineState) releaseParked() {
	if !e.owned && e.parkedAhead(maxRank) == (parkedWork{}) {
		e.parked = nil
	}
}

// parkedAhead returns the work that waits for this engine and goes before a
// request of the given rank.
func (e *engineState) parkedAhead(rank int) parkedWork {
	var total parkedWork
	for _, work := range e.parked[:min(rank+1, len(e.parked))] {
		total.requests += work.requests
		total.tokens += work.tokens
	}
	return total
}
