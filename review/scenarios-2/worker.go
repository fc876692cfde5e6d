package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// bodyOf returns the body that a worker answers a request with.
func bodyOf(requestID string) string {
	return "first half of " + requestID + "; second half of " + requestID + "\n"
}

// endOfAnswer is how a worker's answer ends: "length" states its length, "connection" ends with the
// connection.
const (
	endLength     = "length"
	endConnection = "connection"
)

// headerEnd is the header by which the client tells a stand-in worker how to end its answer, and headerPause the
// time between the two halves.
const (
	headerEnd   = "X-Answer-End"
	headerPause = "X-Answer-Pause"
	// headerLength asks for an answer of that many bytes.
	headerLength = "X-Answer-Length"
)

// runWorker serves as a worker of the application service until its process is killed.
func runWorker(address, id string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	fmt.Println("listening", listener.Addr())
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go serveWorkerConnection(conn, id)
	}
}

func serveWorkerConnection(conn net.Conn, id string) {
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
		if !answer(conn, request, id) {
			return
		}
	}
}

// answer answers a request. It returns false if the connection is to be closed.
func answer(conn net.Conn, request *http.Request, id string) bool {
	requestID := request.Header.Get("Request-Id")
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", requestID)
		return err == nil
	}
	if request.URL.Path == "/health" {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	fmt.Println("runs", requestID)
	body := bodyOf(requestID)
	pause, _ := time.ParseDuration(request.Header.Get(headerPause))
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + requestID + "\r\nResponse-Signature: signed-" + requestID + "\r\n"
	if request.Header.Get(headerEnd) != endConnection {
		time.Sleep(pause)
		_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		fmt.Println("ran", requestID)
		return err == nil
	}
	if length, err := strconv.Atoi(request.Header.Get(headerLength)); err == nil {
		_, _ = fmt.Fprintf(conn, "%sConnection: close\r\n\r\n", head)
		fmt.Println("half", requestID)
		_, _ = conn.Write(bytes.Repeat([]byte("x"), length))
		fmt.Println("ran", requestID)
		return false
	}
	first, second, _ := strings.Cut(body, ";")
	_, _ = fmt.Fprintf(conn, "%sConnection: close\r\n\r\n%s", head, first)
	fmt.Println("half", requestID)
	time.Sleep(pause)
	_, _ = fmt.Fprintf(conn, ";%s", second)
	fmt.Println("ran", requestID)
	return false
}

// worker is a process of this program that serves as a worker.
type worker struct {
	id, address string
	command     *exec.Cmd
	// lines are what the process writes.
	lines chan string
	// ran counts the requests whose answers were sent whole.
	ran atomic.Int64
	// ended is closed once the process was killed.
	ended chan struct{}
	once  sync.Once
}

// startWorker starts a worker at an address; port 0 takes a free one.
func startWorker(id, address string) (*worker, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	command := exec.Command(self, "worker", address, id)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	w := &worker{id: id, command: command, lines: make(chan string, 1000), ended: make(chan struct{})}
	scanner := bufio.NewScanner(output)
	if !scanner.Scan() {
		end(command)
		return nil, fmt.Errorf("worker %s doesn't listen at %s", id, address)
	}
	w.address = strings.TrimPrefix(scanner.Text(), "listening ")
	go func() {
		for scanner.Scan() {
			if strings.HasPrefix(scanner.Text(), "ran other-") {
				w.ran.Add(1)
			}
			w.lines <- scanner.Text()
		}
		close(w.lines)
	}()
	return w, nil
}

const (
	// heartbeat is how often a worker writes its entry.
	heartbeat = 1200 * time.Millisecond
	// silentBeats is the number of heartbeats of silence after which its entry goes.
	silentBeats = 3
)

// announce keeps the worker's entry in the store while its process runs.
func (w *worker) announce(metadata *store, service, address string, slots int) {
	write := func(sequence int) { metadata.put("servers", w.id, workerRow(service, address, slots, sequence)) }
	write(1)
	go func() {
		for sequence := 2; ; sequence++ {
			select {
			case <-time.After(heartbeat):
				write(sequence)
			case <-w.ended:
				time.Sleep(silentBeats * heartbeat)
				metadata.put("servers", w.id, nil)
				return
			}
		}
	}()
}

// kill kills the worker's process.
func (w *worker) kill() {
	end(w.command)
	w.once.Do(func() { close(w.ended) })
}

// await waits until the worker has written a line.
func (w *worker) await(line string, timeout time.Duration) bool {
	deadline := time.After(timeout)
	for {
		select {
		case got, open := <-w.lines:
			if !open {
				return false
			}
			if got == line {
				return true
			}
		case <-deadline:
			return false
		}
	}
}

// workerRow returns a worker's entry in the store. address is where it is reached.
func workerRow(service, address string, slots int, sequence int) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": "chaguaramas", "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": sequence,
	}
}
