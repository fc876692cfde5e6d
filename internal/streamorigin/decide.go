package streamorigin

import "github.com/tillerfall/tillerfall/internal/fleet"

// Answer is what one node knows of the origin of a stream.
type Answer struct {
	// Record is the node's record of the stream, valid if HasRecord is set.
	Record    Record
	HasRecord bool
	// Versions are the versions that the service's streams may have begun at, as far as the node has
	// observed them, and Complete is set if it has observed all.
	Versions []fleet.SoftwareVersion
	Complete bool
}

// Evidence is what is known of the origin of a stream that a caller resumes.
type Evidence struct {
	// Service is the service that the request would go to.
	Service fleet.PoolName
	// OnlyService is set if streams of the request's route begin at no other service.
	OnlyService bool
	// Own is what this node knows, and Others the answers of other nodes. A node of an earlier release
	// answers without knowing anything.
	Own    Answer
	Others []Answer
	// NeedsAnswer is set if a single version counts only with an answer of another node: unless there is no
	// other node.
	NeedsAnswer bool
}

// ShouldAsk reports whether other nodes are to be asked before the decision.
func (e *Evidence) ShouldAsk() bool { return e.NeedsAnswer && !e.Own.HasRecord }

// Decide returns where the stream began, false if that isn't known. This is the only place that decides
// where a caller's stream may go on.
//
// A record decides. Without one the origin is known if the service has had a single version for as long
// as a stream can live. Then some node must have observed that for the whole time, none may know of
// another version, and another node must have answered: this node's own list may be old while it is
// partitioned.
func (e *Evidence) Decide() (Origin, bool) {
	if origin, recorded, consistent := e.recorded(); recorded {
		return origin, consistent
	}
	if e.NeedsAnswer && len(e.Others) == 0 || !e.OnlyService {
		return Origin{}, false
	}
	version, single := e.singleVersion()
	return Origin{Service: e.Service, Version: version}, single
}

// IsRecorded reports whether any node has a record of the stream.
func (e *Evidence) IsRecorded() bool {
	_, found, _ := e.recorded()
	return found
}

// recorded returns the recorded origin, whether there is any, and whether all records agree.
func (e *Evidence) recorded() (origin Origin, found, consistent bool) {
	consistent = true
	for _, answer := range e.answers() {
		if !answer.HasRecord {
			continue
		}
		if answer.Record.Ambiguous || found && answer.Record.Origin != origin {
			consistent = false
		}
		origin, found = answer.Record.Origin, true
	}
	return origin, found, consistent
}

// singleVersion returns the only version that any node knows of, false if there are others or no node has
// observed all.
func (e *Evidence) singleVersion() (single fleet.SoftwareVersion, known bool) {
	found, complete := false, false
	for _, answer := range e.answers() {
		for _, version := range answer.Versions {
			if found && version != single {
				return "", false
			}
			single, found = version, true
		}
		complete = complete || answer.Complete && len(answer.Versions) == 1
	}
	return single, complete
}

func (e *Evidence) answers() []Answer { return append([]Answer{e.Own}, e.Others...) }
