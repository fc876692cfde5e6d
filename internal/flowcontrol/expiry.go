package flowcontrol

import (
	"cmp"
	"container/heap"
)

// expiryHeap orders the entries that can expire, earliest first.
type expiryHeap []*entry

// notInHeap is the heap index of an entry that isn't in the heap.
const notInHeap = -1

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	if order := cmp.Compare(h[i].expires, h[j].expires); order != 0 {
		return order < 0
	}
	return compareKeys(h[i].item.Key, h[j].item.Key) < 0
}

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(element any) {
	e := element.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.heapIndex = notInHeap
	return e
}

func (h *expiryHeap) add(e *entry) {
	if e.expires > 0 {
		heap.Push(h, e)
	}
}

func (h *expiryHeap) drop(e *entry) {
	if e.heapIndex != notInHeap {
		heap.Remove(h, e.heapIndex)
	}
}

func compareKeys(a, b Key) int {
	if order := cmp.Compare(a.Request, b.Request); order != 0 {
		return order
	}
	return cmp.Compare(a.Attempt, b.Attempt)
}
