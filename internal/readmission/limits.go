package readmission

import "time"

// PriorityCount is the number of priorities among a tenant's own requests; 0 is the most urgent.
const PriorityCount = 10

// Bounds on the number of tickets.
const (
	// maxTicketsPerTenant and maxTickets bound the tickets that a node holds, in number. A ticket
	// takes about 150 bytes.
	maxTicketsPerTenant = 4096
	maxTickets          = 16384
	// maxTicketsPerSignature bounds equal requests, which are searched one after the other.
	maxTicketsPerSignature = 64
	// maxReportedPerRound bounds the tickets, and the used tickets, of the reports to all nodes that one
	// exchange takes; minReportSize and maxReportSize bound those of one report.
	maxReportedPerRound = 192
	minReportSize       = 16
	maxReportSize       = 64
)

// Times of a ticket.
const (
	// earlyTolerance is how much before its due time a ticket counts as due. It covers the network
	// and clocks that run at different speeds.
	earlyTolerance = 50 * time.Millisecond
	// grace is how long a ticket is kept after it is due: callers return on new connections.
	grace = 500 * time.Millisecond
	// minReturn is the least time to return. Within it all nodes receive the ticket.
	minReturn = maxExchangeTime
	// maxReturn bounds the time to return.
	maxReturn = 10 * time.Second
	// unknownWait is how long a caller waits that doesn't say how much time it has.
	unknownWait = time.Second
	// waitDivisor divides a caller's time left into what it will wait: callers need the rest for the
	// request itself and further tries.
	waitDivisor = 3
	// targetDivisor divides the time left until a latency target into what a ticket may take of it: the
	// run needs the rest.
	targetDivisor = 2
	// holdAhead is how long before a ticket is due newcomers begin to leave its units. Nodes that admit
	// newcomers at the same time hear of each other only after an exchange.
	holdAhead = 300 * time.Millisecond
	// deadlineTolerance is by how much the deadlines of two tries of one caller differ at most.
	deadlineTolerance = 50 * time.Millisecond
	// exchangePeriod is the time within which usage is exchanged with every node while a tenant is near
	// its limit: either side begins one each 100 ms unless the other's last report is younger.
	exchangePeriod = 200 * time.Millisecond
	// maxExchangeTime is exchangePeriod with the call and delays.
	maxExchangeTime = 225 * time.Millisecond
	// maxUseAge is how long a use is reported: then the ticket has lapsed.
	maxUseAge = time.Second
	// sharingPeriod is how long after its last report a node counts as a peer.
	sharingPeriod = time.Second
)

// bookedFraction is the fraction of the rate that tickets may take. The rest covers runs that are
// charged again and nodes that haven't received a ticket, and is left to newcomers.
const bookedFraction = 0.8
