package streamorigin

import (
	"runtime"
	"testing"
)

// BenchmarkRecords measures a record of a stream: its time, and its memory at a full generation.
func BenchmarkRecords(b *testing.B) {
	before := runtime.MemStats{}
	runtime.GC()
	runtime.ReadMemStats(&before)
	records := NewRecords()
	for number := range Key(maxRecords - 1) {
		records.Add(0, testLifetime, number*0x9e3779b97f4a7c15, oldOrigin, false)
	}
	after := runtime.MemStats{}
	runtime.GC()
	runtime.ReadMemStats(&after)
	number := Key(0)
	for b.Loop() {
		records.Add(0, testLifetime, KeyOf("tenant", "0123456789abcdef"), oldOrigin, false)
		_, _ = records.Find(number)
		number++
	}
	runtime.KeepAlive(records)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxRecords, "B/record")
}
