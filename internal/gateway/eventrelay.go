package gateway

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

const (
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes = 256 << 10
	// maxHeldBytes bounds what is read of a stream while it's held, apart from two chunks read ahead.
	maxHeldBytes = 64 << 10
	// relayChunkBytes is the most that is read ahead of a stream at once.
	relayChunkBytes = 4 << 10
	// maxKeptLineBytes bounds the unfinished line that isn't passed on with the part of an event before it, so that an
	// identifier is found whole. Longer lines are cut.
	maxKeptLineBytes = 2 << 10
	// maxEventIDBytes bounds the identifiers of events that are kept. It's below maxKeptLineBytes, so that each of them is
	// found whole.
	maxEventIDBytes = 1 << 10
	// idField begins the line with an event's identifier.
	idField = "id:"
)

// Causes of the end of a relay.
var (
	// errPartialEvent means that a stream ended within an event.
	errPartialEvent = errors.New("stream ended within an event")
	// errReplaced means that another engine has taken the stream over.
	errReplaced = errors.New("stream continues elsewhere")
	// errEventTooLong means that an event exceeds maxEventBytes.
	errEventTooLong = errors.New("event exceeds the size limit")
	// errRelayEnded is the cause of the close of a connection on which bytes may still come.
	errRelayEnded = errors.New("relay ended")
)

// eventRelay reads a stream of events and relays complete ones. While it's held it relays none, but reads on to find
// out whether the stream has ended. An event that gets no memory is relayed in parts.
type eventRelay struct {
	response io.Reader
	// closeConnection ends reads that are under way.
	closeConnection func()
	// mutex is locked while events are relayed. It guards released, replaced, ended, lastID, isIDLost and partial.
	mutex sync.Mutex
	// released is closed at the end of a hold; nil while the relay isn't held.
	released chan struct{}
	// replaced is set once no further event is to be relayed, ended once the relay has ended.
	replaced, ended bool
	// lastID is the identifier of the last relayed event. isIDLost is set if that isn't known, since it was too long.
	lastID   string
	isIDLost bool
	// partial is the event of which only a part has been relayed.
	partial partialEvent
	// waiting is set while bytes have arrived that aren't relayed yet, and from the regular end of the stream on.
	waiting atomic.Bool
	// endArrived is set once the stream has ended at the end of an event, relayed or not.
	endArrived atomic.Bool
	// onArrival, if set, is called once bytes or the end have arrived while waiting is set. arrivals guards it.
	arrivals  sync.Mutex
	onArrival func()

	// The rest belongs to the goroutine that runs the relay.

	buffer eventBuffer
	// scanned is the number of bytes at the beginning of buffer within which no event ends.
	scanned int
	// readErr is the error of the last read.
	readErr error
	// ahead brings what is read by a goroutine of its own, from the first hold on.
	ahead *readAhead
}

// partialEvent is what is known of an event of which a part has been relayed.
type partialEvent struct {
	// bytes is the size of that part; 0 if there is no such event.
	bytes int
	// id is the identifier in that part, if hasID is set.
	id    eventID
	hasID bool
}

// eventID is the identifier of an event. isLost is set if it was too long to be kept.
type eventID struct {
	value  string
	isLost bool
}

// relayFunc passes complete events on, or a part of one.
type relayFunc func(events []byte, isPart bool) error

// readAhead reads a response in a goroutine of its own.
type readAhead struct {
	chunks chan readChunk
	// unread is what has been received of chunks and not been read, if hasUnread is set.
	unread    readChunk
	hasUnread bool
	// stopped is closed once no further chunk is received, done once the goroutine has ended.
	stopped, done chan struct{}
}

// readChunk is the result of one read.
type readChunk struct {
	content []byte
	err     error
}

func startReadAhead(response io.Reader) *readAhead {
	a := &readAhead{chunks: make(chan readChunk), stopped: make(chan struct{}), done: make(chan struct{})}
	go a.run(response)
	return a
}

