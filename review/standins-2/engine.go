package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// keptPart is a part of a prompt that an engine keeps, and the tenant whose request made it.
type keptPart struct{ salt, id string }

// tokensOfRun is the memory that one request takes.
const tokensOfRun = 1540

// copySet holds which runs' memory was sent to which engines. A run is named as in Kv-From.
type copySet struct {
	mutex sync.Mutex
	held  map[[2]string]bool
}

// copies are the copies that the engines of this process hold.
var copies = copySet{held: map[[2]string]bool{}}

func (c *copySet) add(holder, run string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.held[[2]string{holder, run}] = true
}

func (c *copySet) has(holder, run string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.held[[2]string{holder, run}]
}

// interval is a span of time.
type interval struct{ from, to time.Time }

// engine is a language-model worker. It keeps the parts of the prompts that it has read, and finds them again under the
// same salt only.
type engine struct {
	id, service string
	record      *record
	listener    net.Listener

	// streamEvents is the number of events of a stream, and eventGap the time that each of them takes.
	streamEvents int
	eventGap     time.Duration
	// keepsOn is set if the engine works on after the connection of a request has closed.
	keepsOn bool
	// atEvent, if set, is called before each event of a stream.
	atEvent func(engine *engine, conn net.Conn, id string, event int)
	// work holds the time in which the engine worked on each request.
	work map[string]interval

	mutex   sync.Mutex
	kept    map[keptPart]string
	events  [][]any
	changed chan struct{}
	running int
}

func newEngine(id, service, host string, record *record) (*engine, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	e := &engine{
		id: id, service: service, record: record, listener: listener, kept: map[keptPart]string{}, changed: make(chan struct{}),
		streamEvents: 3, eventGap: 5 * time.Millisecond, work: map[string]interval{},
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serveConnection(conn)
		}
	}()
	return e, nil
}

// row returns the engine's entry in the store.
func (e *engine) row() map[string]any {
	return map[string]any{
		"service": e.service, "address": e.listener.Addr().String(), "zone": "rajagiriya", "version": "v1", "slots": 48,
		"state": "ready", "cold_remaining_ms": 0, "stage": "both", "sequence": 1, "born": time.Now().UnixMilli(),
		"models": []map[string]any{{"name": engineModel, "version": 1, "adapters": []string{}}},
	}
}

func (e *engine) serveConnection(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		expected := request.Header.Get("Expect-Instance")
		switch {
		case expected != "" && expected != e.id:
			_, err = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id, id)
		case request.URL.Path == "/tillerfall/report":
			err = answerJSON(conn, e.report())
		case request.URL.Path == "/tillerfall/kv-list":
			err = answerJSON(conn, e.list())
		case request.URL.Path == "/tillerfall/kv-events":
			err = answerJSON(conn, e.eventsAfter(request))
		case strings.HasPrefix(request.URL.Path, "/tillerfall/"):
			_, err = io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		case request.URL.Path == "/health":
			_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id)
		default:
			err = e.stream(conn, request, id)
		}
		if err != nil {
			return
		}
	}
}

func answerJSON(conn net.Conn, body map[string]any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(encoded), encoded)
	return err
}

// report returns what the engine tells of itself.
func (e *engine) report() map[string]any {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return map[string]any{
		"stage": "both", "models": []map[string]any{{"name": engineModel, "version": 1, "adapters": []string{}}}, "busy": false,
		"sequence": 0, "waiting": 0, "running": e.running, "kv_used": e.running * tokensOfRun, "kv_total": 107924, "handles": 0,
	}
}

// list returns the parts that the engine keeps.
func (e *engine) list() map[string]any {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	held := [][]any{}
	for _, event := range e.events {
		held = append(held, event[2:])
	}
	return map[string]any{"epoch": 1, "next_page_token": len(e.events), "held": held}
}

// run counts the requests on which the engine works.
func (e *engine) run(change int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.running += change
}

// eventsAfter returns the changes of the cache after a position. It waits for one.
func (e *engine) eventsAfter(request *http.Request) map[string]any {
	since, _ := strconv.Atoi(request.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(request.Header.Get("Wait-Ms"))
	deadline := time.NewTimer(time.Duration(min(wait, 1000)) * time.Millisecond)
	defer deadline.Stop()
	for waiting := true; waiting; {
		e.mutex.Lock()
		changed, hasEvents := e.changed, len(e.events) > since
		e.mutex.Unlock()
		if hasEvents {
			break
		}
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	events := [][]any{}
	if since < len(e.events) {
		events = e.events[max(since, 0):]
	}
	return map[string]any{"epoch": 1, "next_page_token": len(e.events), "lost": since > len(e.events), "events": events}
}

// stream runs a request: it uses the parts that it keeps from the beginning of the prompt on, keeps the others, and
// answers with events. A request that goes on from a copy goes on after its last event.
func (e *engine) stream(conn net.Conn, request *http.Request, id string) error {
	first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	from := request.Header.Get("Kv-From")
	if from != "" && !copies.has(e.listener.Addr().String(), from) {
		e.record.line("%s has no copy of %s", e.id, from)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return err
	}
	if backup := request.Header.Get("Kv-Backup"); backup != "" {
		copies.add(backup, backup+"/"+id)
	}
	e.run(1)
	defer e.run(-1)
	e.record.line("run %s at %s, Kv-Backup %q, Kv-From %q, Last-Event-Id %d", id, e.id, request.Header.Get("Kv-Backup"), from, first)
	e.read(request, id)
	began := time.Now()
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: %s\r\nResponse-Signature: %s.%s\r\nWeight-Versions: 1\r\nKeep-Alive: timeout=10\r\nTransfer-Encoding: chunked\r\n\r\n",
		id, e.id, id)
	for event := first + 1; event <= e.streamEvents; event++ {
		if e.atEvent != nil {
			e.atEvent(e, conn, id, event)
		}
		time.Sleep(e.eventGap)
		data := fmt.Sprintf("id: %d\ndata: token\n\n", event)
		if err == nil {
			_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(data), data)
		}
		if err != nil && !e.keepsOn {
			break
		}
		e.worked(id, interval{from: began, to: time.Now()})
	}
	e.record.line("%s ends its work on %s: %v", e.id, id, err)
	if err != nil {
		return err
	}
	_, err = io.WriteString(conn, "0\r\n\r\n")
	return err
}

// worked records in which time the engine has worked on a request.
func (e *engine) worked(id string, during interval) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.work[id] = during
}

func (e *engine) read(request *http.Request, id string) {
	salt, tenant := request.Header.Get("Cache-Salt"), request.Header.Get("Tenant")
	e.record.line("run %s at %s for %s with Cache-Salt %q", id, e.id, tenant, salt)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, text := range strings.Split(request.Header.Get("Prompt-Prefix"), ",") {
		part, tokens, _ := strings.Cut(text, ":")
		key := keptPart{salt: salt, id: part}
		if _, found := e.kept[key]; !found {
			count, _ := strconv.Atoi(tokens)
			e.kept[key] = tenant
			e.events = append(e.events, []any{len(e.events) + 1, "+", salt, part, count, engineModel})
		}
	}
	close(e.changed)
	e.changed = make(chan struct{})
}
