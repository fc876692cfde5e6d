package gateway

import (
	"io"

	"github.com/tillerfall/tillerfall/internal/bodymemory"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

const (
	// maxBufferedBytes is the size up to which a response is read completely before its head is sent to
	// the caller. Until then a response that breaks off can be retried.
	maxBufferedBytes = 64 << 10
	// freeBufferedBytes is the size up to which a response is buffered whatever memory others take.
	freeBufferedBytes = 4 << 10
	// initialBufferBytes is the size of the first buffer for a response of unknown length.
	initialBufferBytes = 512
)

// answerBuffer buffers one response. All of them share a budget of memory, with the events of streams.
type answerBuffer struct {
	memory *bodymemory.Budget
	// held is the memory taken, in bytes.
	held    int64
	content []byte
}

// read reads a response up to maxBufferedBytes, or as far as there is memory. complete is false if more may
// follow.
func (b *answerBuffer) read(response *upstream.Response) (content []byte, complete bool, err error) {
	first := int64(initialBufferBytes)
	if response.ContentLength >= 0 && response.ContentLength <= maxBufferedBytes {
		// One more byte, so that the end is read without another buffer.
		first = response.ContentLength + 1
	}
	if !b.grow(int(first)) {
		return nil, false, nil
	}
	for len(b.content) < maxBufferedBytes {
		if len(b.content) == cap(b.content) && !b.grow(2*cap(b.content)) {
			return b.content, false, nil
		}
		count, err := response.Read(b.content[len(b.content):min(cap(b.content), maxBufferedBytes)])
		b.content = b.content[:len(b.content)+count]
		if err == io.EOF {
			return b.content, true, nil
		}
		if err != nil {
			return b.content, false, err
		}
	}
	return b.content, false, nil
}

// grow enlarges the buffer to a size in bytes, unless other responses take the memory.
func (b *answerBuffer) grow(size int) bool {
	if size > freeBufferedBytes {
		more := int64(size) - b.held
		if !b.memory.TryAcquire(more) {
			return false
		}
		b.held += more
	}
	b.content = append(make([]byte, 0, size), b.content...)
	return true
}

// release returns the memory.
func (b *answerBuffer) release() {
	if b.held > 0 {
		b.memory.Release(b.held)
		b.held = 0
	}
}
