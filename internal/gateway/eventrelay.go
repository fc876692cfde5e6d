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

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 256 << 10

// Causes of the end of a relay.
var (
	// errPartialEvent means that a stream ended within an event.
	errPartialEvent = errors.New("stream ended within an event")
	// errReplaced means that another engine has taken the stream over.
	errReplaced = errors.New("stream continues elsewhere")
)

// eventRelay reads a stream of events and relays complete ones, unless it's held.
type eventRelay struct {
	response *upstream.Response
	// gate is locked while events are relayed, and while the relay is held.
	gate sync.Mutex
	// replaced is set once no further event is to be relayed. gate guards it.
	replaced bool
	// waiting is set while bytes have arrived that aren't relayed yet, and from the regular end of the stream on.
	waiting atomic.Bool
	// onHeard, if set, is called once waiting is set. heardMutex guards it.
	heardMutex sync.Mutex
	onHeard    func()
	// atEnd is set from the regular end on. It's the relay's own.
	atEnd bool
	// ended is set once the relay has ended. gate guards it.
	ended bool
	// lastID is the identifier of the last relayed event. gate guards it.
	lastID string
	buffer []byte
	// scanned is the number of bytes at the beginning of buffer within which no event ends.
	scanned int
}

// hold keeps the relay from relaying until release or replace is called. It reports false, and does nothing, if
// bytes or the end of the stream have arrived, or the relay has ended.
func (r *eventRelay) hold() bool {
	if r.waiting.Load() {
		return false
	}
	r.gate.Lock()
	if r.waiting.Load() || r.ended {
		r.gate.Unlock()
		return false
	}
	return true
}

// release ends a hold.
func (r *eventRelay) release() { r.gate.Unlock() }

// replace ends a hold, and the relay with errReplaced.
func (r *eventRelay) replace() {
	r.replaced = true
	r.gate.Unlock()
}

// notifyHeard has a function called once bytes or the end of the stream have arrived, also if they have already. nil
// has none called any more.
func (r *eventRelay) notifyHeard(notify func()) {
	r.heardMutex.Lock()
	defer r.heardMutex.Unlock()
	r.onHeard = notify
	if notify != nil && r.waiting.Load() {
		notify()
	}
}

func (r *eventRelay) recordHeard() {
	r.heardMutex.Lock()
	defer r.heardMutex.Unlock()
	r.waiting.Store(true)
	if r.onHeard != nil {
		r.onHeard()
	}
}

// run reads until the end of the stream and calls relay with complete events. It returns nil if the
// stream ended at the end of an event.
func (r *eventRelay) run(relay func(events []byte) error) error {
	err := r.relayAll(relay)
	r.gate.Lock()
	defer r.gate.Unlock()
	r.ended = true
	return err
}

func (r *eventRelay) relayAll(relay func(events []byte) error) error {
	const chunk = 4 << 10
	for {
		if cap(r.buffer)-len(r.buffer) < chunk/4 {
			grown := make([]byte, len(r.buffer), len(r.buffer)+max(chunk, len(r.buffer)/2))
			copy(grown, r.buffer)
			r.buffer = grown
		}
		count, err := r.response.Read(r.buffer[len(r.buffer):cap(r.buffer)])
		r.buffer = r.buffer[:len(r.buffer)+count]
		r.atEnd = err == io.EOF
		if count > 0 || r.atEnd {
			r.recordHeard()
		}
		if relayErr := r.relayCompleteEvents(relay); relayErr != nil {
			return relayErr
		}
		switch {
		case err == io.EOF && len(bytes.TrimSpace(r.buffer)) > 0:
			return errPartialEvent
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case len(r.buffer) > maxEventBytes:
			return errors.New("event exceeds the size limit")
		}
	}
}

// relayCompleteEvents relays the complete events in the buffer and removes them from it.
func (r *eventRelay) relayCompleteEvents(relay func(events []byte) error) error {
	r.gate.Lock()
	defer r.gate.Unlock()
	r.waiting.Store(r.atEnd)
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
