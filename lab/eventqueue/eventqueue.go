// Package eventqueue is a discrete-event queue with a virtual clock and a seeded random generator.
// A single goroutine runs the events in time order, so equal seeds give equal runs.
package eventqueue

import (
	"math/rand/v2"
	"time"
)

// event is a scheduled function. Events with equal times run in insertion order.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

func (e *event) before(other *event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.sequence < other.sequence
}

// Queue is an event queue with its clock. It is not safe for concurrent use.
type Queue struct {
	now      time.Duration
	sequence uint64
	random   *rand.Rand
	// heap is a 4-ary heap, which is shallower and more cache-friendly than a binary one.
	heap []event
}

// New returns an empty queue at time 0 with a random generator of the given seed.
func New(seed uint64) *Queue {
	return &Queue{random: rand.New(rand.NewPCG(seed, seed))}
}

// Now returns the virtual time.
func (q *Queue) Now() time.Duration { return q.now }

// Random returns the queue's random generator.
func (q *Queue) Random() *rand.Rand { return q.random }

// Len returns the number of pending events.
func (q *Queue) Len() int { return len(q.heap) }

// At schedules an event. A time in the past is replaced by the current time.
func (q *Queue) At(at time.Duration, run func()) {
	q.sequence++
	q.heap = append(q.heap, event{at: max(at, q.now), sequence: q.sequence, run: run})
	q.up(len(q.heap) - 1)
}

// After schedules an event after a delay.
func (q *Queue) After(delay time.Duration, run func()) { q.At(q.now+delay, run) }

// Next returns the time of the next event, or false if there is none.
func (q *Queue) Next() (time.Duration, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// Step advances the clock to the next event and runs it. It returns false if there is none.
func (q *Queue) Step() bool {
	if len(q.heap) == 0 {
		return false
	}
	next := q.pop()
	q.now = next.at
	next.run()
	return true
}

// RunUntil runs all events up to and including end and advances the clock to end.
func (q *Queue) RunUntil(end time.Duration) {
	for len(q.heap) > 0 && q.heap[0].at <= end {
		q.Step()
	}
	q.now = max(q.now, end)
}

// arity is the number of children of a heap node.
const arity = 4

func (q *Queue) up(position int) {
	moving := q.heap[position]
	for position > 0 {
		parent := (position - 1) / arity
		if !moving.before(&q.heap[parent]) {
			break
		}
		q.heap[position] = q.heap[parent]
		position = parent
	}
	q.heap[position] = moving
}

func (q *Queue) pop() event {
	first := q.heap[0]
	last := len(q.heap) - 1
	moving := q.heap[last]
	q.heap[last] = event{} // releases the closure
	q.heap = q.heap[:last]
	if last > 0 {
		q.down(moving)
	}
	return first
}

// down places an event at the root and sifts it down.
func (q *Queue) down(moving event) {
	position := 0
	for {
		child := q.smallestChild(position)
		if child < 0 || !q.heap[child].before(&moving) {
			break
		}
		q.heap[position] = q.heap[child]
		position = child
	}
	q.heap[position] = moving
}

// smallestChild returns the index of the earliest child, or -1 for a leaf.
func (q *Queue) smallestChild(position int) int {
	first := arity*position + 1
	if first >= len(q.heap) {
		return -1
	}
	smallest := first
	for child := first + 1; child < min(first+arity, len(q.heap)); child++ {
		if q.heap[child].before(&q.heap[smallest]) {
			smallest = child
		}
	}
	return smallest
}
