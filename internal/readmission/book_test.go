package readmission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

var testCapacity = Capacity{Rate: 1000, OwnFraction: 1, FreeAfter: 100 * time.Millisecond}

func newTestBook() *Book {
	book := NewBook()
	book.SetLimits(map[fleet.TenantName]float64{"a": 1000, "b": 1000})
	return book
}

func testRequest(signature uint64) Request {
	return Request{Signature: signature, Tenant: "a", Units: 100, TimeLeft: 6 * time.Second}
}

// offer refuses a request that is to get a ticket.
func offer(t *testing.T, book *Book, now time.Duration, request Request) time.Duration {
	offered := book.Offer(now, request, testCapacity)
	require.True(t, offered.Kept)
	return offered.RetryAfter
}

// TestEarlyReturnMovesTicket guards against early tries that make a second ticket or move the first.
func TestEarlyReturnMovesTicket(t *testing.T) {
	book := newTestBook()
	due := offer(t, book, 0, testRequest(1))
	for early := 10 * time.Millisecond; early < due-earlyTolerance; early += 10 * time.Millisecond {
		again := testRequest(1)
		again.TimeLeft -= early
		require.False(t, book.IsDue(early, testRequest(1)))
		require.Equal(t, Offer{RetryAfter: due - early, Kept: true}, book.Offer(early, again, testCapacity))
	}
	require.Equal(t, 1, book.Waiting())
	returning, holdBack := book.Claim(due/4, testRequest(1))
	require.False(t, returning)
	require.GreaterOrEqual(t, holdBack, 100.0, "an early caller leaves what is kept for itself")
	require.True(t, book.IsDue(due, testRequest(1)))
}

// TestEqualRequestsShareOneTicket guards against a ticket that serves two equal requests, and against
// equal requests of which one gets none.
func TestEqualRequestsShareOneTicket(t *testing.T) {
	book := newTestBook()
	offer(t, book, 0, testRequest(1))
	due := time.Second/10 + offer(t, book, time.Second/10, testRequest(1))
	require.Equal(t, 2, book.Waiting())
	book.Use(due, testRequest(1))
	require.Equal(t, 1, book.Waiting())
	require.True(t, book.IsDue(due, testRequest(1)))
	book.Use(due, testRequest(1))
	require.False(t, book.IsDue(due, testRequest(1)))
}

// TestPlainRequestsTakeEachOthersTickets guards against callers with equal requests that are taken for
// the one that was told to return.
func TestPlainRequestsTakeEachOthersTickets(t *testing.T) {
	giver, other := newTestBook(), newTestBook()
	request := testRequest(1)
	request.Shared = true
	due := offer(t, giver, 0, request)
	tickets, _ := giver.Report(0, "other")
	other.Observe(0, "giver", tickets, nil)
	offer(t, other, due/2, request)
	require.Equal(t, 2, other.Waiting(), "a newcomer elsewhere isn't the caller that comes early")
	for _, book := range []*Book{giver, other} {
		require.False(t, book.IsDue(due-1, request))
	}
	require.True(t, other.IsDue(due, request))
	request.TimeLeft -= due
	require.True(t, giver.IsDue(due-1, request), "the caller itself")
}

// TestNewcomersTakeUnitsOfTickets guards against units that aren't kept once a ticket is due, that are
// kept before for more urgent requests, or that are kept after it has lapsed.
func TestNewcomersTakeUnitsOfTickets(t *testing.T) {
	book := newTestBook()
	request := testRequest(1)
	request.Priority = 2
	due := offer(t, book, 0, request)
	assert.Equal(t, 100.0, book.HoldBack(due-holdAhead, "a", 2))
	assert.Zero(t, book.HoldBack(due-holdAhead, "a", 1))
	assert.Equal(t, 100.0, book.HoldBack(due, "a", 2))
	assert.Zero(t, book.HoldBack(due, "a", 0), "urgent newcomers don't wait for less urgent callers")
	assert.Zero(t, book.HoldBack(due, "b", 2))
	require.True(t, book.IsDue(due+grace, testRequest(1)))
	assert.False(t, book.IsDue(due+grace+1, testRequest(1)))
	assert.Zero(t, book.HoldBack(due+grace+1, "a", 2))
	assert.Equal(t, map[fleet.TenantName]int{"a": 1}, book.Expire(due+grace+1))
	assert.Empty(t, book.Expire(time.Minute))
	assert.Empty(t, book.queues, "state of a tenant without tickets")
}

