package gateway

import (
	"context"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/quarantine"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/traffic"
)

const (
	// quarantineBatchDelay is the time in which changes are collected before a broadcast: the
	// connections to a crashed worker break one after the other.
	quarantineBatchDelay  = 20 * time.Millisecond
	quarantineCallTimeout = 250 * time.Millisecond
	// reportChangesFor is how long load reports include a changed record, for gateways that missed
	// its broadcast. It covers three rounds of reports.
	reportChangesFor = 2 * time.Second
	// maxQuarantineCalls bounds the concurrent calls of broadcasts.
	maxQuarantineCalls = 32
)

// announceQuarantine broadcasts records that have changed here, until the process stops.
func (g *Gateway) announceQuarantine() error {
	for {
		select {
		case <-g.quarantines.announceSignal:
		case <-g.life.Dying():
			return nil
		}
		if !g.pause(quarantineBatchDelay) {
			return nil
		}
		records := g.quarantines.takePendingBroadcast()
		if len(records) > 0 {
			g.broadcastQuarantine(records)
		}
	}
}

// takePendingBroadcast returns and clears the records to broadcast.
func (q *quarantineState) takePendingBroadcast() []quarantine.Record {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	records := make([]quarantine.Record, 0, len(q.pendingBroadcast))
	for fingerprint := range q.pendingBroadcast {
		if record, known := q.tracker.Record(fingerprint); known {
			records = append(records, record)
		}
	}
	clear(q.pendingBroadcast)
	return records
}

// broadcastQuarantine sends records to the gateways that forward requests and to those that others
// watch.
func (g *Gateway) broadcastQuarantine(records []quarantine.Record) {
	report := &rpc.LoadReport{Node: string(g.node), Partial: true, QuarantineOnly: true}
	report.QuarantineRecords = encodeQuarantineRecords(g.now(), records)
	newFanout(maxQuarantineCalls).call(g.life.Dying(), g.quarantinePeers(), func(member membership.Member) {
		ctx, cancel := context.WithTimeout(g.peerCallContext(traffic.Quarantine, member), quarantineCallTimeout)
		defer cancel()
		response, err := g.peers.ExchangeLoad(ctx, member.Address, report)
		if err != nil {
			g.metrics.peerFailures.Inc()
			return
		}
		replies := g.decodeQuarantineRecords(response.GetQuarantineRecords())
		g.handleQuarantineChange("peer", g.quarantines.mergeReplies(g.now(), replies))
	})
}

// quarantinePeers returns the other gateways that serve requests, share loads or read the store.
// All others watch one of the readers.
func (g *Gateway) quarantinePeers() []membership.Member {
	roles := g.roles.Load()
	sharing := make(map[fleet.NodeID]bool, len(roles.loadPeers))
	for _, member := range roles.loadPeers {
		sharing[member.Node] = true
	}
	var peers []membership.Member
	for _, member := range g.peers.View().Routable() {
		if member.Node != g.node && (sharing[member.Node] || roles.IsServing(member.Node) || roles.IsReader(member.Node)) {
			peers = append(peers, member)
		}
	}
	return peers
}

