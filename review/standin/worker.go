package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the interval at which a worker writes its entry.
const heartbeat = 1200 * time.Millisecond

// worker stands in for a worker of a plain service. It works on slots requests at once, queues a few
// more and rejects the rest, as the pages tell. handle answers a request that it works on.
type worker struct {
	id, service, zone string
	slots, queue      int
	listener          net.Listener
	// announced is the address in the worker's entry, if a proxy stands before it.
	announced string
	record    *record
	runs      *runs
	handle    func(conn net.Conn, reader *bufio.Reader, request *http.Request) (keep bool)
	// surplus is called for each rejection that was sent. It returns true if the rejection is to be sent
	// once more, late, in the place of the next answer on its connection. nil sends none.
	surplus func() bool

	mutex sync.Mutex
	// taken counts the requests that are worked on or wait.
	taken int
	free  chan struct{}
}

// runs counts how often each request was run, at all workers. It is safe for concurrent use.
type runs struct {
	mutex sync.Mutex
	count map[string]int
}

func newRuns() *runs { return &runs{count: make(map[string]int)} }

func (r *runs) add(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.count[id]++
}

func (r *runs) of(id string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.count[id]
}

// reportTwice records the requests that were run more than once, and returns their number.
func (r *runs) reportTwice(log *record) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	twice := 0
	for id, count := range r.count {
		if count > 1 {
			twice++
			log.say("TWICE: %s, which may run once, was run %d times", id, count)
		}
	}
	return twice
}

// listen opens the worker's port.
func (w *worker) listen(host string) error {
	var err error
	w.listener, err = net.Listen("tcp4", net.JoinHostPort(host, "0"))
	w.open()
	return err
}

// open frees all slots.
func (w *worker) open() {
	w.free = make(chan struct{}, w.slots)
	for range w.slots {
		w.free <- struct{}{}
	}
}

// serve answers connections and keeps the worker's entry in the store.
func (w *worker) serve(platform *store) {
	go w.beat(platform)
	go func() {
		for {
			conn, err := w.listener.Accept()
			if err != nil {
				return
			}
			go w.serveConnection(conn)
		}
	}()
}

func (w *worker) beat(platform *store) {
	address := w.listener.Addr().String()
	if w.announced != "" {
		address = w.announced
	}
	for sequence := 1; ; sequence++ {
		platform.put(workersTable, w.id, map[string]any{
			"service": w.service, "address": address, "zone": w.zone, "version": "v1", "slots": w.slots,
			"state": "ready", "cold_remaining_ms": 0, "sequence": sequence,
		})
		time.Sleep(heartbeat)
	}
}

// rejection is the answer of a full worker, as the bench's examples of messages show it.
const rejection = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

func (w *worker) serveConnection(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	surplusDue := false
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
			continue
		}
		if request.URL.Path == "/health" {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
			continue
		}
		if surplusDue {
			surplusDue = false
			w.record.add("worker %s sends its last rejection once more, before it answers %s", w.id, id)
			_, _ = io.WriteString(conn, rejection)
		}
		if !w.enter() {
			drain(request)
			w.record.add("worker %s is full and rejects %s", w.id, id)
			if _, err := io.WriteString(conn, rejection); err != nil {
				return
			}
			surplusDue = w.surplus != nil && w.surplus()
			continue
		}
		<-w.free
		w.runs.add(id)
		w.record.add("worker %s runs %s", w.id, id)
		keep := w.handle(conn, reader, request)
		w.free <- struct{}{}
		w.leave()
		if !keep {
			return
		}
	}
}

// enter takes a place among the requests that are worked on or wait, false if there is none.
func (w *worker) enter() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.taken >= w.slots+w.queue {
		return false
	}
	w.taken++
	return true
}

func (w *worker) leave() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.taken--
}

func drain(request *http.Request) { _, _ = io.Copy(io.Discard, request.Body) }

// signature marks the answers of workers.
const signature = "review-stand-in"

// answer writes a whole signed answer with a length.
func answer(conn net.Conn, id string, body []byte) bool {
	var message bytes.Buffer
	fmt.Fprintf(&message, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nContent-Type: text/plain\r\nContent-Length: %s\r\n\r\n",
		id, signature, strconv.Itoa(len(body)))
	message.Write(body)
	_, err := conn.Write(message.Bytes())
	return err == nil
}

// answerAfter returns a handler that answers after some work with a body that names the request.
func answerAfter(work time.Duration) func(net.Conn, *bufio.Reader, *http.Request) bool {
	return func(conn net.Conn, _ *bufio.Reader, request *http.Request) bool {
		drain(request)
		time.Sleep(work)
		id := request.Header.Get("Request-Id")
		return answer(conn, id, bodyOf(id))
	}
}

// bodyOf returns the body of the answer to a request, 800 bytes.
func bodyOf(id string) []byte { return bytes.Repeat([]byte(fmt.Sprintf("%-16s", id)), 50) }
