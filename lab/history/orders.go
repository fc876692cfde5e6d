package history

import (
	"fmt"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// checkFencedOrders checks that the tokens of orders never fall: not in the
// order in which routers send them, since one that sends a lower token has lost
// its lease, and not at any run of an engine.
func checkFencedOrders(history *History, _ Limits) []Violation {
	var violations []Violation
	breach := func(entry Entry, format string, arguments ...any) {
		violations = append(violations, Violation{Invariant: FencedOrders, At: entry.At, Message: fmt.Sprintf(format, arguments...)})
	}
	var highest fleet.FencingToken
	holders := make(map[fleet.FencingToken]fleet.NodeID)
	obeyed := make(map[fleet.EngineRun]fleet.FencingToken)
	for _, entry := range history.Entries {
		switch event := entry.Event.(type) {
		case OrderSent:
			if event.Token < highest {
				breach(entry, "router %s ordered with token %d after %d was used", event.Router, event.Token, highest)
			}
			highest = max(highest, event.Token)
			if holder, known := holders[event.Token]; known && holder != event.Router {
				breach(entry, "routers %s and %s both used token %d", holder, event.Router, event.Token)
			}
			holders[event.Token] = event.Router
		case OrderExecuted:
			if event.Token < obeyed[event.Run] {
				breach(entry, "%v obeyed token %d after %d", event.Run, event.Token, obeyed[event.Run])
			}
			obeyed[event.Run] = event.Token
		}
	}
	return violations
}
