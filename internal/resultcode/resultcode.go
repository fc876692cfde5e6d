// Package resultcode defines the numbered results. A code never changes its meaning. A test
// compares docs/RESULT-CODES.md with the table.
package resultcode

import "net/http"

// Code is a numbered result. 0 is success; the thousands are the family: 1 error of the caller, 2
// refused and not run, 3 failed after it may have run, 4 operator's command, 5 configuration and
// settings, 9 internal.
type Code uint32

// Result codes.
const (
	OK Code = 0

	MissingKey       Code = 1001
	WrongKey         Code = 1002
	MalformedBody    Code = 1003
	BodyTooLarge     Code = 1004
	UnknownModel     Code = 1005
	ModelNotAllowed  Code = 1006
	ClassNotAllowed  Code = 1007
	InvalidParameter Code = 1008
	PromptTooLong    Code = 1009
	UnknownPath      Code = 1010
	HeaderInvalid    Code = 1011
	BodyTimeout      Code = 1012

	TenantConcurrency Code = 2001
	TenantQueueFull   Code = 2002
	QueueTimeout      Code = 2003
	DeadlineTooShort  Code = 2004
	NoEngine          Code = 2005
	NoRouter          Code = 2006
	Stopping          Code = 2007
	NoConfiguration   Code = 2008
	RetryBudget       Code = 2009
	Overloaded        Code = 2010
	StaleWeights      Code = 2011
	QuotaExceeded     Code = 2012
	NodeFull          Code = 2013
	Quarantined       Code = 2014
	OriginUnknown     Code = 2015

	OutcomeUnknown    Code = 3001
	StreamInterrupted Code = 3002
	DeadlineExceeded  Code = 3003
	EngineFailed      Code = 3004
	DuplicateRequest  Code = 3005

	StatementSyntax   Code = 4001
	StatementUnknown  Code = 4002
	RevisionConflict  Code = 4003
	TargetNotFound    Code = 4004
	CommandUncertain  Code = 4005
	CommandImpossible Code = 4006

	ConfigInvalid       Code = 5001
	SettingsInvalid     Code = 5002
	PlatformUnavailable Code = 5003
	DeliveryInvalid     Code = 5004

	Internal Code = 9001
)

// Entry describes a code.
type Entry struct {
	Code Code
	// Name is the stable identifier in logs and responses.
	Name string
	// Status is the HTTP status of the response.
	Status int
	// NotRun is true if a request with this result has certainly not run.
	NotRun bool
	// Meaning describes the result and the action to take.
	Meaning string
}

