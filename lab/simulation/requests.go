package simulation

import (
	"fmt"
	"strings"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Shapes of the prompts, in bytes.
const (
	topBytes    = 512
	middleBytes = 256
	leafBytes   = 100
	mostOutput  = 24
	leastOutput = 2
	// onceChance is the part of the requests that must run at most once.
	onceChance = 0.3
	// leaveChance is the part of the callers that may go away before the answer.
	leaveChance = 0.1
	// batchChance is the part of the requests of the last class.
	batchChance   = 0.3
	topVariants   = 3
	midVariants   = 4
	leastDeadline = 2 * time.Second
	mostDeadline  = 10 * time.Second
	// hotFactor multiplies the rate while a hot prefix lasts.
	hotFactor = 8
)

// planRequests has requests arrive as long as the load lasts.
func (w *world) planRequests() {
	const firstAt = 1200 * time.Millisecond
	w.queue.At(firstAt, w.nextRequest)
}

func (w *world) nextRequest() {
	if w.queue.Now() > w.options.Load {
		return
	}
	hot := w.queue.Now() < w.hotUntil
	w.arrive(hot)
	rate := w.options.Rate
	if hot {
		rate *= hotFactor
	}
	gap := time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
	w.queue.After(gap, w.nextRequest)
}

// arrive sends one request to an agent that takes requests, if any does.
func (w *world) arrive(hot bool) {
	incoming := w.newRequest(hot)
	first := w.random.IntN(len(w.agents))
	for offset := range w.agents {
		if w.agents[(first+offset)%len(w.agents)].serve(incoming) {
			return
		}
	}
}

func (w *world) newRequest(hot bool) request {
	w.requests++
	tenant := tenants[w.random.IntN(len(tenants))]
	top := fmt.Sprintf("circular %d ", w.random.IntN(topVariants))
	if hot {
		top = "circular of today "
		tenant = tenants[0]
	}
	middle := fmt.Sprintf("flag context %d ", w.random.IntN(midVariants))
	leaf := fmt.Sprintf("question %d ", w.requests)
	class := classes[0]
	if w.random.Float64() < batchChance {
		class = classes[1]
	}
	return request{
		id:         fleet.RequestID(fmt.Sprintf("r%04d", w.requests)),
		tenant:     tenant,
		class:      class,
		prompt:     fill(top, topBytes) + fill(middle, middleBytes) + fill(leaf, leafBytes),
		maxTokens:  leastOutput + w.random.IntN(mostOutput-leastOutput),
		repeatable: w.random.Float64() >= onceChance,
		timeout:    leastDeadline + time.Duration(w.random.Int64N(int64(mostDeadline-leastDeadline))),
	}
}

// fill repeats a text up to a length.
func fill(text string, length int) string {
	return strings.Repeat(text, length/len(text)+1)[:length]
}
