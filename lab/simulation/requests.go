package simulation

import (
	"fmt"
	"strings"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Shapes of the prompts, in bytes.
const (
	topBytes        = 512
	middleBytes     = 256
	leafBytes       = 100
	maxOutputTokens = 24
	minOutputTokens = 2
	// atMostOnceChance is the part of the requests that must run at most once.
	atMostOnceChance = 0.3
	// disconnectChance is the part of the callers that may go away before the answer.
	disconnectChance = 0.1
	// batchChance is the part of the requests of the last class.
	batchChance    = 0.3
	topVariants    = 3
	middleVariants = 4
	minDeadline    = 2 * time.Second
	maxDeadline    = 10 * time.Second
	// hotRateFactor multiplies the rate while a hot prefix lasts.
	hotRateFactor = 8
)

// scheduleRequests has requests arrive as long as the load lasts.
func (w *world) scheduleRequests() {
	const firstAt = 1200 * time.Millisecond
	w.queue.At(firstAt, w.generateRequests)
}

func (w *world) generateRequests() {
	if w.queue.Now() > w.options.LoadDuration {
		return
	}
	hot := w.queue.Now() < w.hotUntil
	w.submitRequest(hot)
	rate := w.options.Rate
	if hot {
		rate *= hotRateFactor
	}
	gap := time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
	w.queue.After(gap, w.generateRequests)
}

// submitRequest sends one request to an agent that takes requests, if any does.
func (w *world) submitRequest(hot bool) {
	incoming := w.newRequest(hot)
	first := w.random.IntN(len(w.agents))
	for offset := range w.agents {
		if w.agents[(first+offset)%len(w.agents)].serve(incoming) {
			return
		}
	}
}

func (w *world) newRequest(hot bool) request {
	w.requestCount++
	tenant := tenants[w.random.IntN(len(tenants))]
	top := fmt.Sprintf("circular %d ", w.random.IntN(topVariants))
	if hot {
		top = "circular of today "
		tenant = tenants[0]
	}
	middle := fmt.Sprintf("flag context %d ", w.random.IntN(middleVariants))
	leaf := fmt.Sprintf("question %d ", w.requestCount)
	class := classes[0]
	if w.random.Float64() < batchChance {
		class = classes[1]
	}
	return request{
		id:         fleet.RequestID(fmt.Sprintf("r%04d", w.requestCount)),
		tenant:     tenant,
		class:      class,
		prompt:     repeatToLength(top, topBytes) + repeatToLength(middle, middleBytes) + repeatToLength(leaf, leafBytes),
		maxTokens:  minOutputTokens + w.random.IntN(maxOutputTokens-minOutputTokens),
		repeatable: w.random.Float64() >= atMostOnceChance,
		timeout:    minDeadline + time.Duration(w.random.Int64N(int64(maxDeadline-minDeadline))),
	}
}

// repeatToLength repeats a text up to a length.
func repeatToLength(text string, length int) string {
	return strings.Repeat(text, length/len(text)+1)[:length]
}
