package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// ProcessorTime returns the user and system time used by this process, including the garbage
// collector. Unlike elapsed time, it doesn't depend on the load of other processes.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // Getrusage fails only for invalid arguments
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// processorTimeOf returns the mean processor time of one call of run, which is repeated until the
// calls have used at least the given time. Repetitions are numbered from 0.
func processorTimeOf(atLeast time.Duration, run func(repetition int)) time.Duration {
	repetition := 0
	runtime.GC()
	start := ProcessorTime()
	for batch := 1; ; batch *= 2 {
		for range batch {
			run(repetition)
			repetition++
		}
		if used := ProcessorTime() - start; used >= atLeast {
			return used / time.Duration(repetition)
		}
	}
}

func microseconds(duration time.Duration) float64 { return float64(duration.Nanoseconds()) / 1e3 }

// MemoryInUse collects garbage and returns the bytes of live heap objects and of stacks.
func MemoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return float64(statistics.HeapAlloc + statistics.StackInuse)
}

// memoryOf returns the bytes retained by the value that build returns.
func memoryOf(build func() (any, error)) (float64, error) {
	before := MemoryInUse()
	built, err := build()
	growth := MemoryInUse() - before
	runtime.KeepAlive(built)
	return growth, err
}
