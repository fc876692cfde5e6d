package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/streamorigin"
)

const (
	// minStreamLifetime is the least time for which the origin of a stream is held. A caller resumes a
	// stream until its deadline, which may be later than the route's timeout.
	minStreamLifetime = time.Minute
	// lifetimesPerTimeout is the lifetime of a stream as a multiple of the longest timeout of a route.
	lifetimesPerTimeout = 2
	// recordMargin is for how much longer than a stream's lifetime a service must have had a single version
	// before records are left out, since nodes observe the end of a version at different times.
	recordMargin = 10 * time.Second
	// recordKeptTimeout bounds how long the first event waits until another node holds the record. It
	// covers a few round trips between zones.
	recordKeptTimeout = 100 * time.Millisecond
)

// Reasons for refusing to resume a stream.
const (
	reasonOriginUnknown = "origin_unknown"
	reasonNoneAtOrigin  = "none_at_origin"
)

// streamOrigins holds where streams began, as far as this gateway knows. It is safe for concurrent use.
type streamOrigins struct {
	mutex   sync.Mutex
	records *streamorigin.Records
	history *streamorigin.History
	// lifetime is how long a stream can be resumed after it began.
	lifetime time.Duration
	// routes names the services of each resumable route, services are all of them, and routesChangedAt is when that last changed; 0 if
	// it hasn't. After a change, streams may have begun at a service that their route has left.
	routes          map[string]string
	services        []fleet.PoolName
	routesChangedAt time.Duration
}

func newStreamOrigins(now time.Duration, settings Settings) *streamOrigins {
	return &streamOrigins{
		records: streamorigin.NewRecords(), history: streamorigin.NewHistory(now, settings.FirstStart), lifetime: minStreamLifetime,
	}
}

// observeRoutes records the resumable routes of a configuration that comes into force. It returns the
// services of the former ones if they have changed.
func (s *streamOrigins) observeRoutes(now time.Duration, table *routes.Table) (former []fleet.PoolName) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lifetime = max(s.lifetime, lifetimesPerTimeout*table.LongestResumable())
	current := table.ResumableRoutes()
	if s.routes != nil && !maps.Equal(s.routes, current) {
		s.routesChangedAt = now
		former = s.services
	}
	s.routes, s.services = current, table.ResumableServices()
	return former
}

// haveRoutesChanged reports whether streams that can still be resumed may have begun at a service that their
// route has left.
func (s *streamOrigins) haveRoutesChanged(now time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.routesChangedWithin(now, s.lifetime)
}

func (s *streamOrigins) routesChangedWithin(now, window time.Duration) bool {
	return s.routesChangedAt > 0 && now < s.routesChangedAt+window
}

// observe records the versions in use by service. It returns the services in which a second one has
// appeared.
func (s *streamOrigins) observe(now time.Duration, inUse map[fleet.PoolName][]fleet.SoftwareVersion) []fleet.PoolName {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var changed []fleet.PoolName
	for service, versions := range inUse {
		if s.history.Observe(now, s.lifetime, service, versions) {
			changed = append(changed, service)
		}
	}
	return changed
}

// adopt adds the versions of a service that were stored.
func (s *streamOrigins) adopt(now time.Duration, service fleet.PoolName, versions []fleet.SoftwareVersion) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history.Adopt(now, service, versions)
}

// allVersions returns, in order, the versions that streams of a service may have begun at, and whether
// these are all.
func (s *streamOrigins) allVersions(now time.Duration, service fleet.PoolName) ([]fleet.SoftwareVersion, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	window := s.lifetime + recordMargin
	versions := s.history.Versions(now, window, service)
	slices.Sort(versions)
	return versions, s.history.IsComplete(now, window, service)
}

// expire drops the versions that no stream can have begun at any more.
func (s *streamOrigins) expire(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history.Expire(now, s.lifetime+recordMargin)
}

// add records the origin of a stream that began at this gateway. It reports whether other nodes must hold
// the record too: unless the route has had a single service, and that a single version, for longer than a
// stream can live.
func (s *streamOrigins) add(now time.Duration, key streamorigin.Key, origin streamorigin.Origin) (mustReplicate bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	window := s.lifetime + recordMargin
	versions := s.history.Versions(now, window, origin.Service)
	isSingle := len(versions) == 1 && versions[0] == origin.Version
	mustReplicate = !isSingle || !s.history.IsComplete(now, window, origin.Service) || s.routesChangedWithin(now, window)
	s.records.Add(now, s.lifetime, key, origin, !mustReplicate)
	return mustReplicate
}

// addReplica holds the origin of a stream that began at another gateway.
func (s *streamOrigins) addReplica(now time.Duration, key streamorigin.Key, origin streamorigin.Origin) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.records.Add(now, s.lifetime, key, origin, false)
}

// takePrivate returns the streams of a service that began at this gateway and whose records no other node
// holds.
func (s *streamOrigins) takePrivate(service fleet.PoolName) map[streamorigin.Key]streamorigin.Origin {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.records.TakePrivate(service)
}

// answer returns what this gateway knows of the origin of a stream, and of the versions of a service.
func (s *streamOrigins) answer(now time.Duration, key streamorigin.Key, service fleet.PoolName) streamorigin.Answer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	answer := streamorigin.Answer{
		Versions: s.history.Versions(now, s.lifetime, service),
		Complete: s.history.IsComplete(now, s.lifetime, service),
	}
	answer.Record, answer.HasRecord = s.records.Find(key)
	return answer
}

