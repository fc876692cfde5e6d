package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Size of the cut case. The clients of one of ten gateways send long bodies.
const (
	cutGateways = 10
	cutWorkers  = 4
	cutClients  = 6
	// Every second client sends bodies of cutBodyBytes, the length of the longest requests in the site files,
	// the others of cutLongBodyBytes, within the operator's limit.
	cutBodyBytes     = 110000
	cutLongBodyBytes = 1000000
	// cutReadBytes is what a worker reads of a body before it answers.
	cutReadBytes = 1 << 10
	// cutWork is the time between the two halves of an answer.
	cutWork = 400 * time.Millisecond
	// cutShare is the share of the gateway's connections that are reset at a time, every cutPause.
	cutShare = 0.5
	cutPause = 2 * time.Second
	cutTimes = 10
)

// listenWithSmallWindow opens a port of which the connections have small receive buffers.
func listenWithSmallWindow() (net.Listener, error) {
	settings := net.ListenConfig{Control: smallWindow}
	return settings.Listen(context.Background(), "tcp4", "127.0.0.1:0")
}

// answerEarly answers before the body has been read, without a length: the answer ends with its
// connection. The rest of the body is read after the answer.
func answerEarly(log *record, id string) func(net.Conn, *bufio.Reader, *http.Request) bool {
	return func(conn net.Conn, _ *bufio.Reader, request *http.Request) bool {
		_, _ = io.CopyN(io.Discard, request.Body, cutReadBytes)
		name := request.Header.Get("Request-Id")
		body := bodyOf(name)
		half := len(body) / 2
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s", name, signature, body[:half])
		log.add("worker %s has sent half of its answer to %s, %d of %d bytes", id, name, half, len(body))
		time.Sleep(cutWork)
		if _, err := conn.Write(body[half:]); err == nil {
			log.add("worker %s has sent its whole answer to %s", id, name)
		} else {
			log.add("worker %s can't send the rest to %s: %s", id, name, err)
		}
		drain(request)
		return false
	}
}

func init() { cases["cut"] = playCut }

// playCut plays connections to workers that are reset on the way, while an answer without a length is
// under way and the request's body hasn't been read whole.
func playCut(s *scene) (broken bool, err error) {
	platform, err := startStore("127.0.0.1")
	if err != nil {
		return false, err
	}
	platform.put("op", "config", plainConfig(4000))
	ran := newRuns()
	var proxies []*proxy
	for index := range cutWorkers {
		w := &worker{
			id: fmt.Sprintf("i-%08x", 0x64000000+index), service: appService, zone: zones[index%len(zones)], slots: 6, queue: 4,
			record: s.record, runs: ran,
		}
		w.handle = answerEarly(s.record, w.id)
		if w.listener, err = listenWithSmallWindow(); err != nil {
			return false, err
		}
		w.open()
		before, err := startProxy(w.listener.Addr().String())
		if err != nil {
			return false, err
		}
		proxies = append(proxies, before)
		w.announced = before.address()
		w.serve(platform)
	}
	if err := s.startFleet(platform, cutGateways, 284); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var sent, whole, failed, cut atomic.Int64
	for number := range cutClients {
		clients.Go(func() {
			caller := newClient(s.gateways[0].front(), clientHost, tenantKey)
			length := cutBodyBytes
			if number%2 == 1 {
				length = cutLongBodyBytes
			}
			for sequence := 0; ; sequence++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%04x%012x", number, sequence)
				s.record.add("client sends unsafe request %s, %d bytes", id, length)
				got := caller.send("POST", "/unsafe/x", id, make([]byte, length), 4*time.Second, nil)
				s.record.add("client got for %s: status %d, signed %t, %d bytes, complete %t, error %v", id, got.status, got.signed, len(got.body), got.complete, got.err)
				sent.Add(1)
				switch {
				case got.status != 200 || !got.complete:
					failed.Add(1)
				case bytes.Equal(got.body, bodyOf(id)):
					whole.Add(1)
				default:
					cut.Add(1)
					s.record.say("MIXED: %s, a request of %d bytes, got a complete success of %d bytes, the worker's body has %d", id, length, len(got.body), len(bodyOf(id)))
				}
			}
		})
	}
	for range cutTimes {
		time.Sleep(cutPause)
		if !s.trouble {
			continue
		}
		reset, open, others := resetShare(proxies, s.gateways[0], cutShare)
		s.record.say("%d of the gateway's %d connections to workers are reset, none of %d others", reset, open, others)
	}
	time.Sleep(cutPause)
	close(stop)
	clients.Wait()
	s.record.say("%d requests: %d whole answers, %d failures, %d answers that were cut and looked complete", sent.Load(), whole.Load(), failed.Load(), cut.Load())
	if whole.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return cut.Load() > 0, nil
}
