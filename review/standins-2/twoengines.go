package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// twoWorkAfter is how long after a request goes on at another worker the worker before may still work on it.
	twoWorkAfter = 400 * time.Millisecond
	longStream   = 73
	// brokenAtEvent is the event at which an answer is broken off, and brokenEvery the number of the faulty engines' requests
	// of which one is: as the sheet's garble, 0.02 of the answers. With ONLY=reset it's lostEvery, as for answer_lost.
	brokenAtEvent = 12
	brokenEvery   = 50
	lostEvery     = 20
	// streamGap is the time between two requests.
	streamGap    = 20 * time.Millisecond
	warmUpOnce   = 200
	troubledOnce = 280
	// breaksLast is how long the engines break answers off, and lossesLast how long they lose them: less than the 5.5 s and
	// 4 s of the site file.
	breaksLast = 5400 * time.Millisecond
	lossesLast = 3900 * time.Millisecond
	// faultyEngines is the number of engines, of onceEngines, that break answers off and work on after a connection has closed.
	// The others drop a request then, as most do.
	faultyEngines = 2
	onceEngines   = 6
)

// runTwoEngines has two engines of six break some of their answers off: the connection is closed in the middle of the stream,
// and the engine runs the request to its end. A stream that may run once must not go on at another engine meanwhile. With
// ONLY=reset the answers are lost by a reset instead.
func runTwoEngines(env *environment) outcome {
	host := newHost()
	platform, err := newStore(host)
	if err != nil {
		return outcome{err: err}
	}
	platform.put("op", "config", onceConfig())
	every, last := int64(brokenEvery), breaksLast
	if env.only == "reset" {
		every, last = lostEvery, lossesLast
	}
	var isTrouble atomic.Bool
	var streams atomic.Int64
	var engines []*engine
	for number := 1; number <= onceEngines; number++ {
		added, err := newEngine(fmt.Sprintf("i-%d", number), "lm-fab", host, env.record)
		if err != nil {
			return outcome{err: err}
		}
		added.streamEvents, added.eventGap, added.keepsOn = longStream, 20*time.Millisecond, number <= faultyEngines
		if number <= faultyEngines {
			added.atEvent = func(engine *engine, conn net.Conn, id string, event int) {
				if event != brokenAtEvent || !isTrouble.Load() || streams.Add(1)%every != 0 {
					return
				}
				env.record.line("%s breaks the answer to %s off, and works on", engine.id, id)
				if env.only == "reset" {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			}
		}
		engines = append(engines, added)
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
	var group sync.WaitGroup
	for number := range warmUpOnce + troubledOnce {
		if number == warmUpOnce {
			isTrouble.Store(env.trouble)
			time.AfterFunc(last, func() { isTrouble.Store(false) })
		}
		group.Go(func() { sendPrompt(env.record, process.front, "other", fmt.Sprintf("once-%d", number)) })
		time.Sleep(streamGap)
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	return judgeTwoEngines(engines)
}

// judgeTwoEngines returns the requests on which an engine has worked for longer than twoWorkAfter beside another one that
// went on with them.
func judgeTwoEngines(engines []*engine) outcome {
	var breaks []string
	seen := 0
	for _, first := range engines {
		for _, second := range engines {
			if first == second {
				continue
			}
			for id, earlier := range first.work {
				seen++
				later, both := second.work[id]
				if both && later.from.After(earlier.from) && earlier.to.After(later.from.Add(twoWorkAfter)) {
					breaks = append(breaks, fmt.Sprintf("TWICE %s went on at %s while %s worked on it for another %d ms", id, second.id, first.id, earlier.to.Sub(later.from).Milliseconds()))
				}
			}
		}
	}
	if seen == 0 {
		return outcome{err: fmt.Errorf("no request ran")}
	}
	return outcome{breaks: breaks}
}

// onceConfig returns a configuration with a route for streams that may not be resumed, as the site kcw-colombo has it.
func onceConfig() map[string]any {
	config := streamConfig()
	route := config["routes"].([]map[string]any)[0]
	route["name"], route["timeout_ms"], route["target_latency_ms"] = "quote-draft", 15000, 500
	route["priority"], route["max_attempts"], route["resumable"] = 0, 1, false
	return config
}
