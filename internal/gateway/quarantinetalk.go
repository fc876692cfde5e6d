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

// Times of the talk about requests that end workers.
const (
	// quarantineGather is the time in which words are gathered: the connections to a worker
	// that ends break one after the other.
	quarantineGather  = 20 * time.Millisecond
	quarantineTimeout = 250 * time.Millisecond
	// tellFor is how long a changed record goes with each report besides: three rounds of
	// reports, for those that missed it when it was told at once.
	tellFor = 2 * time.Second
	// quarantineCalls bounds the calls at a time that tell others.
	quarantineCalls = 32
)

// announceQuarantine tells others at once of the requests whose records have changed here,
// until the process ends.
func (g *Gateway) announceQuarantine() error {
	for {
		select {
		case <-g.quarantines.announced:
		case <-g.life.Dying():
			return nil
		}
		if !g.pause(quarantineGather) {
			return nil
		}
		records := g.quarantines.takeUntold()
		if len(records) > 0 {
			g.tellQuarantine(records)
		}
	}
}

// takeUntold returns the records that are to be told.
func (q *quarantines) takeUntold() []quarantine.Record {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	records := make([]quarantine.Record, 0, len(q.untold))
	for fingerprint := range q.untold {
		if record, known := q.ledger.Record(fingerprint); known {
			records = append(records, record)
		}
	}
	clear(q.untold)
	return records
}

// tellQuarantine tells the nodes that carry requests, and those that others ask for news.
func (g *Gateway) tellQuarantine(records []quarantine.Record) {
	report := &rpc.LoadReport{Node: string(g.node), Partial: true, QuarantineOnly: true}
	report.QuarantineRecords = encodeRecords(g.now(), records)
	newFanout(quarantineCalls).call(g.life.Dying(), g.quarantinePeers(), func(member membership.Member) {
		ctx, cancel := context.WithTimeout(g.peerCall(traffic.Quarantine, member), quarantineTimeout)
		defer cancel()
		if _, err := g.peers.ExchangeLoad(ctx, member.Address, report); err != nil {
			g.metrics.shareFailures.Inc()
		}
	})
}

// quarantinePeers returns the other nodes that carry requests, take part in the talk about
// loads or read the store. Any other node hears from one of those that read.
func (g *Gateway) quarantinePeers() []membership.Member {
	roles := g.roles.Load()
	sharing := make(map[fleet.NodeID]bool, len(roles.loadPeers))
	for _, member := range roles.loadPeers {
		sharing[member.Node] = true
	}
	var peers []membership.Member
	for _, member := range g.peers.View().Routable() {
		if member.Node != g.node && (sharing[member.Node] || roles.Serves(member.Node) || roles.Reads(member.Node)) {
			peers = append(peers, member)
		}
	}
	return peers
}

// write adds to a report what has changed of late, and the digest of what is known.
func (q *quarantines) write(now time.Duration, report *rpc.LoadReport) {
	if !q.any.Load() {
		return
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	report.QuarantineDigest = q.ledger.Digest(sharedEnds)
	var records []quarantine.Record
	for fingerprint, at := range q.changed {
		if record, known := q.ledger.Record(fingerprint); known && now <= at+tellFor {
			records = append(records, record)
		}
	}
	report.QuarantineRecords = encodeRecords(now, records)
}

// digest returns the digest of the records that every node is told of.
func (q *quarantines) digest() uint64 {
	if !q.any.Load() {
		return 0
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.ledger.Digest(sharedEnds)
}

// beyond returns the records that a node with another digest is to be told of.
func (q *quarantines) beyond(now time.Duration, digest uint64) []*rpc.QuarantineRecord {
	if !q.any.Load() {
		return nil
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.ledger.Digest(sharedEnds) == digest {
		return nil
	}
	return encodeRecords(now, q.ledger.RecordsWithCrashes(sharedEnds))
}

// takeQuarantineRecords takes in what another node tells.
func (g *Gateway) takeQuarantineRecords(encoded []*rpc.QuarantineRecord) {
	now := g.now()
	for _, told := range encoded {
		record, err := decodeRecord(now, told)
		if err != nil {
			g.noteUnreadable("", []Unreadable{{Source: "quarantine_record", Err: err}})
			continue
		}
		g.noteQuarantine(record.Fingerprint, "peer", g.quarantines.merge(now, &record))
	}
}

// encodeRecords returns records in their transmitted form.
func encodeRecords(now time.Duration, records []quarantine.Record) []*rpc.QuarantineRecord {
	encoded := make([]*rpc.QuarantineRecord, len(records))
	for index := range records {
		record := &records[index]
		told := &rpc.QuarantineRecord{
			Fingerprint: record.Fingerprint[:],
			Trials:      uint32(max(record.Trials, 0)),
		}
		if record.Trials > 0 {
			told.TriedAgeMillis = ageMillis(now, record.LastTrialAt)
		}
		if record.Answered {
			told.AnsweredAgeMillis = ageMillis(now, record.AnsweredAt) + 1
		}
		for _, end := range record.Crashes {
			told.Ends = append(told.Ends, &rpc.QuarantineEnd{Worker: string(end.Worker), AgeMillis: ageMillis(now, end.At)})
		}
		encoded[index] = told
	}
	return encoded
}

// ageMillis returns the time since a moment in whole milliseconds.
func ageMillis(now, at time.Duration) uint32 { return uint32(max(now-at, 0).Milliseconds()) }

// atAge returns the moment of an age in milliseconds.
func atAge(now time.Duration, age uint32) time.Duration {
	return now - time.Duration(age)*time.Millisecond
}

// decodeRecord reads a record from its transmitted form.
func decodeRecord(now time.Duration, told *rpc.QuarantineRecord) (quarantine.Record, error) {
	fingerprint, err := quarantine.FingerprintFromBytes(told.GetFingerprint())
	if err != nil {
		return quarantine.Record{}, err
	}
	record := quarantine.Record{Fingerprint: fingerprint, Trials: int(told.GetTrials())}
	if record.Trials > 0 {
		record.LastTrialAt = atAge(now, told.GetTriedAgeMillis())
	}
	if age := told.GetAnsweredAgeMillis(); age > 0 {
		record.Answered, record.AnsweredAt = true, atAge(now, age-1)
	}
	for _, end := range told.GetEnds() {
		record.Crashes = append(record.Crashes, quarantine.Crash{Worker: fleet.EngineID(end.GetWorker()), At: atAge(now, end.GetAgeMillis())})
	}
	return record, nil
}
