package readmission

import (
	"cmp"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// news is a ticket that this node gives or uses, to be reported to all nodes.
type news struct {
	number uint64
	ticket *ticket
	at     time.Duration
}

// newsLog lists news in order, with what each node has been told.
type newsLog struct {
	entries []news
	last    uint64
	told    map[fleet.NodeID]toldNews
}

// toldNews is the number of the last news that a node was told, that of the report before, and when it
// was told any.
type toldNews struct {
	number, before uint64
	at             time.Duration
}

func newNewsLog() newsLog { return newsLog{told: make(map[fleet.NodeID]toldNews)} }

func (l *newsLog) add(now time.Duration, about *ticket) {
	l.last++
	l.entries = append(l.entries, news{number: l.last, ticket: about, at: now})
}

// take returns the next news for a node and, if there is room, repeats those of the last report in case
// it was lost.
func (l *newsLog) take(now time.Duration, to fleet.NodeID) []news {
	told, limit := l.told[to], l.reportSize()
	end := min(l.index(told.number)+limit, len(l.entries))
	begin := max(end-limit, min(l.index(told.before), end))
	taken := l.entries[begin:end]
	next := toldNews{number: told.number, before: told.number, at: now}
	if len(taken) > 0 {
		next.number = max(taken[len(taken)-1].number, told.number)
	}
	l.told[to] = next
	return taken
}

// index returns the position of the first entry after a number.
func (l *newsLog) index(number uint64) int {
	position, _ := slices.BinarySearchFunc(l.entries, number+1, func(entry news, first uint64) int { return cmp.Compare(entry.number, first) })
	return position
}

// reportSize returns how many news a report may contain, so that a round of reports stays bounded.
func (l *newsLog) reportSize() int {
	return min(max(maxReportedPerRound/max(len(l.told), 1), minReportSize), maxReportSize)
}

// expire removes news that are over, and nodes that no longer exchange reports.
func (l *newsLog) expire(now time.Duration, isOver func(news) bool) {
	l.entries = slices.DeleteFunc(l.entries, isOver)
	for node, told := range l.told {
		if now > told.at+sharingPeriod {
			delete(l.told, node)
		}
	}
}

// backlog returns the number of news that some node hasn't been told.
func (l *newsLog) backlog() int {
	first := len(l.entries)
	for _, told := range l.told {
		first = min(first, l.index(told.number))
	}
	return len(l.entries) - first
}

// Report returns tickets that this node has given, the soonest due first, and the signatures of tickets
// that were used here, for another node. Each is reported in the order of time: a ticket's due time
// allows for those before it.
func (b *Book) Report(now time.Duration, to fleet.NodeID) ([]Ticket, []uint64) {
	b.expireNews(now)
	var tickets []Ticket
	for _, given := range b.given.take(now, to) {
		t := given.ticket
		tickets = append(tickets, Ticket{Signature: t.signature, Tenant: t.tenant, Priority: t.priority, Units: t.units, DueIn: t.due - now})
	}
	slices.SortFunc(tickets, func(x, y Ticket) int { return cmp.Compare(x.DueIn, y.DueIn) })
	var used []uint64
	for _, use := range b.uses.take(now, to) {
		used = append(used, use.ticket.signature)
	}
	return tickets, used
}

// knownBy returns when all nodes will know a further ticket. Before that it is kept at this node
// alone.
func (b *Book) knownBy(now time.Duration) time.Duration {
	reports := b.given.backlog() / b.given.reportSize()
	return now + minReturn + time.Duration(reports)*exchangePeriod
}

// expireNews removes what is no longer to be reported.
func (b *Book) expireNews(now time.Duration) {
	b.given.expire(now, func(given news) bool { return given.ticket.used || given.ticket.hasLapsed(now) })
	b.uses.expire(now, func(use news) bool { return now > use.at+maxUseAge })
}
