package history

import (
	"fmt"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
)

// checkStreamOrder checks that the tokens of every answer are numbered without gaps and chained to
// the prompt and each other, and that a regular end follows the complete output.
func checkStreamOrder(history *History, _ Limits) []Violation {
	var violations []Violation
	prompts := make(map[fleet.RequestID]Requested)
	tokens := make(map[fleet.RequestID][]string)
	violate := func(entry Entry, request fleet.RequestID, problem any) {
		message := fmt.Sprintf("answer to %s: %v", request, problem)
		violations = append(violations, Violation{Invariant: StreamOrder, At: entry.At, Message: message})
	}
	verify := func(entry Entry, request fleet.RequestID) {
		if err := enginemodel.VerifyOutput(string(prompts[request].Prompt), tokens[request]); err != nil {
			violate(entry, request, err)
		}
	}
	for _, entry := range history.Entries {
		switch event := entry.Event.(type) {
		case Requested:
			prompts[event.Request] = event
		case TokenDelivered:
			if event.Index != len(tokens[event.Request]) {
				violate(entry, event.Request, fmt.Sprintf("token %d was delivered at position %d", event.Index, len(tokens[event.Request])))
			}
			tokens[event.Request] = append(tokens[event.Request], event.Text)
		case Finished:
			verify(entry, event.Request)
			if got, expected := len(tokens[event.Request]), prompts[event.Request].MaxTokens; got != expected {
				violate(entry, event.Request, fmt.Sprintf("finished after %d of %d tokens", got, expected))
			}
		case Failed:
			verify(entry, event.Request)
		case RequestAborted:
			verify(entry, event.Request)
		}
	}
	return violations
}
