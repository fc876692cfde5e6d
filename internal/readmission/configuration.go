package readmission

import (
	"maps"
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// SetLimits replaces the rates of all tenants, in units per second. The tickets of a tenant that is
// missing are dropped. Of a tenant whose rate is lower, as many are kept as the new rate allows until
// each is due: callers can't be told another time, so a ticket that moved would not be kept either.
func (b *Book) SetLimits(rates map[fleet.TenantName]float64) {
	for tenant := range b.queues {
		before, after := b.rates[tenant], rates[tenant]
		switch {
		case after <= 0:
			b.Forget(tenant)
		case after < before:
			b.reduce(tenant, after/before)
		}
	}
	b.rates = maps.Clone(rates)
}

// Forget drops all tickets of a tenant.
func (b *Book) Forget(tenant fleet.TenantName) {
	b.reduce(tenant, 0)
	if queue := b.queues[tenant]; queue != nil {
		for _, used := range queue.tickets {
			b.unlink(used)
		}
	}
	delete(b.queues, tenant)
	delete(b.lapses, tenant)
}

// reduce keeps a fraction of the units of a tenant's tickets, evenly over their due times.
func (b *Book) reduce(tenant fleet.TenantName, fraction float64) {
	queue := b.queues[tenant]
	if queue == nil {
		return
	}
	total, kept := 0.0, 0.0
	queue.tickets = slices.DeleteFunc(queue.tickets, func(ticket *ticket) bool {
		if ticket.used {
			return false
		}
		total += ticket.units
		if kept+ticket.units <= total*fraction {
			kept += ticket.units
			return false
		}
		b.counts.Dropped++
		b.unlink(ticket)
		return true
	})
}
