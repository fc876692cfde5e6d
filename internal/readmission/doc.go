// Package readmission gives refused callers a time to return and keeps the units of a tenant's limit
// for them at that time.
//
// A Book is one node's view of the tickets that all nodes have given. A ticket is made when a request
// is refused, for the next time at which its units are free after all earlier tickets, provided that
// its caller waits so long. Newcomers leave the units of tickets that are due. A returning request is
// recognized by its signature, at any node that has received the ticket.
//
// Each node books its own part of a limit, so that nodes which have not heard of each other's tickets
// yet don't give the same units twice.
//
// The package has no I/O and no clock, and isn't safe for concurrent use. It knows neither the token
// bucket nor the protocol.
package readmission
