// Package eventqueue is a discrete-event queue with a virtual clock and a seeded
// generator. The emulator and the deterministic simulation run on it: one
// goroutine takes the events in the order of their times, so that equal seeds
// give equal runs.
package eventqueue

import (
	"math/rand/v2"
	"time"
)

// event is something to be done at a time. Events of equal times run in the
// order of their insertion.
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

// Queue is an event queue and its clock. It isn't safe for concurrent use.
type Queue struct {
	now      time.Duration
	sequence uint64
	random   *rand.Rand
	// heap is a heap with four children a node: shallower than a binary one and
	// kinder to the processor's cache.
	heap []event
}

// New returns an empty queue at time 0 whose generator has the given seed.
func New(seed uint64) *Queue {
	return &Queue{random: rand.New(rand.NewPCG(seed, seed))}
}

// Now returns the virtual time: that of the event under way or of the last one.
func (q *Queue) Now() time.Duration { return q.now }

// Random returns the queue's generator.
func (q *Queue) Random() *rand.Rand { return q.random }

// Len returns the number of events to come.
func (q *Queue) Len() int { return len(q.heap) }

// At plans an event. A time that has passed counts as now.
func (q *Queue) At(at time.Duration, run func()) {
	q.sequence++
	q.heap = append(q.heap, event{at: max(at, q.now), sequence: q.sequence, run: run})
	q.up(len(q.heap) - 1)
}

// After plans an event a delay from now.
func (q *Queue) After(delay time.Duration, run func()) { q.At(q.now+delay, run) }

// Next returns the time of the next event; false when there is none.
func (q *Queue) Next() (time.Duration, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// Step moves the clock to the next event and runs it. It returns false when
// there was none.
func (q *Queue) Step() bool {
	if len(q.heap) == 0 {
		return false
	}
	next := q.pop()
	q.now = next.at
	next.run()
	return true
}

// RunUntil runs the events up to and including a time, and leaves the clock there.
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
	q.heap[last] = event{} // lets go of the closure
	q.heap = q.heap[:last]
	if last > 0 {
		q.down(moving)
	}
	return first
}

// down puts an event in at the top and lets it sink to its place.
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

// smallestChild returns the child that comes first, or -1 for a leaf.
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
