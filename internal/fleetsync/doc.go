// Package fleetsync keeps an agent's copy of a router's two lists, of routers
// and of engines, at the cost of their changes. A router that doesn't read the
// platform's list of machines follows one that does in the same way; Readers says
// which those are. A Publisher is the router's
// side, a Subscriber the agent's. Neither does I/O or reads a clock, and both
// are safe for concurrent use.
//
// A list has a version that counts its changes at one run of one router. The
// versions of two routers, or of two runs, have nothing to do with each other:
// a Subscriber names the router that its versions are of, and a Publisher that
// is another sends the whole list. The list of engines has a digest as well, by
// which a Subscriber that changes routers learns that its copy is right.
package fleetsync
