// Package workerlimit keeps the requests that all nodes send to a worker within the rate limit that
// the worker advertises in its answers.
//
// A Tracker holds a node's view of the workers' limits, from its own observations and those of
// other nodes. It also holds when a worker at its limit may have capacity again. A Limiter runs on
// the node that grants requests to a worker, and spaces the requests of all nodes at the worker's
// rate.
//
// The package has no I/O and no clock, and isn't safe for concurrent use.
package workerlimit