// writeReport adds the recently changed records and the digest of all shared records to a report.
func (q *quarantineState) writeReport(now time.Duration, report *rpc.LoadReport) {
	if !q.active.Load() {
		return
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	report.QuarantineDigest = q.tracker.Digest(sharedCrashes)
	var records []quarantine.Record
	for fingerprint, at := range q.changedAt {
		if record, known := q.tracker.Record(fingerprint); known && now <= at+reportChangesFor {
			records = append(records, record)
		}
	}
	report.QuarantineRecords = encodeQuarantineRecords(now, records)
}

// digest returns the digest of the records shared with all gateways.
func (q *quarantineState) digest() uint64 {
	if !q.active.Load() {
		return 0
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.tracker.Digest(sharedCrashes)
}

// missingRecords returns the shared records if a gateway's digest differs from this one's.
func (q *quarantineState) missingRecords(now time.Duration, digest uint64) []*rpc.QuarantineRecord {
	if !q.active.Load() {
		return nil
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.tracker.Digest(sharedCrashes) == digest {
		return nil
	}
	return encodeQuarantineRecords(now, q.tracker.RecordsWithCrashes(sharedCrashes))
}

// mergeQuarantineRecords merges records of another gateway. It returns this gateway's records of parts that
// the other one is to learn.
func (g *Gateway) mergeQuarantineRecords(encoded []*rpc.QuarantineRecord) []*rpc.QuarantineRecord {
	if len(encoded) == 0 {
		return nil
	}
	change, replies := g.quarantines.merge(g.now(), g.decodeQuarantineRecords(encoded)...)
	g.handleQuarantineChange("peer", change)
	return encodeQuarantineRecords(g.now(), replies)
}

// decodeQuarantineRecords decodes records of another gateway and leaves out those that are invalid.
func (g *Gateway) decodeQuarantineRecords(encoded []*rpc.QuarantineRecord) []quarantine.Record {
	now := g.now()
	records := make([]quarantine.Record, 0, len(encoded))
	for _, message := range encoded {
		record, err := decodeQuarantineRecord(now, message)
		if err != nil {
			g.reportInvalidInput("", []InvalidInput{{Source: "quarantine_record", Err: err}})
			continue
		}
		records = append(records, record)
	}
	return records
}

func encodeQuarantineRecords(now time.Duration, records []quarantine.Record) []*rpc.QuarantineRecord {
	encoded := make([]*rpc.QuarantineRecord, len(records))
	for index := range records {
		record := &records[index]
		message := &rpc.QuarantineRecord{
			Fingerprint: record.Fingerprint[:],
			Trials:      uint32(max(record.Trials, 0)),
			Releases:    uint32(max(record.Releases, 0)),
			Quarantined: record.Quarantined,
		}
		for _, answer := range record.Answers {
			message.Answers = append(message.Answers, &rpc.QuarantineAnswer{
				Node: string(answer.Node), Sequence: answer.Sequence, AgeMillis: ageMillis(now, answer.At),
			})
		}
		if record.Trials > 0 {
			message.TriedAgeMillis = ageMillis(now, record.LastTrialAt)
		}
		if record.Answered {
			message.AnsweredAgeMillis = ageMillis(now, record.AnsweredAt) + 1
		}
		for _, crash := range record.Crashes {
			message.Ends = append(message.Ends, &rpc.QuarantineEnd{Worker: string(crash.Worker), AgeMillis: ageMillis(now, crash.At)})
		}
		encoded[index] = message
	}
	return encoded
}

// ageMillis returns the time since at in whole milliseconds, rounded down.
func ageMillis(now, at time.Duration) uint32 { return uint32(max(now-at, 0).Milliseconds()) }

// timeFromAge returns the time that lies an age in milliseconds before now.
func timeFromAge(now time.Duration, age uint32) time.Duration {
	return now - time.Duration(age)*time.Millisecond
}

func decodeQuarantineRecord(now time.Duration, message *rpc.QuarantineRecord) (quarantine.Record, error) {
	fingerprint, err := quarantine.FingerprintFromBytes(message.GetFingerprint())
	if err != nil {
		return quarantine.Record{}, err
	}
	record := quarantine.Record{
		Fingerprint: fingerprint, Trials: int(message.GetTrials()), Releases: int(message.GetReleases()), Quarantined: message.GetQuarantined(),
	}
	for _, answer := range message.GetAnswers() {
		record.Answers = append(record.Answers, quarantine.PartAnswer{
			Node: fleet.NodeID(answer.GetNode()), Sequence: answer.GetSequence(), At: timeFromAge(now, answer.GetAgeMillis()),
		})
	}
	if record.Trials > 0 {
		record.LastTrialAt = timeFromAge(now, message.GetTriedAgeMillis())
	}
	if age := message.GetAnsweredAgeMillis(); age > 0 {
		record.Answered, record.AnsweredAt = true, timeFromAge(now, age-1)
	}
	for _, end := range message.GetEnds() {
		record.Crashes = append(record.Crashes, quarantine.Crash{Worker: fleet.EngineID(end.GetWorker()), At: timeFromAge(now, end.GetAgeMillis())})
	}
	return record, nil
}
