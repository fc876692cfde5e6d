package backends

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/overload"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// strategy is a way to find the candidates of a choice.
type strategy struct {
	name       string
	exhaustive bool
	// gather examines workers; nil means search.gather.
	gather func(f *simulatedFleet, s *search)
}

// strategies returns the strategies to compare: whole searches exhaustively and is the reference,
// few samples as in production, sorted takes the engines with the fewest requests in flight, and
// partition takes the engines assigned to one node.
func strategies() []strategy {
	return []strategy{
		{name: "whole", exhaustive: true},
		{name: "few"},
		{name: "sorted", gather: func(f *simulatedFleet, s *search) {
			s.examineHolders()
			for _, state := range f.sorted[:min(16, len(f.sorted))] {
				s.examine(state)
			}
		}},
		{name: "partition", gather: func(f *simulatedFleet, s *search) {
			s.examineHolders()
			for _, state := range f.nodeEngines {
				s.examine(state)
			}
		}},
	}
}

// costs returns the cost of a request at each engine, from an exhaustive search.
func (f *simulatedFleet) costs(request *Request) map[fleet.EngineRun]time.Duration {
	s := f.registry.newSearch(f.now, request, nil)
	s.exhaustive = true
	costs := make(map[fleet.EngineRun]time.Duration)
	if reason := s.gather(); reason != "" {
		return costs
	}
	prompt := f.registry.newPrompt(s)
	f.registry.decide(s, prompt)
	for index := range f.registry.endpoints {
		f.registry.endpoints[index].Serves = func(fleet.ModelVersion) bool { return true }
	}
	decision, _ := f.registry.scheduler.Schedule(scheduling.Request{
		Pool: request.Service, PromptTokens: prompt.engine.PromptTokens, PartTokens: prompt.ends,
		Deadline: prompt.engine.TimeLeft, Explain: true,
	}, f.registry.endpoints, f.random)
	for _, candidate := range decision.Candidates {
		if candidate.RemovedBy == "" {
			costs[candidate.Run] = candidate.Scores.Cost()
		}
	}
	return costs
}

// decideWith decides on a request with a strategy, without placing it.
func (f *simulatedFleet) decideWith(variant strategy, request *Request) (decision scheduling.Decision, refused bool, elapsed time.Duration) {
	start := time.Now()
	s := f.registry.newSearch(f.now, request, nil)
	s.exhaustive = variant.exhaustive
	if variant.gather == nil {
		s.gather()
	} else {
		variant.gather(f, s)
		s.saveBuffers()
		s.resolve()
	}
	prompt := f.registry.newPrompt(s)
	if len(s.candidates()) == 0 {
		return decision, true, time.Since(start)
	}
	decision = f.registry.decide(s, prompt)
	allowed := overload.OnTimeWait(prompt.engine.Target, decision.ServiceTime)
	isTooLate := func() bool { return prompt.engine.MayRefuse && decision.Late && decision.WaitTime > allowed }
	if isTooLate() && variant.name == "few" {
		if _, added := s.addSpareEngines(allowed); added {
			decision = f.registry.decide(s, prompt)
		}
	}
	return decision, isTooLate(), time.Since(start)
}

// sortEngines sorts the engines by load, and selects those assigned to one node.
func (f *simulatedFleet) sortEngines() {
	f.sorted, f.nodeEngines = f.sorted[:0], f.nodeEngines[:0]
	for index, state := range f.registry.pools["engines"].all() {
		f.sorted = append(f.sorted, state)
		if index%simulatedPeers == 0 {
			f.nodeEngines = append(f.nodeEngines, state)
		}
	}
	slices.SortFunc(f.sorted, func(a, b *workerState) int {
		return cmp.Or(cmp.Compare(f.registry.totalInFlight(f.now, a), f.registry.totalInFlight(f.now, b)), cmp.Compare(a.hash, b.hash))
	})
}

// BenchmarkStrategies compares the duration of a choice and the additional cost over an exhaustive
// search, with a third of the slots and with nearly all slots in use.
func BenchmarkStrategies(b *testing.B) {
	for _, engines := range []int{12, 90, 1000, 3000, 10_000} {
		for _, busy := range []float64{4, 13} {
			b.Run(fmt.Sprintf("engines=%d/busy=%g", engines, busy), func(b *testing.B) {
				benchmarkStrategies(b, newSimulatedFleet(engines, busy, Options{Zone: "z0"}))
			})
		}
	}
}

func benchmarkStrategies(b *testing.B, f *simulatedFleet) {
	b.Helper()
	all := strategies()
	times := make([]*hdrhistogram.Histogram, len(all))
	for index := range times {
		times[index] = hdrhistogram.New(1, int64(100*time.Second), 3)
	}
	lost, refusals := make([]time.Duration, len(all)), make([]int, len(all))
	compared := 0
	for range b.N {
		f.step()
		f.sortEngines()
		request := f.request()
		costs := f.costs(request)
		best, refusedByAll, elapsed := f.decideWith(all[0], request)
		_ = times[0].RecordValue(int64(elapsed))
		if refusedByAll {
			refusals[0]++
		} else {
			compared++
		}
		for index, variant := range all[1:] {
			decision, refused, elapsed := f.decideWith(variant, request)
			_ = times[index+1].RecordValue(int64(elapsed))
			switch {
			case refused:
				refusals[index+1]++
			case !refusedByAll:
				lost[index+1] += costs[decision.Endpoint.Run] - costs[best.Endpoint.Run]
			}
		}
		if placement, _ := f.registry.Choose(f.now, request); placement != nil {
			f.placements = append(f.placements, placement)
		}
	}
	for index, variant := range all {
		b.ReportMetric(float64(times[index].ValueAtQuantile(50))/1e3, variant.name+"-p50-µs")
		b.ReportMetric(float64(times[index].ValueAtQuantile(99))/1e3, variant.name+"-p99-µs")
		b.ReportMetric(lost[index].Seconds()*1e3/math.Max(float64(compared), 1), variant.name+"-lost-ms")
		b.ReportMetric(float64(refusals[index])/float64(b.N), variant.name+"-refused")
	}
}