// observeSoftware records the software versions in use, after a change of the workers and regularly.
func (g *Gateway) observeSoftware() {
	for _, service := range g.streamOrigins.observe(g.now(), g.workers.SoftwareVersions()) {
		signal(g.storedSoftware.changed)
		go g.replicatePrivate(service)
	}
}

// observeRoutes records the resumable routes of a configuration that comes into force.
func (g *Gateway) observeRoutes(now time.Duration, table *routes.Table) {
	for _, service := range g.streamOrigins.observeRoutes(now, table) {
		go g.replicatePrivate(service)
	}
}

// keepsOrigins reports whether a caller may resume the streams of a request's route.
func keepsOrigins(current *callerRequest) bool {
	return current.route.Kind == routes.Streaming && current.route.Resumable
}

// streamKey returns the key of a stream of the request's tenant, by the request that brought its first
// event.
func streamKey(current *callerRequest, first string) streamorigin.Key {
	tenant := fleet.TenantName("")
	if current.tenant != nil {
		tenant = current.tenant.Name
	}
	return streamorigin.KeyOf(tenant, fleet.RequestID(first))
}

// beginStream binds a request to the version of the worker that has sent the stream's first event. Where
// the version must be known to others, it waits until another gateway holds the record, so that the
// caller can resume the stream anywhere once it has the event.
func (g *Gateway) beginStream(ctx context.Context, current *callerRequest, placement *backends.Placement) {
	current.origin = streamorigin.Only(placement.Worker.Software)
	if !keepsOrigins(current) || current.metadata.RequestID == "" {
		return
	}
	key := streamKey(current, current.metadata.RequestID)
	origin := streamorigin.Origin{Service: current.service.Name, Version: placement.Worker.Software}
	if !g.streamOrigins.add(g.now(), key, origin) {
		return
	}
	kept := g.replicateRecord(key, origin)
	if kept == nil {
		return
	}
	timer := time.NewTimer(recordKeptTimeout)
	defer timer.Stop()
	select {
	case <-kept.held:
		g.metrics.streamOrigins.records.WithLabelValues("held").Inc()
	case <-timer.C:
		g.metrics.streamOrigins.records.WithLabelValues("late").Inc()
		g.events.line("stream_record_late").Str("request_id", current.metadata.RequestID).
			Str("software", string(origin.Version)).Msg("stream_record_late")
	case <-ctx.Done():
	}
}

// bindToOrigin limits a request that resumes a stream to the version that began it. It returns a refusal
// if that version isn't known.
func (g *Gateway) bindToOrigin(current *callerRequest) *refusal {
	if !keepsOrigins(current) || (current.metadata.LastEventID == "" && current.metadata.Resumes == "") {
		return nil
	}
	key := streamKey(current, current.metadata.Resumes)
	evidence := streamorigin.Evidence{
		Service: current.service.Name, OnlyService: len(current.route.Split) == 1 && !g.streamOrigins.haveRoutesChanged(g.now()),
		Own:         g.streamOrigins.answer(g.now(), key, current.service.Name),
		NeedsAnswer: g.mayHaveMissedVersions(),
	}
	asked := 0
	if evidence.ShouldAsk() {
		evidence.Others, asked = g.findStream(current.request.Context(), key, current.service.Name)
	}
	origin, known := evidence.Decide()
	if known {
		known = g.moveToService(current, origin.Service)
	}
	g.logResumption(current, &evidence, asked, origin, known)
	if !known {
		return &refusal{code: resultcode.OriginUnknown, reason: reasonOriginUnknown, retryAfter: longRetryAfter}
	}
	current.origin = streamorigin.Only(origin.Version)
	return nil
}

// maxAloneProofAge is how old the proof from the store may be with which a gateway that knows no other member
// counts as the only one left.
const maxAloneProofAge = 2 * time.Second

// mayHaveMissedVersions reports whether other gateways may know of versions that this one doesn't. One without
// other members is alone if it follows the store, else it may be partitioned.
func (g *Gateway) mayHaveMissedVersions() bool {
	settings := g.settings()
	isAlone := g.memberCount() <= 1
	return !isAlone || settings.hasOtherSeeds() && !g.freshness.IsWithin(g.now(), maxAloneProofAge)
}

// moveToService makes a request go to the service that began its stream, which may be another one than a
// split route has drawn. It reports whether the route still has that service.
func (g *Gateway) moveToService(current *callerRequest, name fleet.PoolName) bool {
	if current.service.Name == name {
		return true
	}
	snapshot := g.configuration.Current()
	isShare := func(share routes.Share) bool { return share.Service == name }
	if snapshot == nil || !slices.ContainsFunc(current.route.Split, isShare) {
		return false
	}
	service, found := snapshot.Table.Service(name)
	if found {
		current.service = service
		current.parts = partFingerprints(current)
	}
	return found
}

// logResumption logs and counts what was decided about a request that resumes a stream.
func (g *Gateway) logResumption(current *callerRequest, evidence *streamorigin.Evidence, asked int, origin streamorigin.Origin, known bool) {
	result := "unknown"
	switch {
	case known && evidence.IsRecorded():
		result = "recorded"
	case known:
		result = "single_version"
	}
	g.metrics.streamOrigins.resumptions.WithLabelValues(result).Inc()
	g.events.line("stream_resumed").Str("request_id", current.metadata.RequestID).Str("resumes", current.metadata.Resumes).
		Str("after_event", current.metadata.LastEventID).Str("origin", result).Str("service", string(origin.Service)).
		Str("software", string(origin.Version)).Int("asked", asked).Int("answered", len(evidence.Others)).
		Int("versions", len(evidence.Own.Versions)).Bool("history_complete", evidence.Own.Complete).Msg("stream_resumed")
}
