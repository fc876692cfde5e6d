// Package quarantine detects requests that crash workers and decides which of them must not be
// sent to a worker.
//
// A crash interrupts every request at the worker, so a single crash does not identify the request
// that caused it. A request is quarantined once it was in flight at several workers when they
// crashed and was not answered completely in the meantime.
//
// The package has no I/O, goroutines or clock. Times are passed in, on a process clock that also
// counts while the machine is suspended.
package quarantine
