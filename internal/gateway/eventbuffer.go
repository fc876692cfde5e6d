package gateway

import (
	"io"

	"github.com/tillerfall/tillerfall/internal/bodymemory"
)

// minRoomBytes is the room, in bytes, with which an eventBuffer is read into. With less, many small reads would be made.
const minRoomBytes = 1 << 10

// eventBuffer holds what has been read of a stream and isn't relayed yet. All of them share a budget of memory with the
// buffered answers; up to freeBufferedBytes of each are free.
type eventBuffer struct {
	memory *bodymemory.Budget
	// held is the memory taken, in bytes.
	held    int64
	content []byte
}

// hasRoom reports whether there is room for another read.
func (b *eventBuffer) hasRoom() bool { return cap(b.content)-len(b.content) >= minRoomBytes }

// makeRoom enlarges the buffer if there is no room for another read. It reports false if others take the memory.
func (b *eventBuffer) makeRoom() bool {
	return b.hasRoom() || b.resize(min(max(2*cap(b.content), freeBufferedBytes), maxEventBytes+relayChunkBytes))
}

// resize has the buffer take as much memory as its size asks for, in bytes.
func (b *eventBuffer) resize(size int) bool {
	var memory int64
	if size > freeBufferedBytes {
		memory = int64(size)
	}
	if memory > b.held && !b.memory.TryAcquire(memory-b.held) {
		return false
	}
	b.content = append(make([]byte, 0, size), b.content...)
	if memory < b.held {
		b.memory.Release(b.held - memory)
	}
	b.held = memory
	return true
}

// readFrom reads once into the room.
func (b *eventBuffer) readFrom(source io.Reader) (int, error) {
	count, err := source.Read(b.content[len(b.content):cap(b.content)])
	b.content = b.content[:len(b.content)+count]
	return count, err
}

// discard removes bytes at the beginning, and returns the memory that the rest doesn't need.
func (b *eventBuffer) discard(count int) {
	rest := b.content[count:]
	size := freeBufferedBytes
	for size < len(rest)+minRoomBytes {
		size *= 2
	}
	if size >= cap(b.content) {
		b.content = append(b.content[:0], rest...)
		return
	}
	b.content = rest
	b.resize(size)
}

// release returns all memory.
func (b *eventBuffer) release() {
	b.content = nil
	if b.held > 0 {
		b.memory.Release(b.held)
		b.held = 0
	}
}
