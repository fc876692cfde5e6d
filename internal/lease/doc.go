// Package lease elects one holder among many processes by a row of the table
// service, and numbers the holders with fencing tokens.
//
// No wall clock is compared between machines. A challenger takes a lease over
// when it has seen the row's revision unchanged for the lease's duration plus
// a margin on its own elapsed clock. A holder stops believing at the duration
// minus the margin after the start of its last successful renewal. As long as
// clocks run at rates that differ by less than the margin over the duration,
// no two processes believe at once.
//
// A process that is frozen between its check and its order may still send the
// order late. Therefore each order carries the fencing token, which rises with
// each change of holder, and an engine rejects a token lower than the highest
// it has seen. See Gray and Cheriton, "Leases: An Efficient Fault-Tolerant
// Mechanism for Distributed File Cache Consistency", SOSP 1989.
//
// The row must never be deleted: the tokens would start again.
package lease
