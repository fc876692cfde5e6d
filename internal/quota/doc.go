// Package quota enforces each tenant's limit, a rate and a burst summed over all nodes, without a
// central coordinator.
//
// Every node keeps a copy of the tenant's token bucket for the whole fleet. It takes its own
// admissions out at once and those of its peers when they report their totals. While a tenant is
// near its limit, admissions are reported at once, so the copies differ only by reports in flight.
//
// A node reserves the share of each unreachable peer. Both sides of a partition therefore reduce
// the limit to the share of requests that their nodes had before, and together stay within it. A
// joining node doesn't know what was used before its start: it begins with a nearly empty bucket
// and a small share of the limit until it has synchronized with a peer.
//
// Of a tenant's own requests the more urgent go first. Nodes report the demand by priority, and a
// request is admitted only while more is left than a reserve for the demand of more urgent ones. Each
// priority has a minimum share of the rate.
//
// The package has no I/O and no clock, and isn't safe for concurrent use.
package quota