// Table lists every code in ascending order.
var Table = []Entry{
	{OK, "ok", http.StatusOK, false, "Done."},
	{MissingKey, "missing_key", http.StatusUnauthorized, true, "No API key was sent. Send Authorization: Bearer KEY."},
	{WrongKey, "wrong_key", http.StatusUnauthorized, true, "The API key belongs to no tenant."},
	{MalformedBody, "malformed_body", http.StatusBadRequest, true, "The body isn't valid JSON of the documented shape."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, true, "The body is over the agent's limit."},
	{UnknownModel, "unknown_model", http.StatusNotFound, true, "No such model or adapter, or none of its versions is serving."},
	{ModelNotAllowed, "model_not_allowed", http.StatusForbidden, true, "The tenant may not use this model."},
	{ClassNotAllowed, "class_not_allowed", http.StatusForbidden, true, "The tenant may not use this priority class."},
	{InvalidParameter, "invalid_parameter", http.StatusBadRequest, true, "A field has a value outside its range; the message names it."},
	{PromptTooLong, "prompt_too_long", http.StatusBadRequest, true, "The prompt is over the model's limit."},
	{UnknownPath, "unknown_path", http.StatusNotFound, true, "No such path or method."},
	{HeaderInvalid, "header_invalid", http.StatusBadRequest, true, "A Tillerfall header has a value that can't be read."},
	{BodyTimeout, "body_timeout", http.StatusRequestTimeout, true, "The body did not come whole in time."},
	{TenantConcurrency, "tenant_concurrency", http.StatusTooManyRequests, true, "The tenant has too many unfinished requests at this agent."},
	{TenantQueueFull, "tenant_queue_full", http.StatusTooManyRequests, true, "The tenant has too many waiting requests."},
	{QueueTimeout, "queue_timeout", http.StatusServiceUnavailable, true, "No engine became free within the class's limit."},
	{DeadlineTooShort, "deadline_too_short", http.StatusServiceUnavailable, true, "The predicted wait is over the request's deadline."},
	{NoEngine, "no_engine", http.StatusServiceUnavailable, true, "No engine serves the model at present."},
	{NoRouter, "no_router", http.StatusServiceUnavailable, true, "No router could be reached."},
	{Stopping, "stopping", http.StatusServiceUnavailable, true, "The agent is stopping."},
	{NoConfiguration, "no_configuration", http.StatusServiceUnavailable, true, "No configuration is known yet."},
	{RetryBudget, "retry_budget", http.StatusServiceUnavailable, true, "The retry budget is spent; the request did not run."},
	{Overloaded, "overloaded", http.StatusServiceUnavailable, true, "The fleet is full; come back after Retry-After."},
	{StaleWeights, "stale_weights", http.StatusServiceUnavailable, true, "The version was retired while the request waited."},
	{QuotaExceeded, "quota_exceeded", http.StatusTooManyRequests, true, "The tenant has used its quota; come back after Retry-After."},
	{NodeFull, "node_full", http.StatusServiceUnavailable, true, "The node is short of memory or descriptors; come back, to another one."},
	{Quarantined, "request_quarantined", http.StatusServiceUnavailable, true, "Workers ended each time that they ran this request, or requests with a part of its prompt; it is kept from them until Retry-After. Change it, or ask the operator."},
	{OriginUnknown, "origin_unknown", http.StatusServiceUnavailable, true, "The stream can't be resumed: it isn't known at which software version it began. Begin it anew."},
	{OutcomeUnknown, "outcome_unknown", http.StatusBadGateway, false, "The request may have run; it isn't repeatable and its engine can't be asked."},
	{StreamInterrupted, "stream_interrupted", http.StatusBadGateway, false, "The stream broke and could not be continued; it is incomplete."},
	{DeadlineExceeded, "deadline_exceeded", http.StatusGatewayTimeout, false, "The deadline passed while the request ran."},
	{EngineFailed, "engine_failed", http.StatusBadGateway, false, "The engine gave the request up."},
	{DuplicateRequest, "duplicate_request", http.StatusConflict, false, "A request with this idempotency key is running or has run."},
	{StatementSyntax, "statement_syntax", http.StatusBadRequest, true, "The statement can't be parsed; the column is given."},
	{StatementUnknown, "statement_unknown", http.StatusBadRequest, true, "The statement names no known query or command."},
	{RevisionConflict, "revision_conflict", http.StatusConflict, true, "The configuration has changed since the expected revision."},
	{TargetNotFound, "target_not_found", http.StatusNotFound, true, "The statement's target doesn't exist."},
	{CommandUncertain, "command_uncertain", http.StatusBadGateway, false, "The command may have taken effect; look its token up."},
	{CommandImpossible, "command_impossible", http.StatusConflict, true, "The command can't be done in the present state."},
	{ConfigInvalid, "config_invalid", http.StatusBadRequest, true, "The configuration has errors; each is listed."},
	{SettingsInvalid, "settings_invalid", http.StatusBadRequest, true, "The settings file or a flag has errors; each is listed."},
	{PlatformUnavailable, "platform_unavailable", http.StatusServiceUnavailable, true, "The platform can't be reached; nothing was changed."},
	{DeliveryInvalid, "delivery_invalid", http.StatusBadRequest, true, "An order to deliver a service's version can't be used; the former state holds."},
	{Internal, "internal", http.StatusInternalServerError, false, "A fault of the system itself; report the request id."},
}

var byCode = indexTable()

func indexTable() map[Code]Entry {
	index := make(map[Code]Entry, len(Table))
	for _, entry := range Table {
		index[entry.Code] = entry
	}
	return index
}

// Lookup returns the entry of a code, or that of Internal for an unknown code.
func Lookup(code Code) Entry {
	if entry, found := byCode[code]; found {
		return entry
	}
	return byCode[Internal]
}

// String returns the code's name.
func (c Code) String() string { return Lookup(c).Name }

// Error is an error with a result code.
type Error struct {
	Code    Code
	Message string
}

// Error implements error.
func (e *Error) Error() string { return e.Code.String() + ": " + e.Message }

// New returns an error with a result code.
func New(code Code, message string) *Error { return &Error{Code: code, Message: message} }
