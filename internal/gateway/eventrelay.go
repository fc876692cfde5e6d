package gateway

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/upstream"
)

const (
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes = 256 << 10
	// maxHeldBytes bounds what is read of a stream while it's held, apart from one chunk.
	maxHeldBytes = 64 << 10
	// relayChunkBytes is the most that is read of a stream at once.
	relayChunkBytes = 4 << 10
)

// Causes of the end of a relay.
var (
	// errPartialEvent means that a stream ended within an event.
	errPartialEvent = errors.New("stream ended within an event")
	// errReplaced means that another engine has taken the stream over.
	errReplaced = errors.New("stream continues elsewhere")
	// errRelayEnded is the cause of the close of a connection on which bytes may still come.
	errRelayEnded = errors.New("relay ended")
)

// eventRelay reads a stream of events and relays complete ones. While it's held it relays none, but reads on to find
// out whether the stream has ended.
type eventRelay struct {
	response *upstream.Response
	// closeConnection ends reads that are under way.
	closeConnection func()
	// mutex is locked while events are relayed. It guards released, replaced, ended and lastID.
	mutex sync.Mutex
	// released is closed at the end of a hold; nil while the relay isn't held.
	released chan struct{}
	// replaced is set once no further event is to be relayed, ended once the relay has ended.
	replaced, ended bool
	// lastID is the identifier of the last relayed event.
	lastID string
	// waiting is set while bytes have arrived that aren't relayed yet, and from the regular end of the stream on.
	waiting atomic.Bool
	// endArrived is set once the stream has ended at the end of an event, relayed or not.
	endArrived atomic.Bool
	// onArrival, if set, is called once bytes or the end have arrived while waiting is set. arrivals guards it.
	arrivals  sync.Mutex
	onArrival func()

	// The rest belongs to the goroutine that runs the relay.

	buffer []byte
	// scanned is the number of bytes at the beginning of buffer within which no event ends.
	scanned int
	// readErr is the error of the last read.
	readErr error
	// ahead brings what is read by a goroutine of its own, from the first hold on.
	ahead *readAhead
}

// readAhead reads a response in a goroutine of its own.
type readAhead struct {
	chunks chan readChunk
	// stopped is closed once no further chunk is received, done once the goroutine has ended.
	stopped, done chan struct{}
}

// readChunk is the result of one read.
type readChunk struct {
	content []byte
	err     error
}

func startReadAhead(response *upstream.Response) *readAhead {
	a := &readAhead{chunks: make(chan readChunk), stopped: make(chan struct{}), done: make(chan struct{})}
	go a.run(response)
	return a
}

func (a *readAhead) run(response *upstream.Response) {
	defer close(a.done)
	for {
		content := make([]byte, relayChunkBytes)
		count, err := response.Read(content)
		select {
		case a.chunks <- readChunk{content: content[:count], err: err}:
		case <-a.stopped:
			return
		}
		if err != nil {
			return
		}
	}
}

// stop waits for the end of the reads, which the end of the connection must bring about.
func (a *readAhead) stop() {
	close(a.stopped)
	<-a.done
}

// hold keeps the relay from relaying until release or replace is called. It reports false, and does nothing, if
// bytes or the end of the stream have arrived, or the relay has ended.
func (r *eventRelay) hold() bool {
	if r.waiting.Load() {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.waiting.Load() || r.ended {
		return false
	}
	r.released = make(chan struct{})
	return true
}

// release ends a hold.
func (r *eventRelay) release() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.endHold()
}

// replace ends a hold, and the relay with errReplaced.
func (r *eventRelay) replace() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.replaced = true
	r.endHold()
}

func (r *eventRelay) endHold() {
	close(r.released)
	r.released = nil
}

// notifyArrival has a function called once bytes or the end of the stream have arrived, also if they have already, and
// again with each arrival. nil has none called any more.
func (r *eventRelay) notifyArrival(notify func()) {
	r.arrivals.Lock()
	defer r.arrivals.Unlock()
	r.onArrival = notify
	if notify != nil && r.waiting.Load() {
		notify()
	}
}

