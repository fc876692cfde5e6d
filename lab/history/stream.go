package history

import (
	"fmt"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
)

// checkStreamOrder checks that the tokens of every answer are numbered without
// a gap and chained to their prompt and each other, and that a regular end
// comes after the whole output.
func checkStreamOrder(history *History, _ Limits) []Violation {
	var violations []Violation
	prompts := make(map[fleet.RequestID]Requested)
	tokens := make(map[fleet.RequestID][]string)
	breach := func(entry Entry, request fleet.RequestID, problem any) {
		message := fmt.Sprintf("answer %s: %v", request, problem)
		violations = append(violations, Violation{Invariant: StreamOrder, At: entry.At, Message: message})
	}
	verify := func(entry Entry, request fleet.RequestID) {
		if err := enginemodel.VerifyOutput(string(prompts[request].Prompt), tokens[request]); err != nil {
			breach(entry, request, err)
		}
	}
	for _, entry := range history.Entries {
		switch event := entry.Event.(type) {
		case Requested:
			prompts[event.Request] = event
		case TokenDelivered:
			if event.Index != len(tokens[event.Request]) {
				breach(entry, event.Request, fmt.Sprintf("token %d came as number %d", event.Index, len(tokens[event.Request])))
			}
			tokens[event.Request] = append(tokens[event.Request], event.Text)
		case Finished:
			verify(entry, event.Request)
			if got, whole := len(tokens[event.Request]), prompts[event.Request].MaxTokens; got != whole {
				breach(entry, event.Request, fmt.Sprintf("ended well after %d of %d tokens", got, whole))
			}
		case Failed:
			verify(entry, event.Request)
		case RequestAborted:
			verify(entry, event.Request)
		}
	}
	return violations
}