// TestCallerIsToldATimeItCannotKeep guards against tickets due later than a third of the caller's time.
func TestCallerIsToldATimeItCannotKeep(t *testing.T) {
	book := newTestBook()
	late := Capacity{Rate: 1000, OwnFraction: 1, FreeAfter: 2*time.Second + 1}
	offered := book.Offer(0, testRequest(1), late)
	assert.False(t, offered.Kept)
	assert.GreaterOrEqual(t, offered.RetryAfter, 2*time.Second)
	assert.Zero(t, book.Waiting())
	assert.False(t, book.Offer(0, Request{Signature: 1, Tenant: "without", Units: 1}, testCapacity).Kept)
}

// TestTicketMakesTheAnswerLate guards against tickets that leave a run less than half of the time until
// its latency target, and against a caller without a ticket that isn't told the true time.
func TestTicketMakesTheAnswerLate(t *testing.T) {
	request := testRequest(1)
	request.TargetLeft = 800 * time.Millisecond
	capacity := testCapacity
	capacity.FreeAfter, capacity.RetryAfter = 500*time.Millisecond, 700*time.Millisecond
	require.Equal(t, Offer{RetryAfter: capacity.RetryAfter}, newTestBook().Offer(0, request, capacity))
	book := newTestBook()
	due := offer(t, book, 0, request)
	require.LessOrEqual(t, due, request.TargetLeft/2)
	request.TimeLeft -= due
	again := book.Offer(due, request, testCapacity)
	require.False(t, again.Kept && 2*(due+again.RetryAfter) > request.TargetLeft+due, "%v after %v", again, due)
}

// TestRemovedTenantLeavesItsUsedTickets guards against used tickets of a tenant whose limit was removed
// that count as held for ever.
func TestRemovedTenantLeavesItsUsedTickets(t *testing.T) {
	book := newTestBook()
	book.Use(offer(t, book, 0, testRequest(1)), testRequest(1))
	book.SetLimits(nil)
	require.Zero(t, book.held)
	require.Empty(t, book.tickets)
}

// TestPostponedCallerLosesItsTurn guards against a caller that returns in time, is refused and queues
// behind all others.
func TestPostponedCallerLosesItsTurn(t *testing.T) {
	book := newTestBook()
	due := offer(t, book, 0, testRequest(1))
	for signature := range uint64(10) {
		offer(t, book, 0, testRequest(signature+2))
	}
	again := testRequest(1)
	again.TimeLeft -= due
	require.Equal(t, minReturn, offer(t, book, due, again))
	require.False(t, book.IsDue(due, testRequest(1)), "the ticket was replaced")
}

// TestBoundsAreExceeded guards against tickets that grow with the requests.
func TestBoundsAreExceeded(t *testing.T) {
	book := newTestBook()
	for signature := range uint64(3 * maxTicketsPerTenant) {
		request := testRequest(signature)
		request.Units = 0.001
		book.Offer(0, request, testCapacity)
	}
	assert.Equal(t, maxTicketsPerTenant, book.Waiting())
	for number := range 2 * maxTicketsPerSignature {
		request := testRequest(1 << 40)
		request.Tenant, request.TimeLeft, request.Units = "b", time.Duration(number+1)*time.Second, 0.001
		book.Offer(0, request, testCapacity)
	}
	assert.LessOrEqual(t, book.Waiting(), maxTicketsPerTenant+maxTicketsPerSignature)
	tickets, used := book.Report(0, "x")
	assert.Len(t, tickets, maxReportSize)
	assert.Empty(t, used)
}

// TestChangedLimitKeepsAllTickets guards against tickets that a lower limit can't keep, that a change
// drops without need, or that outlive their tenant.
func TestChangedLimitKeepsAllTickets(t *testing.T) {
	book := newTestBook()
	for signature := range uint64(10) {
		offer(t, book, 0, testRequest(signature))
	}
	book.SetLimits(map[fleet.TenantName]float64{"a": 2000, "b": 1})
	assert.Equal(t, 10, book.Waiting())
	book.SetLimits(map[fleet.TenantName]float64{"a": 1000})
	assert.Equal(t, 5, book.Waiting())
	assert.Equal(t, 500.0, book.HoldBack(0, "a", 0)+sumAfter(book, holdAhead))
	book.SetLimits(nil)
	assert.Zero(t, book.Waiting())
	assert.Zero(t, book.HoldBack(0, "a", 0))
	assert.Equal(t, uint64(10), book.Counts().Dropped)
}