// run reads until the end of the stream and calls relay with complete events. It returns nil if the
// stream ended at the end of an event.
func (r *eventRelay) run(relay func(events []byte) error) error {
	err := r.relayAll(relay)
	if r.ahead != nil {
		if r.readErr == nil {
			r.closeConnection()
		}
		r.ahead.stop()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ended = true
	return err
}

func (r *eventRelay) relayAll(relay func(events []byte) error) error {
	for {
		r.read()
		if err := r.relayCompleteEvents(relay); err != nil {
			return err
		}
		switch {
		case r.readErr == io.EOF && !r.isAtEventEnd():
			return errPartialEvent
		case r.readErr == io.EOF:
			return nil
		case r.readErr != nil:
			return r.readErr
		case len(r.buffer) > maxEventBytes:
			return errors.New("event exceeds the size limit")
		}
	}
}

// read reads the next bytes of the stream.
func (r *eventRelay) read() {
	if r.ahead != nil {
		r.add(<-r.ahead.chunks)
		return
	}
	if cap(r.buffer)-len(r.buffer) < relayChunkBytes/4 {
		grown := make([]byte, len(r.buffer), len(r.buffer)+max(relayChunkBytes, len(r.buffer)/2))
		copy(grown, r.buffer)
		r.buffer = grown
	}
	count, err := r.response.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+count]
	r.recordArrival(count, err)
}

// add takes what was read ahead.
func (r *eventRelay) add(chunk readChunk) {
	r.buffer = append(r.buffer, chunk.content...)
	r.recordArrival(len(chunk.content), chunk.err)
}

func (r *eventRelay) recordArrival(count int, err error) {
	r.readErr = err
	if count == 0 && err != io.EOF {
		return
	}
	r.arrivals.Lock()
	defer r.arrivals.Unlock()
	r.waiting.Store(true)
	if err == io.EOF && r.isAtEventEnd() {
		r.endArrived.Store(true)
	}
	if r.onArrival != nil {
		r.onArrival()
	}
}

// isAtEventEnd reports whether the buffer ends at the end of an event.
func (r *eventRelay) isAtEventEnd() bool {
	return len(bytes.TrimSpace(r.buffer[lastEventEnd(r.buffer):])) == 0
}

// lock locks the mutex once the relay isn't held.
func (r *eventRelay) lock() {
	for {
		r.mutex.Lock()
		released := r.released
		if released == nil {
			return
		}
		r.mutex.Unlock()
		r.readWhileHeld(released)
	}
}

// readWhileHeld reads on until a hold ends.
func (r *eventRelay) readWhileHeld(released chan struct{}) {
	if r.ahead == nil && r.readErr == nil {
		r.ahead = startReadAhead(r.response)
	}
	for r.readErr == nil && len(r.buffer) < maxHeldBytes {
		select {
		case chunk := <-r.ahead.chunks:
			r.add(chunk)
		case <-released:
			return
		}
	}
	<-released
}

// relayCompleteEvents relays the complete events in the buffer and removes them from it.
func (r *eventRelay) relayCompleteEvents(relay func(events []byte) error) error {
	r.lock()
	defer r.mutex.Unlock()
	r.waiting.Store(r.readErr == io.EOF)
	if r.replaced {
		return errReplaced
	}
	// The end of an event may have begun in the bytes before.
	from := max(r.scanned-len("\n\r"), 0)
	r.scanned = len(r.buffer)
	end := lastEventEnd(r.buffer[from:])
	if end == 0 {
		return nil
	}
	end += from
	events := r.buffer[:end]
	if id, found := findLastEventID(events); found {
		r.lastID = id
	}
	if err := relay(events); err != nil {
		return err
	}
	r.buffer = append(r.buffer[:0], r.buffer[end:]...)
	r.scanned = len(r.buffer)
	return nil
}

// lastEventEnd returns the end of the last complete event in the buffer, 0 if there is none. A
// blank line ends an event.
func lastEventEnd(buffer []byte) int {
	end := 0
	if at := bytes.LastIndex(buffer, []byte("\n\n")); at >= 0 {
		end = at + len("\n\n")
	}
	if at := bytes.LastIndex(buffer, []byte("\n\r\n")); at >= 0 {
		end = max(end, at+len("\n\r\n"))
	}
	return end
}

// findLastEventID returns the last event identifier in complete events.
func findLastEventID(events []byte) (string, bool) {
	const field = "id:"
	at := bytes.LastIndex(events, []byte("\n"+field))
	start := at + 1
	if at < 0 {
		if !bytes.HasPrefix(events, []byte(field)) {
			return "", false
		}
		start = 0
	}
	line, _, _ := bytes.Cut(events[start+len(field):], []byte("\n"))
	return strings.TrimSpace(string(line)), true
}
