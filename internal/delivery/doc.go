// Package delivery decides the progressive delivery of a service's software
// version: which part of the requests goes to workers of the new version, when
// enough is known to move all of them or none, and what every node does while it
// hears nothing.
//
// The package is pure: it has no I/O and no clock, and time is passed in on the
// process's steady clock. A Follower runs on every node, a Director on the node
// that holds the lease. Neither is safe for concurrent use.
//
// Invariants. A node without a valid directive sends nothing to the target of an
// unfinished order while other workers are listed. A condemned version gets nothing
// ever again. A final state never changes.
package delivery
