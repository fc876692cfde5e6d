package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Size of the flood case: 4 workers of 6 slots, one of them faulty for a while. That is a share of 0.25 of
// the workers, and one in 50 of its answers, as the site files name it (share 0.35, x 0.02, 5.5 s).
const (
	floodGateways = 2
	floodWorkers  = 4
	// floodMemoryMB is the machines' memory in the deployment gulfcross-tt.
	floodMemoryMB = 134
	floodWarmUp   = 2 * time.Second
	floodFor      = 5500 * time.Millisecond
	floodCool     = 4 * time.Second
	floodEvery    = 50
	floodClients  = 32
	floodWork     = 200 * time.Millisecond
	// floodBytes is the length of a spoiled answer.
	floodBytes = 100000000
	// floodBlock each floodPause is the bandwidth of a machine's link, 1,000 Mbit/s.
	floodBlock = 1250000
	floodPause = 10 * time.Millisecond
	// maxLostAnswers is the number of answers that a machine may fail to give, by the rule.
	maxLostAnswers = 3
	restartDelay   = 500 * time.Millisecond
)

// sendZeros sends NUL bytes in place of an answer, and then closes the connection.
func sendZeros(conn net.Conn, log *record, worker, id string) {
	zeros := make([]byte, floodBlock)
	sent := 0
	for sent < floodBytes {
		count, err := conn.Write(zeros)
		sent += count
		if err != nil {
			break
		}
		time.Sleep(floodPause)
	}
	log.add("worker %s has sent %d MB of NUL bytes in place of its answer to %s", worker, sent/1000000, id)
}

// residentMB returns the memory that a process uses, and the most that it has used, in MB.
func residentMB(pid int) (now, most int) {
	content, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.Atoi(fields[1])
		switch fields[0] {
		case "VmRSS:":
			now = kilobytes / 1024
		case "VmHWM:":
			most = kilobytes / 1024
		}
	}
	return now, most
}

// enforceMemory does as the platform: a process that goes over memory_mb is killed, and started again
// after a short delay.
func (s *scene) enforceMemory(g *gateway, stop <-chan struct{}) (ends int, most int) {
	for {
		select {
		case <-stop:
			return ends, most
		case <-time.After(20 * time.Millisecond):
		}
		now, high := residentMB(g.command.Process.Pid)
		most = max(most, high)
		if now <= g.memoryMB {
			continue
		}
		s.record.say("gateway %s uses %d MB of %d MB: killed, as the platform does", g.name, now, g.memoryMB)
		g.kill()
		ends++
		time.Sleep(restartDelay)
		if err := g.startAgain(s.root); err != nil {
			s.record.say("gateway %s can't be started again: %s", g.name, err)
			return ends, most
		}
		s.record.add("gateway %s is started again", g.name)
	}
}

func init() { cases["flood"] = playFlood }

// playFlood plays a faulty worker that at times sends bytes which form no answer.
func playFlood(s *scene) (broken bool, err error) {
	platform, err := startStore("127.0.0.1")
	if err != nil {
		return false, err
	}
	platform.put("op", "config", plainConfig(3000))
	ran := newRuns()
	var faulty atomic.Bool
	var answers, spoiled atomic.Int64
	// soundly holds the requests that a sound worker was working on.
	var soundly sync.Map
	for index := range floodWorkers {
		w := &worker{
			id: fmt.Sprintf("i-%08x", 0x64000000+index), service: appService, zone: zones[index%len(zones)], slots: 6, queue: 4,
			record: s.record, runs: ran,
		}
		sound := answerAfter(floodWork)
		w.handle = func(conn net.Conn, reader *bufio.Reader, request *http.Request) bool {
			id := request.Header.Get("Request-Id")
			if index > 0 {
				soundly.Store(id, true)
				return sound(conn, reader, request)
			}
			if faulty.Load() && answers.Add(1)%floodEvery == 0 {
				spoiled.Add(1)
				drain(request)
				time.Sleep(floodWork)
				s.record.add("worker %s spoils its answer to %s", w.id, id)
				sendZeros(conn, s.record, w.id, id)
				return false
			}
			return sound(conn, reader, request)
		}
		if err := w.listen("127.0.0.1"); err != nil {
			return false, err
		}
		w.serve(platform)
	}
	if err := s.startFleet(platform, floodGateways, floodMemoryMB); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients, watchers sync.WaitGroup
	ends, most := make([]int, len(s.gateways)), make([]int, len(s.gateways))
	for index, g := range s.gateways {
		watchers.Go(func() { ends[index], most[index] = s.enforceMemory(g, stop) })
	}
	var sent, served atomic.Int64
	lost := make([]atomic.Int64, len(s.gateways))
	for number := range floodClients {
		clients.Go(func() {
			at := number % len(s.gateways)
			caller := newClient(s.gateways[at].front(), clientHost, tenantKey)
			kept := false
			for sequence := 0; ; sequence++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%04x%012x", number, sequence)
				s.record.add("client sends unsafe request %s to %s, kept connection: %t", id, s.gateways[at].name, kept)
				got := caller.send("POST", "/unsafe/x", id, make([]byte, 600), 3*time.Second, nil)
				s.record.add("client got for %s: status %d, complete %t, error %v", id, got.status, got.complete, got.err)
				sent.Add(1)
				if got.status == 200 && got.complete {
					served.Add(1)
				}
				// An answer that has begun, and a client that left at its deadline, are no such loss.
				closed := got.err != nil && got.status == 0 && !errors.Is(got.err, context.DeadlineExceeded)
				if _, passed := soundly.Load(id); kept && passed && closed {
					lost[at].Add(1)
					s.record.say("LOST: %s, passed on to a sound worker by %s, ended without an answer: %v", id, s.gateways[at].name, got.err)
				}
				kept = got.err == nil
				if got.status != 200 {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(floodWarmUp)
	s.record.add("the fault begins")
	faulty.Store(s.trouble)
	time.Sleep(floodFor)
	faulty.Store(false)
	s.record.add("the fault ends")
	time.Sleep(floodCool)
	close(stop)
	clients.Wait()
	watchers.Wait()
	for index, g := range s.gateways {
		s.record.say("gateway %s: %d MB at most of %d MB, ended %d times, %d requests at sound workers lost", g.name, most[index], g.memoryMB, ends[index], lost[index].Load())
		broken = broken || lost[index].Load() > maxLostAnswers
	}
	s.record.say("%d requests, %d served; %d of %d answers of the faulty worker spoiled", sent.Load(), served.Load(), spoiled.Load(), answers.Load())
	if served.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return broken, nil
}
