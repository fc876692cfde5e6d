package enginespeed

import (
	"fmt"
	"testing"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// largeTable returns a table of uneven engines with two measurements of each kind.
func largeTable(engines int) *Table {
	table := New()
	for number := range engines {
		for range 2 {
			table.Observe(0, runOf(number), Prefill, 0.5+float64(number*7919%1000)/1000)
			table.Observe(0, runOf(number), Step, 0.5+float64(number*7907%1000)/1000)
		}
	}
	table.Refresh(0)
	return table
}

// BenchmarkRefresh measures what the registry's mutex is held for at each exchange interval.
func BenchmarkRefresh(b *testing.B) {
	for _, engines := range []int{1000, 10_000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			table := largeTable(engines)
			for b.Loop() {
				table.Refresh(time.Second)
			}
		})
	}
}

// BenchmarkReport measures a report to a new peer.
func BenchmarkReport(b *testing.B) {
	for _, engines := range []int{1000, 10_000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			table, number := largeTable(engines), 0
			for b.Loop() {
				number++
				table.Report(time.Second, fleet.NodeID(fmt.Sprint("node", number%985)), MaxReported)
			}
		})
	}
}
