// Package lease elects one holder among many processes through a row of the table service and
// numbers successive holders with fencing tokens.
//
// Wall clocks are never compared between machines. A challenger takes the lease over once it has
// seen the row's revision unchanged for the lease duration plus a margin, on its own elapsed clock.
// A holder's lease expires, on the holder's clock, the duration minus the margin after the start of
// its last successful renewal. While the clocks' rates differ by less than the ratio of margin to
// duration, at most one process considers itself the holder.
//
// A process that is paused between checking the lease and sending a command may send the command
// late. Each command therefore carries the fencing token, which increases with every change of
// holder, and an engine rejects a token lower than the highest it has seen. See Gray and Cheriton,
// "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", SOSP
// 1989.
//
// The row must never be deleted, because the tokens would restart from 1. If the table service is
// restored from an older copy, see restore.go.
package lease
