// Package workerlimit keeps the sends of all nodes together within the limits that workers
// name in their answers.
//
// A Ledger holds what a node believes of each limit: what answers said, its own and those that
// other nodes tell of, and which of two observations is the newer. It also holds when a worker that
// had no room is to be asked about again. A Limiter belongs to the one node that grants the
// sends to a worker: it spaces them at the worker's rate, however many nodes ask.
//
// The package has no I/O and no clock, and isn't safe for concurrent use.
package workerlimit