// sumAfter returns the units of tickets that are due after a time.
func sumAfter(book *Book, after time.Duration) float64 {
	units := 0.0
	for _, ticket := range book.queues["a"].tickets {
		if ticket.due > after && !ticket.used {
			units += ticket.units
		}
	}
	return units
}

// TestTicketOfAnotherNodeIsUnknown guards against tickets that are kept at one node alone, used at
// several, received twice, or brought back by a late report.
func TestTicketOfAnotherNodeIsUnknown(t *testing.T) {
	giver, other := newTestBook(), newTestBook()
	due := offer(t, giver, 0, testRequest(1))
	tickets, _ := giver.Report(0, "other")
	for range 3 {
		require.Zero(t, other.Observe(0, "giver", tickets, nil))
	}
	require.Equal(t, 1, other.Waiting())
	require.True(t, other.Use(due, testRequest(1)))
	_, used := other.Report(due, "giver")
	for range 3 {
		giver.Observe(due, "other", nil, used)
	}
	require.Zero(t, giver.Waiting())
	tickets[0].DueIn = 0
	other.Observe(due, "giver", tickets, nil)
	require.False(t, other.IsDue(due, testRequest(1)))
}

// TestSecondUseIsTakenForTheFirst guards against a second use of equal requests' tickets that other nodes
// take for the first one, told again.
func TestSecondUseIsTakenForTheFirst(t *testing.T) {
	giver, other := newTestBook(), newTestBook()
	offer(t, giver, 0, testRequest(1))
	due := time.Second/10 + offer(t, giver, time.Second/10, testRequest(1))
	tickets, _ := giver.Report(due, "other")
	other.Observe(due, "giver", tickets, nil)
	require.Equal(t, 2, other.Waiting())
	for left := 1; left >= 0; left-- {
		require.True(t, giver.Use(due, testRequest(1)))
		for range 3 {
			_, used := giver.Report(due, "other")
			other.Observe(due, "giver", nil, used)
			require.Equal(t, left, other.Waiting())
		}
	}
}

// TestInvalidTicketIsTaken guards against reports that hold what no node gives, or more than a report
// may.
func TestInvalidTicketIsTaken(t *testing.T) {
	book := newTestBook()
	valid := Ticket{Signature: 1, Tenant: "a", Units: 1, DueIn: time.Second}
	for _, change := range []func(*Ticket){
		func(ticket *Ticket) { ticket.Units = 0 },
		func(ticket *Ticket) { ticket.Tenant = "unknown" },
		func(ticket *Ticket) { ticket.Priority = PriorityCount },
		func(ticket *Ticket) { ticket.DueIn = maxReturn + 1 },
		func(ticket *Ticket) { ticket.DueIn = -grace - 1 },
	} {
		invalid := valid
		change(&invalid)
		assert.Equal(t, 1, book.Observe(0, "x", []Ticket{invalid}, nil), fmt.Sprint(invalid))
	}
	assert.Equal(t, 1, book.Observe(0, "x", slices.Repeat([]Ticket{valid}, maxReportSize+1), nil))
	assert.Equal(t, maxReportSize, book.Waiting())
	assert.Equal(t, uint64(6), book.Counts().Dropped)
}

// BenchmarkOffer measures the decisions on one refused request while 430 tenants have tickets.
func BenchmarkOffer(b *testing.B) {
	book, rates := NewBook(), make(map[fleet.TenantName]float64)
	tenants := make([]fleet.TenantName, 430)
	for index := range tenants {
		tenants[index] = fleet.TenantName(fmt.Sprint("tenant-", index))
		rates[tenants[index]] = 1000
	}
	book.SetLimits(rates)
	times := make([]time.Duration, 0, b.N)
	now := time.Duration(0)
	b.ReportAllocs()
	for index := 0; b.Loop(); index++ {
		now += 100 * time.Microsecond
		request := testRequest(uint64(index) * 0x9e3779b97f4a7c15)
		request.Tenant = tenants[index%len(tenants)]
		if index%1000 == 0 {
			book.Expire(now)
		}
		start := time.Now()
		book.Claim(now, request)
		book.Offer(now, request, testCapacity)
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)*99/100].Nanoseconds()), "p99-ns")
}
