// Package fleetsync replicates a router's lists of routers and engines to agents as incremental
// changes. A router that doesn't read the platform's list of machines replicates it from another
// router in the same way; Readers selects the routers that do read it. Publisher is the sending
// side, Subscriber the receiving side. Neither performs I/O or reads a clock, and both are safe for
// concurrent use.
//
// The version of a list counts its changes within one router instance. Versions of different
// instances are unrelated: a Subscriber names the instance of its versions, and any other Publisher
// sends the whole list. The list of engines also has a digest, so that a Subscriber that switches
// routers can keep an identical copy.
package fleetsync
