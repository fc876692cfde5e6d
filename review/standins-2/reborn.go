package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	rebornDeadline = 4000 * time.Millisecond
	rebornTimeout  = 2000 * time.Millisecond
	rebornClients  = 12
	// cutLasts is how long the worker is cut off, and crashAfter how long after the start of the cut it crashes.
	cutLasts   = 1300 * time.Millisecond
	crashAfter = 100 * time.Millisecond
	// rebornWorkers is the number of workers. One of them is less than 0.17.
	rebornWorkers = 6
)

// runReborn cuts one worker off while it sends an answer without a length. It crashes behind the cut and starts again. An
// answer that ends early must not look complete.
func runReborn(env *environment) outcome {
	host := newHost()
	platform, err := newStore(host)
	if err != nil {
		return outcome{err: err}
	}
	platform.put("op", "config", rebornConfig())
	var armed, struck atomic.Bool
	for number := 1; number <= rebornWorkers; number++ {
		added, err := newWorker(fmt.Sprintf("i-%d", number), "dhvaj-api", host, env.record)
		if err != nil {
			return outcome{err: err}
		}
		before, err := newLink(host, added.listener.Addr().String())
		if err != nil {
			return outcome{err: err}
		}
		row := func(w *worker) map[string]any {
			fields := w.row()
			fields["address"] = before.address
			return fields
		}
		platform.put("servers", added.id, row(added))
		if number > 1 {
			continue
		}
		var answers atomic.Int64
		added.unframed = func() bool { return armed.Load() && answers.Add(1)%unframedEvery == 0 }
		added.afterHalf = func(id string) bool {
			if !env.trouble || !struck.CompareAndSwap(false, true) {
				return false
			}
			env.record.line("worker %s is struck in the middle of the answer to %s", added.id, id)
			if env.only != "crash" {
				before.cut(cutLasts)
			}
			time.Sleep(crashAfter)
			before.refuse()
			go func() {
				time.Sleep(workerDown)
				// Each start of a worker has an id of its own (PROTOCOL), or the one that it had (letter 9).
				id := fmt.Sprintf("i-%d", rebornWorkers+1)
				if env.only == "sameid" {
					id = added.id
				}
				next, err := newWorker(id, added.service, host, env.record)
				if err != nil {
					return
				}
				if err := before.lead(next.listener.Addr().String()); err != nil {
					env.record.line("worker %s can't start again: %s", next.id, err)
					return
				}
				platform.put("servers", next.id, row(next))
				env.record.line("worker %s has started again as %s", added.id, next.id)
				if next.id != added.id {
					time.Sleep(rowKeptFor - workerDown)
					platform.remove("servers", added.id)
				}
			}()
			return true
		}
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
	ctx, stop := context.WithTimeout(context.Background(), 12*time.Second)
	defer stop()
	time.AfterFunc(2*time.Second, func() { armed.Store(true) })
	time.AfterFunc(2*time.Second+unframedLasts, func() { armed.Store(false) })
	bodies := &bodyCheck{}
	var group sync.WaitGroup
	for client := range rebornClients {
		group.Go(func() { sendPosts(ctx, env.record, process.front, client, bodies) })
	}
	group.Wait()
	if env.trouble && !struck.Load() {
		return outcome{err: fmt.Errorf("no answer without a length was sent")}
	}
	return bodies.judge(env.record)
}

// rebornConfig returns a configuration with one unsafe route, as the site sjsn-flags has it.
func rebornConfig() map[string]any {
	config := surplusConfig()
	route := config["routes"].([]map[string]any)[0]
	route["name"], route["service"], route["timeout_ms"], route["target_latency_ms"] = "flag-check", "dhvaj-api", rebornTimeout.Milliseconds(), 300
	config["services"].([]map[string]any)[0]["name"] = "dhvaj-api"
	return config
}

// sendPosts sends requests of an unsafe route on a kept connection, one after the other. It repeats none.
func sendPosts(ctx context.Context, record *record, front string, client int, bodies *bodyCheck) {
	sender := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}, Timeout: 2 * rebornDeadline}
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("c%02d-%05d", client, number)
		request, err := http.NewRequest(http.MethodPost, "http://"+front+"/check/"+id, strings.NewReader(strings.Repeat("b", 600)))
		if err != nil {
			panic(err)
		}
		request.Host = surplusHost
		request.Header.Set("Request-Id", id)
		request.Header.Set("Deadline-Ms", fmt.Sprint(rebornDeadline.Milliseconds()))
		request.Header.Set("Authorization", "Bearer "+surplusKey)
		exchange(sender, request, id, record, bodies)
		time.Sleep(20 * time.Millisecond)
	}
}
