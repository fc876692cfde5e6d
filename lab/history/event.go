package history

import (
	"fmt"
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// PromptText is a prompt; a timeline shows its length alone.
type PromptText string

// String returns the prompt's length.
func (p PromptText) String() string { return fmt.Sprintf("%dB", len(p)) }

// Requested means that a caller sent a request to an agent.
type Requested struct {
	Request    fleet.RequestID
	Agent      fleet.NodeID
	Tenant     fleet.TenantName
	Class      fleet.ClassName
	Prompt     PromptText
	MaxTokens  int
	Repeatable bool
	// Deadline is the virtual time at which the answer is of no use any more.
	Deadline time.Duration
}

// Resolved means that an agent chose the weights of a request.
type Resolved struct {
	Request  fleet.RequestID
	Version  fleet.ModelVersion
	Revision fleet.Revision
}

// Granted means that an agent took a router's grant.
type Granted struct {
	Request fleet.RequestID
	Attempt fleet.Attempt
	Router  fleet.NodeID
	Run     fleet.EngineRun
	// ExpectedCachedBlocks is the prefix that the router believes to be cached;
	// UnfoundedBlocks counts those of it that the run never held.
	ExpectedCachedBlocks int
	NeverCachedBlocks    int
}

// TokenDelivered means that a caller got a token. Stream is where it came from.
type TokenDelivered struct {
	Request fleet.RequestID
	Stream  fleet.StreamID
	Index   int
	Text    string
}

// Finished means that a caller saw the regular end of its answer.
type Finished struct {
	Request fleet.RequestID
	Tokens  int
	Reason  string
}

// Failed means that a caller got an error, after any tokens.
type Failed struct {
	Request fleet.RequestID
	Code    resultcode.Code
	NotRun  bool
	Reason  string
}

// RequestAborted means that a request ended without an answer, because its caller
// or the agent beside it was gone.
type RequestAborted struct {
	Request fleet.RequestID
	// CallerLeft is set when the caller went away by itself.
	CallerLeft bool
	Reason     string
}

// Accepted means that an engine accepted a dispatch made under a grant.
type Accepted struct {
	Request fleet.RequestID
	Stream  fleet.StreamID
	// Run accepted it; Granted is the run that the grant named.
	Run     fleet.EngineRun
	Granted fleet.EngineRun
}

// Executed means that an engine began to compute a stream.
type Executed struct {
	Request fleet.RequestID
	Stream  fleet.StreamID
	Run     fleet.EngineRun
	Tenant  fleet.TenantName
	Version fleet.ModelVersion
	// CachedBlocks were taken from the cache; ForeignBlocks are those of them
	// that were computed for another scope.
	CachedBlocks  int
	ForeignBlocks int
}

// OrderSent means that a router sent a fenced order.
type OrderSent struct {
	Router fleet.NodeID
	Engine fleet.EngineID
	Token  fleet.FencingToken
	Kind   engine.OrderKind
}

// OrderExecuted means that an engine carried an order out.
type OrderExecuted struct {
	Run     fleet.EngineRun
	Token   fleet.FencingToken
	Kind    engine.OrderKind
	Weights engine.Weights
}

// ConfigurationApplied means that a node began to work by a configuration.
type ConfigurationApplied struct {
	Node     fleet.NodeID
	Revision fleet.Revision
	// Digest covers the document.
	Digest uint64
}

// Committed means that the table service took a configuration.
type Committed struct {
	Revision fleet.Revision
	Digest   uint64
}

// EngineStarted means that a run of an engine began.
type EngineStarted struct{ Run fleet.EngineRun }

// EngineKilled means that a run of an engine ended.
type EngineKilled struct{ Run fleet.EngineRun }

// EngineLeaving means that the system could know from now on that a run leaves.
type EngineLeaving struct {
	Run    fleet.EngineRun
	Source string
}

// EngineAdmitted means that an operator has taken back that a run leaves.
type EngineAdmitted struct{ Run fleet.EngineRun }

// NodeKind tells an agent from a router.
type NodeKind string

// Kinds of nodes.
const (
	AgentNode  NodeKind = "agent"
	RouterNode NodeKind = "router"
)

// NodeStarted means that a run of an agent or router began. Informed tells
// that a live node has a configuration that this one can learn.
type NodeStarted struct {
	Node                   fleet.NodeID
	Kind                   NodeKind
	ConfigurationAvailable bool
}

// NodeKilled means that a node ended without warning.
type NodeKilled struct{ Node fleet.NodeID }

// NodeStopping means that a planned stop began.
type NodeStopping struct{ Node fleet.NodeID }

// NodeStopped means that a planned stop ended.
type NodeStopped struct{ Node fleet.NodeID }

// RouterServed means that a router placed its first request.
type RouterServed struct{ Node fleet.NodeID }

// FaultBegan means that a fault was injected.
type FaultBegan struct {
	Fault  int
	Kind   string
	Target string
}

// FaultEnded means that a fault is over.
type FaultEnded struct {
	Fault int
	Kind  string
}

// CommandInvoked means that an operator sent a command.
type CommandInvoked struct {
	Call     int
	Operator int
	Router   fleet.NodeID
	// Token identifies the command, also across calls.
	Token     string
	Expected  fleet.Revision
	Statement string
}

// CommandReturned means that an operator got a command's result.
type CommandReturned struct {
	Call     int
	Code     resultcode.Code
	Revision fleet.Revision
	// Definite tells that Code and Revision are the recorded outcome.
	Definite bool
	// NoEffect tells that the call certainly changed nothing.
	NoEffect bool
}

func (Requested) event()            {}
func (Resolved) event()             {}
func (Granted) event()              {}
func (TokenDelivered) event()       {}
func (Finished) event()             {}
func (Failed) event()               {}
func (RequestAborted) event()       {}
func (Accepted) event()             {}
func (Executed) event()             {}
func (OrderSent) event()            {}
func (OrderExecuted) event()        {}
func (ConfigurationApplied) event() {}
func (Committed) event()            {}
func (EngineStarted) event()        {}
func (EngineKilled) event()         {}
func (EngineLeaving) event()        {}
func (EngineAdmitted) event()       {}
func (NodeStarted) event()          {}
func (NodeKilled) event()           {}
func (NodeStopping) event()         {}
func (NodeStopped) event()          {}
func (RouterServed) event()         {}
func (FaultBegan) event()           {}
func (FaultEnded) event()           {}
func (CommandInvoked) event()       {}
func (CommandReturned) event()      {}
