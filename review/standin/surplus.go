package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Size of the surplus case. The deployment has 5 workers of 6 slots. At 3 of them, a share of 0.6 and the
// largest that the site files name, one in 33 answers comes twice, for 5 s at a time.
const (
	surplusGateways = 2
	surplusWorkers  = 5
	surplusFaulty   = 3
	surplusFor      = 5 * time.Second
	surplusPause    = 2 * time.Second
	surplusTimes    = 6
	surplusShare    = 0.03
	// surplusClients send one request after the other, a few more than the workers take at once.
	surplusClients = 44
	surplusWork    = 30 * time.Millisecond
)

func init() { cases["surplus"] = playSurplus }

// playSurplus plays workers that are full at times, and whose rejections come twice at times, the second
// one late, in the place of the next answer.
func playSurplus(s *scene) (broken bool, err error) {
	platform, err := startStore("127.0.0.1")
	if err != nil {
		return false, err
	}
	platform.put("op", "config", plainConfig(4000))
	ran := newRuns()
	var faulty atomic.Bool
	var rejections, surplus atomic.Int64
	for index := range surplusWorkers {
		w := &worker{
			id: fmt.Sprintf("i-%08x", 0x64000000+index), service: appService, zone: zones[index%len(zones)], slots: 6, queue: 2,
			record: s.record, runs: ran, handle: answerAfter(surplusWork),
		}
		if s.trouble && index < surplusFaulty {
			w.surplus = func() bool {
				if !faulty.Load() {
					return false
				}
				rejections.Add(1)
				if rand.Float64() >= surplusShare {
					return false
				}
				surplus.Add(1)
				return true
			}
		}
		if err := w.listen("127.0.0.1"); err != nil {
			return false, err
		}
		w.serve(platform)
	}
	if err := s.startFleet(platform, surplusGateways, 284); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var sent, refused, refusedAfterRun atomic.Int64
	for number := range surplusClients {
		clients.Go(func() {
			caller := newClient(s.gateways[number%len(s.gateways)].front(), clientHost, tenantKey)
			for sequence := 0; ; sequence++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%04x%012x", number, sequence)
				s.record.add("client sends unsafe request %s", id)
				got := caller.send("POST", "/unsafe/x", id, make([]byte, 600), 4*time.Second, nil)
				s.record.add("client got for %s: status %d, error %v", id, got.status, got.err)
				sent.Add(1)
				if promisesNotRun(got.status) {
					refused.Add(1)
					if ran.of(id) > 0 {
						refusedAfterRun.Add(1)
						s.record.say("REFUSED: %s was answered %d, and a worker had run it", id, got.status)
					}
				}
				if got.status != 200 {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	for range surplusTimes {
		time.Sleep(surplusPause)
		s.record.add("the fault begins")
		faulty.Store(true)
		time.Sleep(surplusFor)
		faulty.Store(false)
		s.record.add("the fault ends")
	}
	time.Sleep(surplusPause)
	close(stop)
	clients.Wait()
	time.Sleep(500 * time.Millisecond)
	twice := ran.reportTwice(s.record)
	s.record.say("%d unsafe requests, %d of them refused; %d rejections of the faulty workers during the fault, %d of them sent twice; %d requests were run twice, %d refused after a run",
		sent.Load(), refused.Load(), rejections.Load(), surplus.Load(), twice, refusedAfterRun.Load())
	return twice > 0 || refusedAfterRun.Load() > 0, nil
}

// promisesNotRun reports whether a status promises that the request has not run and never will.
func promisesNotRun(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}
