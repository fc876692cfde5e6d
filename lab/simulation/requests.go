package simulation

import (
	"fmt"
	"strings"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Parameters of the generated requests. Prompt lengths are in bytes.
const (
	topBytes        = 512
	middleBytes     = 256
	leafBytes       = 100
	maxOutputTokens = 24
	minOutputTokens = 2
	// atMostOnceChance is the fraction of requests that must run at most once.
	atMostOnceChance = 0.3
	// disconnectChance is the fraction of callers that may disconnect before the answer.
	disconnectChance = 0.1
	// batchChance is the fraction of requests in the last class.
	batchChance    = 0.3
	topVariants    = 3
	middleVariants = 4
	minDeadline    = 2 * time.Second
	maxDeadline    = 10 * time.Second
	// hotRateFactor multiplies the request rate while a hot prefix lasts.
	hotRateFactor = 8
)

// scheduleRequests schedules the first request.
func (w *world) scheduleRequests() {
	const firstAt = 1200 * time.Millisecond
	w.queue.At(firstAt, w.generateRequests)
}

// generateRequests submits a request and schedules the next one, until LoadDuration has passed.
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

// submitRequest sends a request to the first agent, from a random one on, that accepts it.
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

// repeatToLength repeats a text up to a length in bytes.
func repeatToLength(text string, length int) string {
	return strings.Repeat(text, length/len(text)+1)[:length]
}
