package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// retransmission is when TCP sends a lost packet again, at the earliest (Linux: 200 ms and more).
	retransmission = 250 * time.Millisecond
	// workerDown is how long a crashed worker is down.
	workerDown = time.Second
	// unframedEvery is the number of answers of which one carries no length.
	unframedEvery = 20
	// unframedLasts is how long a worker leaves the length of some answers out.
	unframedLasts = 4900 * time.Millisecond
	// rowKeptFor is how long the entry of a crashed worker stays in the store: three heartbeats.
	rowKeptFor  = 3 * 1200 * time.Millisecond
	slotClients = 24
	slowClients = 4
)

// runLostClose crashes one worker of four while it sends an answer without a length. One packet is lost on the link between
// its zone and the gateway's: that which closes a resting connection. An answer that ends early must not look complete.
func runLostClose(env *environment) outcome {
	host := newHost()
	platform, err := newStore(host)
	if err != nil {
		return outcome{err: err}
	}
	platform.put("op", "config", serviceConfig("panel-slot", "safe", 2))
	var armed atomic.Bool
	var first *worker
	for number := 1; number <= 4; number++ {
		added, err := newWorker(fmt.Sprintf("i-%d", number), "counter-app", host, env.record)
		if err != nil {
			return outcome{err: err}
		}
		if number == 1 {
			var answers atomic.Int64
			added.unframed = func() bool { return armed.Load() && answers.Add(1)%unframedEvery == 0 }
			first = added
		}
		platform.put("servers", added.id, inOtherZone(added))
	}
	process, err := newGateway("front-1")
	if err != nil {
		return outcome{err: err}
	}
	if err := process.start(env.binary, env.folder, process.settings(platform.address, []string{process.control}, true)); err != nil {
		return outcome{err: err}
	}
	defer process.kill()
	if err := process.awaitReady(20 * time.Second); err != nil {
		return outcome{err: err}
	}
	ctx, stop := context.WithTimeout(context.Background(), 9*time.Second)
	defer stop()
	crowd, leave := context.WithTimeout(ctx, 2*time.Second)
	defer leave()
	bodies := &bodyCheck{}
	var group sync.WaitGroup
	for client := range slotClients {
		during := crowd
		if client < slowClients {
			during = ctx
		}
		group.Go(func() { sendSafe(during, env.record, process.front, client, bodies) })
	}
	group.Go(func() {
		<-crowd.Done()
		time.Sleep(300 * time.Millisecond)
		armed.Store(true)
		time.AfterFunc(unframedLasts, func() { armed.Store(false) })
		if !env.trouble {
			return
		}
		select {
		case id := <-first.halfSent:
			lostFor := retransmission
			if env.only == "crash" {
				lostFor = 0
			}
			connections := first.crash(lostFor)
			env.record.line("worker %s crashes in the middle of the answer to %s; of its %d connections one is closed %s later", first.id, id, connections, lostFor)
			time.AfterFunc(rowKeptFor, func() { platform.remove("servers", first.id) })
		case <-ctx.Done():
			return
		}
		time.Sleep(workerDown)
		if next, err := newWorker("i-5", "counter-app", host, env.record); err == nil {
			platform.put("servers", next.id, inOtherZone(next))
		}
	})
	group.Wait()
	return bodies.judge(env.record)
}

// inOtherZone returns the entry of a worker in another zone than the gateway's.
func inOtherZone(w *worker) map[string]any {
	fields := w.row()
	fields["zone"] = "kelaniya"
	return fields
}

// serviceConfig returns a configuration with one route of a plain service, as the site kcw-colombo has it.
func serviceConfig(name, kind string, attempts int) map[string]any {
	config := surplusConfig()
	route := config["routes"].([]map[string]any)[0]
	route["name"], route["kind"], route["max_attempts"] = name, kind, attempts
	return config
}

// bodyCheck compares the bodies of successes with those of the workers.
type bodyCheck struct {
	mutex    sync.Mutex
	answered int
	breaks   []string
}

func (b *bodyCheck) observe(id string, status, length int, signed bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.answered++
	if status == http.StatusOK && (length != bodyBytes || !signed) {
		b.breaks = append(b.breaks, fmt.Sprintf("MIXED %s got a complete answer with status 200 and %d bytes, signed %t; the worker's whole body has %d", id, length, signed, bodyBytes))
	}
}

func (b *bodyCheck) judge(record *record) outcome {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.answered < 100 {
		return outcome{err: fmt.Errorf("only %d requests were answered", b.answered)}
	}
	return outcome{breaks: b.breaks}
}

// sendSafe sends requests of a safe route on a kept connection, one after the other.
func sendSafe(ctx context.Context, record *record, front string, client int, bodies *bodyCheck) {
	sender := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}, Timeout: 5 * time.Second}
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("c%02d-%05d", client, number)
		request, err := http.NewRequest(http.MethodGet, "http://"+front+"/check/"+id, nil)
		if err != nil {
			panic(err)
		}
		request.Host = surplusHost
		request.Header.Set("Request-Id", id)
		request.Header.Set("Deadline-Ms", "1000")
		request.Header.Set("Authorization", "Bearer "+surplusKey)
		exchange(sender, request, id, record, bodies)
		time.Sleep(20 * time.Millisecond)
	}
}

// exchange sends a request and observes its answer.
func exchange(sender *http.Client, request *http.Request, id string, record *record, bodies *bodyCheck) {
	record.line("send %s", id)
	response, err := sender.Do(request)
	if err != nil {
		record.line("no answer %s: %s", id, err)
		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		record.line("answer cut %s: status %d, %d bytes: %s", id, response.StatusCode, len(body), err)
		return
	}
	record.line("answer %s: status %d, %d bytes", id, response.StatusCode, len(body))
	bodies.observe(id, response.StatusCode, len(body), response.Header.Get("Response-Signature") != "")
}
