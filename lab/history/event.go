package history

import (
	"fmt"
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// PromptText is a prompt. A timeline shows only its length.
type PromptText string

// String returns the prompt's length in bytes.
func (p PromptText) String() string { return fmt.Sprintf("%dB", len(p)) }

// Requested is recorded when a caller sends a request to an agent.
type Requested struct {
	Request    fleet.RequestID
	Agent      fleet.NodeID
	Tenant     fleet.TenantName
	Class      fleet.ClassName
	Prompt     PromptText
	MaxTokens  int
	Repeatable bool
	// Deadline is the virtual time by which the request must be answered.
	Deadline time.Duration
}

// Resolved is recorded when an agent chooses the model version of a request.
type Resolved struct {
	Request  fleet.RequestID
	Version  fleet.ModelVersion
	Revision fleet.Revision
}

// Granted is recorded when an agent receives a router's grant.
type Granted struct {
	Request fleet.RequestID
	Attempt fleet.Attempt
	Router  fleet.NodeID
	Run     fleet.EngineRun
	// ExpectedCachedBlocks is the number of prefix blocks that the router expects to be cached;
	// NeverCachedBlocks counts those of them that the run never stored.
	ExpectedCachedBlocks int
	NeverCachedBlocks    int
}

// TokenDelivered is recorded when a caller receives a token. Stream is its origin.
type TokenDelivered struct {
	Request fleet.RequestID
	Stream  fleet.StreamID
	Index   int
	Text    string
}

// Finished is recorded when a caller receives the regular end of its answer.
type Finished struct {
	Request fleet.RequestID
	Tokens  int
	Reason  string
}

// Failed is recorded when a caller receives an error, possibly after some tokens.
type Failed struct {
	Request fleet.RequestID
	Code    resultcode.Code
	NotRun  bool
	Reason  string
}

// RequestAborted is recorded when a request ends without an answer because its caller or its agent
// is gone.
type RequestAborted struct {
	Request fleet.RequestID
	// CallerLeft is set when the caller disconnected by itself.
	CallerLeft bool
	Reason     string
}

// Accepted is recorded when an engine accepts a dispatch.
type Accepted struct {
	Request fleet.RequestID
	Stream  fleet.StreamID
	// Run is the accepting run, Granted the run named in the grant.
	Run     fleet.EngineRun
	Granted fleet.EngineRun
}

// Executed is recorded when an engine starts computing a stream.
type Executed struct {
	Request fleet.RequestID
	Stream  fleet.StreamID
	Run     fleet.EngineRun
	Tenant  fleet.TenantName
	Version fleet.ModelVersion
	// CachedBlocks counts the blocks taken from the cache, ForeignBlocks those of them that were
	// computed for another scope.
	CachedBlocks  int
	ForeignBlocks int
}

// OrderSent is recorded when a router sends a fenced order.
type OrderSent struct {
	Router fleet.NodeID
	Engine fleet.EngineID
	Token  fleet.FencingToken
	Kind   engine.OrderKind
}

// OrderExecuted is recorded when an engine executes an order.
type OrderExecuted struct {
	Run     fleet.EngineRun
	Token   fleet.FencingToken
	Kind    engine.OrderKind
	Weights engine.ModelVersion
}

// ConfigurationApplied is recorded when a node applies a configuration.
type ConfigurationApplied struct {
	Node     fleet.NodeID
	Revision fleet.Revision
	// Digest is a hash of the document.
	Digest uint64
}

// Committed is recorded when the table service commits a configuration.
type Committed struct {
	Revision fleet.Revision
	Digest   uint64
}

// EngineStarted is recorded when a run of an engine starts.
type EngineStarted struct{ Run fleet.EngineRun }

// EngineKilled is recorded when a run of an engine ends.
type EngineKilled struct{ Run fleet.EngineRun }

// EngineLeaving is recorded when the system can detect that an engine run is leaving.
type EngineLeaving struct {
	Run fleet.EngineRun
	// Source names what indicates it: the engine, the list of machines or an operator.
	Source string
}

// EngineAdmitted is recorded when an operator withdraws the drain or retirement of an engine run.
type EngineAdmitted struct{ Run fleet.EngineRun }

// NodeKind distinguishes agents and routers.
type NodeKind string

// Kinds of nodes.
const (
	AgentNode  NodeKind = "agent"
	RouterNode NodeKind = "router"
)

// NodeStarted is recorded when a run of an agent or router starts. ConfigurationAvailable is set if
// a live node has a configuration that this one can obtain.
type NodeStarted struct {
	Node                   fleet.NodeID
	Kind                   NodeKind
	ConfigurationAvailable bool
}

// NodeKilled is recorded when a node is killed without warning.
type NodeKilled struct{ Node fleet.NodeID }

// NodeStopping is recorded when a planned stop begins.
type NodeStopping struct{ Node fleet.NodeID }

// NodeStopped is recorded when a planned stop ends.
type NodeStopped struct{ Node fleet.NodeID }

// RouterServed is recorded when a router places its first request.
type RouterServed struct{ Node fleet.NodeID }

// FaultBegan is recorded when a fault is injected.
type FaultBegan struct {
	Fault  int
	Kind   string
	Target string
}

// FaultEnded is recorded when a fault ends.
type FaultEnded struct {
	Fault int
	Kind  string
}

// CommandInvoked is recorded when an operator sends a command.
type CommandInvoked struct {
	Call     int
	Operator int
	Router   fleet.NodeID
	// Token identifies the command across retries.
	Token     string
	Expected  fleet.Revision
	Statement string
}

// CommandReturned is recorded when an operator receives the result of a command or its call fails.
type CommandReturned struct {
	Call     int
	Code     resultcode.Code
	Revision fleet.Revision
	// Definite is set if Code and Revision are the recorded outcome.
	Definite bool
	// NoEffect is set if the call certainly changed nothing.
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
