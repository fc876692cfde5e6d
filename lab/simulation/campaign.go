package simulation

import (
	"fmt"
	"io"
	"runtime"
	"sync"
	"sync/atomic"

	"github.com/tillerfall/tillerfall/lab/history"
)

// Result is the outcome of one checked run.
type Result struct {
	Seed       uint64
	Violations []history.Violation
}

// CheckSeed simulates and checks one run.
func CheckSeed(options Options) (*history.History, Result) {
	record := Run(options)
	return record, Result{Seed: options.Seed, Violations: history.Check(record, history.DefaultLimits())}
}

// Campaign checks count consecutive seeds from first on, running one seed per CPU at a time. It
// returns the results in seed order.
func Campaign(first uint64, count int, options Options) []Result {
	results := make([]Result, count)
	var next atomic.Int64
	var workers sync.WaitGroup
	for range min(runtime.GOMAXPROCS(0), count) {
		workers.Go(func() {
			for {
				index := int(next.Add(1)) - 1
				if index >= count {
					return
				}
				run := options
				run.Seed = first + uint64(index)
				_, results[index] = CheckSeed(run)
			}
		})
	}
	workers.Wait()
	return results
}

// Report writes the timeline of a seed followed by its violations.
func Report(to io.Writer, options Options) (Result, error) {
	record, result := CheckSeed(options)
	if err := record.Write(to); err != nil {
		return result, err
	}
	for _, violation := range result.Violations {
		if _, err := fmt.Fprintf(to, "violation seed=%d %s\n", options.Seed, violation); err != nil {
			return result, err
		}
	}
	return result, nil
}
