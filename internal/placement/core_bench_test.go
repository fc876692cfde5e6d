package placement

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlace measures one placement of a 32k-token prompt: submit, grant and three reports.
func BenchmarkPlace(b *testing.B) {
	for _, engines := range []int{12, 48, 192} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			bench := newBench(b, engines)
			warm := request("warm", urgent, "circular", 2048)
			for number := range engines {
				bench.core.index.Store(bench.core.engines[engineName(number)].run, warm.Blocks)
			}
			b.ResetTimer()
			b.ReportAllocs()
			for number := range b.N {
				bench.now += time.Millisecond
				if number%1000 == 0 {
					for engine := range engines {
						bench.core.ObserveStatus(bench.now, bench.status(engineName(engine), 1))
					}
				}
				attempt := warm
				attempt.Key.Attempt = 2
				grant := bench.submitGranted(attempt)
				bench.report(grant, PhaseAccepted)
				bench.report(grant, PhaseFirstToken)
				bench.report(grant, PhaseFinished)
			}
		})
	}
}

// BenchmarkDispatchWhileFull measures one Tick of a router with full engines and a long queue.
func BenchmarkDispatchWhileFull(b *testing.B) {
	for _, waiting := range []int{10, 100, 900} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			bench := newBench(b, 18)
			bench.fill()
			for number := range waiting {
				bench.submit(request(fmt.Sprintf("w%d", number), batch, "circular", 2048))
			}
			b.ResetTimer()
			for range b.N {
				bench.core.Tick(bench.now)
			}
		})
	}
}
