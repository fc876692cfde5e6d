package gateway

import (
	"encoding/binary"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/quota"
	"github.com/tillerfall/tillerfall/internal/readmission"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// returnTickets wraps the book of return tickets for concurrent use.
type returnTickets struct {
	mutex sync.Mutex
	book  *readmission.Book
}

func newReturnTickets() *returnTickets { return &returnTickets{book: readmission.NewBook()} }

func (t *returnTickets) setLimits(limits map[fleet.TenantName]quota.Limit) {
	rates := make(map[fleet.TenantName]float64, len(limits))
	for tenant, limit := range limits {
		rates[tenant] = limit.Rate
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.book.SetLimits(rates)
}

// claim returns whether a request returns when it was told, and otherwise the units that it has to
// leave for those that do.
func (t *returnTickets) claim(now time.Duration, request readmission.Request) (returning bool, holdBack float64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.book.Claim(now, request)
}

func (t *returnTickets) use(now time.Duration, request readmission.Request) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.book.Use(now, request)
}

func (t *returnTickets) offer(now time.Duration, request readmission.Request, capacity readmission.Capacity) readmission.Offer {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.book.Offer(now, request, capacity)
}

func (t *returnTickets) expire(now time.Duration) map[fleet.TenantName]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.book.Expire(now)
}

func (t *returnTickets) counts() (counts readmission.Counts, waiting int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.book.Counts(), t.book.Waiting()
}

// writeReport adds the tickets that another gateway is to know to a report.
func (t *returnTickets) writeReport(now time.Duration, report *rpc.LoadReport, to fleet.NodeID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	tickets, used := t.book.Report(now, to)
	for _, ticket := range tickets {
		report.ReturnTickets = append(report.ReturnTickets, &rpc.ReturnTicket{
			Request: ticket.Signature, Tenant: string(ticket.Tenant), DueMillis: int32(ticket.DueIn.Milliseconds()),
			Units: uint32(min(math.Ceil(ticket.Units), math.MaxUint32)), Priority: uint32(ticket.Priority),
		})
	}
	report.UsedTickets = used
}

// applyReport records another gateway's tickets. The book leaves out and counts those that are
// invalid.
func (t *returnTickets) applyReport(now time.Duration, report *rpc.LoadReport) {
	tickets := make([]readmission.Ticket, 0, len(report.GetReturnTickets()))
	for _, ticket := range report.GetReturnTickets() {
		tickets = append(tickets, readmission.Ticket{
			Signature: ticket.GetRequest(), Tenant: fleet.TenantName(ticket.GetTenant()), Priority: int(ticket.GetPriority()),
			Units: float64(ticket.GetUnits()), DueIn: time.Duration(ticket.GetDueMillis()) * time.Millisecond,
		})
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.book.Observe(now, fleet.NodeID(report.GetNode()), tickets, report.GetUsedTickets())
}

// admitReturning decides on a request by its tenant's quota and the tickets of those who were told to
// return. If the request isn't admitted, it returns when its caller is to return.
func (g *Gateway) admitReturning(current *callerRequest, limited quota.Request) (quota.Decision, readmission.Offer) {
	now, request := g.now(), g.readmissionRequest(current, &limited)
	limited.Returning, limited.HoldBack = g.quotas.tickets.claim(now, request)
	decision := g.quotas.admit(now, limited)
	if !decision.Admitted {
		return decision, g.offerReturn(now, request, decision)
	}
	if (limited.Returning || decision.NearLimit) && g.quotas.tickets.use(now, request) {
		g.events.line("return_admitted").Str("request_id", current.metadata.RequestID).Str("tenant", string(request.Tenant)).
			Float64("cost", request.Units).Float64("available", decision.Available).Msg("return_admitted")
	}
	return decision, readmission.Offer{}
}

// offerReturn returns when a refused caller is to return. While this gateway is joining it doesn't
// know its part of the limit, so it makes no tickets.
func (g *Gateway) offerReturn(now time.Duration, request readmission.Request, decision quota.Decision) readmission.Offer {
	own := g.quotas.ownFraction(now)
	if decision.FreeRate <= 0 || own <= 0 {
		return readmission.Offer{RetryAfter: decision.RetryAfter}
	}
	return g.quotas.tickets.offer(now, request, readmission.Capacity{
		Rate: decision.FreeRate, OwnFraction: own, FreeAfter: decision.FreeAfter, RetryAfter: decision.RetryAfter,
	})
}

// reportLapses logs the tickets whose callers haven't returned.
func (g *Gateway) reportLapses() {
	for tenant, count := range g.quotas.tickets.expire(g.now()) {
		g.events.line("return_tickets_lapsed").Str("tenant", string(tenant)).Int("count", count).Msg("return_tickets_lapsed")
	}
}

// readmissionRequest describes a request of a tenant with a quota.
func (g *Gateway) readmissionRequest(current *callerRequest, limited *quota.Request) readmission.Request {
	request := readmission.Request{
		Signature: requestSignature(current), Tenant: limited.Tenant, Priority: limited.Priority, Units: limited.Amount,
		Shared: len(current.metadata.Parts) == 0, TimeLeft: current.metadata.TimeLeft,
	}
	if current.route != nil {
		request.TargetLeft = g.latencyTargetLeft(current)
	}
	return request
}

// requestSignature returns a hash by which a request is recognized when it is tried again. Each try
// has another request identifier. The tenant is part of it, so that no tenant can use another's
// ticket.
func requestSignature(current *callerRequest) uint64 {
	hash := xxhash.New()
	writeText := func(text string) {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(text)))
		_, _ = hash.Write(length[:])
		_, _ = hash.WriteString(text)
	}
	writeNumber := func(number int64) {
		var encoded [8]byte
		binary.LittleEndian.PutUint64(encoded[:], uint64(number))
		_, _ = hash.Write(encoded[:])
	}
	metadata := &current.metadata
	writeText(string(current.tenant.Name))
	writeText(metadata.Key)
	writeText(current.request.Method)
	writeText(current.request.Host)
	writeText(current.request.RequestURI)
	writeNumber(current.request.ContentLength)
	writeText(string(metadata.Model))
	writeNumber(int64(metadata.PromptTokens))
	writeNumber(int64(metadata.OutputTokens))
	for _, part := range metadata.Parts {
		writeText(part.ID)
		writeNumber(int64(part.Tokens))
	}
	return hash.Sum64()
}
