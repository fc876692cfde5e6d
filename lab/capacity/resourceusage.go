package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// ProcessorTime returns the processor time that this process has used, in user
// and system mode. Unlike elapsed time it doesn't grow while other processes
// hold the processors. It includes the garbage collector.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // only for a wrong argument
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// processorTimeOf returns the processor time of one call of run, which is
// repeated until it has used at least the given time. Repetition numbers rise
// from 0.
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

// MemoryInUse returns the bytes of live heap objects and of stacks.
func MemoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return float64(statistics.HeapAlloc + statistics.StackInuse)
}

// memoryOf returns the bytes that stay in use for what build returns.
func memoryOf(build func() (any, error)) (float64, error) {
	before := MemoryInUse()
	kept, err := build()
	grown := MemoryInUse() - before
	runtime.KeepAlive(kept)
	return grown, err
}
