// Package workerlimit keeps the requests that all nodes send to a worker within the rate limit that
// the worker advertises in its answers.
//
// A Tracker holds a node's view of the workers' limits, from its own observations and those of
// other nodes, and when a worker at its limit may have room again. A Limiter belongs to the one
// node that grants the requests to a worker: it spaces them at the worker's rate for all nodes.
//
// The package has no I/O and no clock, and isn't safe for concurrent use.
package workerlimit