func (a *readAhead) run(response io.Reader) {
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

// await waits for something to read. It reports false if released is closed before.
func (a *readAhead) await(released <-chan struct{}) bool {
	if a.hasUnread {
		return true
	}
	select {
	case a.unread = <-a.chunks:
		a.hasUnread = true
		return true
	case <-released:
		return false
	}
}

// Read implements io.Reader.
func (a *readAhead) Read(into []byte) (int, error) {
	a.await(nil)
	count := copy(into, a.unread.content)
	a.unread.content = a.unread.content[count:]
	if len(a.unread.content) > 0 {
		return count, nil
	}
	a.hasUnread = false
	return count, a.unread.err
}

// stop waits for the end of the reads, which the end of the connection must bring about.
func (a *readAhead) stop() {
	close(a.stopped)
	<-a.done
}

// hold keeps the relay from relaying until release or replace is called. It reports false, and does nothing, if
// bytes or the end of the stream have arrived, the stream can't continue elsewhere, or the relay has ended.
func (r *eventRelay) hold() bool {
	if r.waiting.Load() {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.waiting.Load() || r.ended || !r.canContinue() {
		return false
	}
	r.released = make(chan struct{})
	return true
}

// canContinue reports whether the stream can continue elsewhere after what has been relayed. The mutex must be held
// until the relay has ended.
func (r *eventRelay) canContinue() bool { return r.partial.bytes == 0 && !r.isIDLost }

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

// run reads until the end of the stream and calls relay with complete events, and with parts of those that get no
// memory. It returns nil if the stream ended at the end of an event.
func (r *eventRelay) run(relay relayFunc) error {
	defer r.buffer.release()
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

func (r *eventRelay) relayAll(relay relayFunc) error {
	for {
		r.read()
		if err := r.relayArrived(relay); err != nil {
			return err
		}
		switch {
		case r.readErr == io.EOF && !r.isAtEventEnd():
			return errPartialEvent
		case r.readErr == io.EOF:
			return nil
		case r.readErr != nil:
			return r.readErr
		}
	}
}

// read reads the next bytes of the stream.
func (r *eventRelay) read() {
	// Only the first read may find no room: relayArrived makes it for the next one.
	r.buffer.makeRoom()
	source := r.response
	if r.ahead != nil {
		source = r.ahead
	}
	count, err := r.buffer.readFrom(source)
	r.recordArrival(count, err)
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

// isAtEventEnd reports whether what has been read ends at the end of an event.
func (r *eventRelay) isAtEventEnd() bool {
	end := lastEventEnd(r.buffer.content)
	if end == 0 && r.partial.bytes > 0 {
		return false
	}
	return len(bytes.TrimSpace(r.buffer.content[end:])) == 0
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

// readWhileHeld reads on until a hold ends, as far as there is memory.
func (r *eventRelay) readWhileHeld(released chan struct{}) {
	if r.ahead == nil && r.readErr == nil {
		r.ahead = startReadAhead(r.response)
	}
	for r.readErr == nil && len(r.buffer.content) < maxHeldBytes && r.buffer.makeRoom() {
		if !r.ahead.await(released) {
			return
		}
		r.read()
	}
	<-released
}

// relayArrived relays what can be relayed of the bytes that have arrived, and makes room for the next read.
func (r *eventRelay) relayArrived(relay relayFunc) error {
	r.lock()
	defer r.mutex.Unlock()
	r.waiting.Store(r.readErr == io.EOF)
	if r.replaced {
		return errReplaced
	}
	if err := r.relayCompleteEvents(relay); err != nil {
		return err
	}
	switch {
	case r.readErr != nil:
		return nil
	case r.partial.bytes+len(r.buffer.content) > maxEventBytes:
		return errEventTooLong
	case r.partial.bytes > 0 && r.buffer.hasRoom():
		return nil
	case r.partial.bytes == 0 && r.buffer.makeRoom():
		return nil
	default:
		return r.relayPart(relay)
	}
}

// relayCompleteEvents relays the complete events in the buffer and removes them from it.
func (r *eventRelay) relayCompleteEvents(relay relayFunc) error {
	content := r.buffer.content
	// The end of an event may have begun in the bytes before.
	from := max(r.scanned-len("\n\r"), 0)
	r.scanned = len(content)
	end := lastEventEnd(content[from:])
	if end == 0 {
		return nil
	}
	end += from
	events := content[:end]
	id, found := findLastEventID(events, r.partial.bytes == 0)
	if !found {
		id, found = r.partial.id, r.partial.hasID
	}
	if found {
		r.lastID, r.isIDLost = id.value, id.isLost
	}
	r.partial = partialEvent{}
	return r.pass(relay, events, false)
}

// relayPart relays the beginning of an event, or more of one whose beginning is relayed.
func (r *eventRelay) relayPart(relay relayFunc) error {
	content, next := r.buffer.content, r.partial
	end := partEnd(content)
	isLineStart := next.bytes == 0
	if id, found := findLastEventID(content[:end], isLineStart); found {
		next.id, next.hasID = id, true
	}
	if cutsID(content, end, isLineStart) {
		next.id, next.hasID = eventID{isLost: true}, true
	}
	next.bytes += end
	if err := r.pass(relay, content[:end], true); err != nil {
		return err
	}
	r.partial = next
	return nil
}

// pass relays the beginning of the buffer and removes it.
func (r *eventRelay) pass(relay relayFunc, events []byte, isPart bool) error {
	if err := relay(events, isPart); err != nil {
		return err
	}
	r.buffer.discard(len(events))
	r.scanned = len(r.buffer.content)
	return nil
}

// partEnd returns up to where a full buffer with an unfinished event is relayed. The last line stays, unless it's
// long: it may be the beginning of an identifier or of the event's end. Its line break stays as well, so that what
// stays begins with a line break or within a line.
func partEnd(content []byte) int {
	at := bytes.LastIndexByte(content, '\n')
	if at <= 0 || len(content)-at > maxKeptLineBytes {
		return len(content)
	}
	return at
}

// cutsID reports whether a line with an identifier is cut at the end of a part. isLineStart is set if the content
// begins with a line.
func cutsID(content []byte, end int, isLineStart bool) bool {
	at := bytes.LastIndexByte(content, '\n')
	return end > at && (at >= 0 || isLineStart) && bytes.HasPrefix(content[at+1:], []byte(idField))
}

// lastEventEnd returns the end of the last complete event in the buffer, 0 if there is none. A
// blank line ends an event.
func lastEventEnd(buffer []byte) int {
	// A search for line breaks takes a fraction of the time of one for longer patterns from the end.
	for at := bytes.LastIndexByte(buffer, '\n'); at > 0; at = bytes.LastIndexByte(buffer[:at], '\n') {
		before := at - 1
		if buffer[before] == '\r' {
			before--
		}
		if before >= 0 && buffer[before] == '\n' {
			return at + 1
		}
	}
	return 0
}

// findLastEventID returns the last event identifier in events. isLineStart is set if they begin with a line.
func findLastEventID(events []byte, isLineStart bool) (eventID, bool) {
	for end := len(events); end >= 0; {
		at := bytes.LastIndexByte(events[:end], '\n')
		line := events[at+1:]
		if (at >= 0 || isLineStart) && bytes.HasPrefix(line, []byte(idField)) {
			value, _, _ := bytes.Cut(line[len(idField):], []byte("\n"))
			return newEventID(bytes.TrimSpace(value)), true
		}
		end = at
	}
	return eventID{}, false
}

// newEventID returns the identifier with a value, unless that's too long.
func newEventID(value []byte) eventID {
	if len(value) > maxEventIDBytes {
		return eventID{isLost: true}
	}
	return eventID{value: string(value)}
}
