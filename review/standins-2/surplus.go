package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	surplusHost = "counter.example"
	surplusKey  = "key-of-the-only-tenant"
	// surplusEvery is the number of whole answers of the faulty worker of which one is followed by more bytes.
	surplusEvery   = 34
	warmUp         = 2 * time.Second
	troubleLasts   = 4900 * time.Millisecond
	surplusClients = 12
)

// runSurplus has one worker of four send more after a thirtieth of its whole answers. Requests of an unsafe route must
// run once at most, and none that was answered with 429 or 503 may run.
func runSurplus(env *environment) outcome {
	host := newHost()
	platform, err := newStore(host)
	if err != nil {
		return outcome{err: err}
	}
	platform.put("op", "config", surplusConfig())
	var isTrouble atomic.Bool
	for number := 1; number <= 4; number++ {
		added, err := newWorker(fmt.Sprintf("i-%d", number), "counter-app", host, env.record)
		if err != nil {
			return outcome{err: err}
		}
		if number == 1 {
			var answers atomic.Int64
			added.surplus = func() bool { return isTrouble.Load() && answers.Add(1)%surplusEvery == 0 }
			added.maySendSurplus = isTrouble.Load
			added.namesSurplus = env.only == "named"
		}
		platform.put("servers", added.id, added.row())
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
	ctx, stop := context.WithTimeout(context.Background(), warmUp+troubleLasts+time.Second)
	defer stop()
	go func() {
		time.Sleep(warmUp)
		isTrouble.Store(env.trouble)
		time.Sleep(troubleLasts)
		isTrouble.Store(false)
	}()
	var group sync.WaitGroup
	for client := range surplusClients {
		group.Go(func() { sendUnsafe(ctx, env.record, process.front, client) })
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	return judgeUnsafe(env.record)
}

// surplusConfig returns a configuration with one unsafe route, as the site kcw-colombo has it.
func surplusConfig() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "order-status", "host": surplusHost, "path_prefix": "/check/", "kind": "unsafe", "timeout_ms": 1000,
			"target_latency_ms": 150, "priority": 2, "service": "counter-app", "max_attempts": 1, "public": false,
		}},
		"services": []map[string]any{{"name": "counter-app", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "ward", "api_keys": []string{surplusKey}, "priority": 1}},
	}
}

// sendUnsafe sends requests of an unsafe route on a kept connection, one after the other. It repeats none.
func sendUnsafe(ctx context.Context, record *record, front string, client int) {
	sender := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}, Timeout: 5 * time.Second}
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("c%02d-%05d", client, number)
		request, err := http.NewRequest(http.MethodPost, "http://"+front+"/check/"+id, strings.NewReader(strings.Repeat("b", 600)))
		if err != nil {
			panic(err)
		}
		request.Host = surplusHost
		request.Header.Set("Request-Id", id)
		request.Header.Set("Deadline-Ms", "1000")
		request.Header.Set("Authorization", "Bearer "+surplusKey)
		record.line("send %s", id)
		// net/http repeats no POST on its own once a byte of it may have been read.
		response, err := sender.Do(request)
		if err != nil {
			record.line("no answer %s: %s", id, err)
			continue
		}
		_, bodyErr := io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		record.addAnswer(id, response.StatusCode)
		if bodyErr != nil && !errors.Is(bodyErr, io.EOF) {
			record.line("answer cut %s: %s", id, bodyErr)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// judgeUnsafe returns the breaks of TWICE and REFUSED.
func judgeUnsafe(record *record) outcome {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	if len(record.answers) < 100 {
		return outcome{err: fmt.Errorf("only %d requests were answered", len(record.answers))}
	}
	var breaks []string
	for id, runs := range record.runs {
		if len(runs) > 1 {
			breaks = append(breaks, fmt.Sprintf("TWICE %s ran %d times, first at %s and then at %s", id, len(runs), runs[0].worker, runs[1].worker))
		}
		if status := record.answers[id]; status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
			breaks = append(breaks, fmt.Sprintf("REFUSED %s was answered with %d and has run", id, status))
		}
	}
	return outcome{breaks: breaks}
}
