// Package delivery implements canary releases of a service's software version: it decides which
// share of the requests goes to workers of the target version, compares their responses with those
// of the old workers, and completes the release or rolls it back.
//
// The package has no I/O and no clock; times are passed in and are on the process's monotonic
// clock. A Follower runs on every node, and a Director on the node that holds the lease. Neither is
// safe for concurrent use.
//
// Invariants: without a valid directive, a node sends nothing to the target of an unfinished order
// while other workers are listed. A rejected version never gets requests again. A final stage never
// changes.
package delivery
