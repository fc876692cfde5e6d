package history

import (
	"fmt"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// checkFencedOrders checks that fencing tokens never decrease, neither in the order in which
// routers send orders nor at any engine run, and that no two routers use the same token. A router
// that sends a lower token has lost its lease.
func checkFencedOrders(history *History, _ Limits) []Violation {
	var violations []Violation
	violate := func(entry Entry, format string, arguments ...any) {
		violations = append(violations, Violation{Invariant: FencedOrders, At: entry.At, Message: fmt.Sprintf(format, arguments...)})
	}
	var highest fleet.FencingToken
	holders := make(map[fleet.FencingToken]fleet.NodeID)
	executed := make(map[fleet.EngineRun]fleet.FencingToken)
	for _, entry := range history.Entries {
		switch event := entry.Event.(type) {
		case OrderSent:
			if event.Token < highest {
				violate(entry, "router %s sent an order with token %d after token %d was used", event.Router, event.Token, highest)
			}
			highest = max(highest, event.Token)
			if holder, known := holders[event.Token]; known && holder != event.Router {
				violate(entry, "routers %s and %s both used token %d", holder, event.Router, event.Token)
			}
			holders[event.Token] = event.Router
		case OrderExecuted:
			if event.Token < executed[event.Run] {
				violate(entry, "%v executed an order with token %d after token %d", event.Run, event.Token, executed[event.Run])
			}
			executed[event.Run] = event.Token
		}
	}
	return violations
}
