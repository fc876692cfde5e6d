package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/quarantine"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// requestOfParts returns a request of its own whose prompt has shared parts and a last one of its own.
func requestOfParts(number int, parts ...string) *callerRequest {
	current := &callerRequest{
		service: &routes.Service{Name: "app"}, route: &routes.Route{Name: "route"},
		fingerprint: quarantine.Fingerprint{byte(number), byte(number >> 8), 1},
		metadata:    Metadata{RequestID: fmt.Sprint("r", number)},
	}
	for _, part := range append(parts, fmt.Sprint("own-", number)) {
		current.metadata.Parts = append(current.metadata.Parts, backends.Part{ID: part, Tokens: 10})
	}
	current.parts = partFingerprints(current)
	return current
}

// crashOnPart records that workers crashed, some time ago each, under requests with a part.
func crashOnPart(g *Gateway, workers int, parts ...string) quarantine.Fingerprint {
	for number := range workers {
		crash := quarantine.Crash{Worker: fleet.EngineID(fmt.Sprint("w", number)), At: g.now() - time.Duration(workers-number)*time.Second}
		for _, part := range parts {
			record := quarantine.Record{Fingerprint: quarantine.PartFingerprint("app", part), Crashes: []quarantine.Crash{crash}}
			change, _ := g.quarantines.merge(g.now(), record)
			g.handleQuarantineChange("peer", change)
		}
	}
	return quarantine.PartFingerprint("app", parts[0])
}

// TestOnlySharedPartsAreLookedAt guards against the last part of a prompt being held, and against more
// work for a prompt than for most.
func TestOnlySharedPartsAreLookedAt(t *testing.T) {
	assert.Empty(t, requestOfParts(1).parts)
	assert.Equal(t, []quarantine.Fingerprint{quarantine.PartFingerprint("app", "a")}, requestOfParts(1, "a", "a").parts)
	var many []string
	for number := range 2 * maxSuspectParts {
		many = append(many, fmt.Sprint(number))
	}
	assert.Len(t, requestOfParts(1, many...).parts, maxSuspectParts)
}

// TestRequestWithAQuarantinedPartIsRefused guards against one that reaches a worker, and against a refusal
// of requests with other parts.
func TestRequestWithAQuarantinedPartIsRefused(t *testing.T) {
	g := quarantineGateway(t, newQuarantineStore())
	crashOnPart(g, 3, "bad")
	refused := g.checkQuarantine(requestOfParts(1, "everybody's", "bad"))
	require.NotNil(t, refused)
	assert.Equal(t, reasonQuarantined, refused.reason)
	assert.InDelta(t, (quarantine.DefaultPartTrialDelay - time.Second).Seconds(), refused.retryAfter.Seconds(), 0.5)
	assert.Nil(t, g.checkQuarantine(requestOfParts(2, "everybody's", "good")))
}

// TestRowOfAnExplainedPartIsKept guards against a row that a gateway removes since a request explains the
// crashes, by which all others forget what they know of the part.
func TestRowOfAnExplainedPartIsKept(t *testing.T) {
	store := newQuarantineStore()
	g := quarantineGateway(t, store)
	part := crashOnPart(g, 2, "bad")
	g.quarantines.local[part] = true
	changes := g.quarantines.pendingStoreChanges(g.now(), false, false)
	g.applyStoreChanges(&changes)
	require.Contains(t, store.rows, part)
	request := quarantine.Record{Fingerprint: quarantine.Fingerprint{7}}
	for number := range 3 {
		request.Crashes = append(request.Crashes, quarantine.Crash{Worker: fleet.EngineID(fmt.Sprint("w", number)), At: g.now()})
	}
	_, _ = g.quarantines.merge(g.now(), request)
	require.Zero(t, g.quarantines.tracker.Check(g.now(), part).Crashes)
	assert.Empty(t, g.quarantines.pendingStoreChanges(g.now(), true, true).remove)
	for range 9 {
		g.quarantines.recordResponse(g.now(), requestOfParts(1, "bad").subject())
	}
	assert.Equal(t, []quarantine.Fingerprint{part}, g.quarantines.pendingStoreChanges(g.now(), true, true).remove)
}

// TestAnswersReturnToTheGatewayThatTellsOfACrash guards against a sound part that is held since its answers
// are at other gateways, and against each of them telling all others.
func TestAnswersReturnToTheGatewayThatTellsOfACrash(t *testing.T) {
	lost, answered := quarantineGateway(t, newQuarantineStore()), quarantineGateway(t, newQuarantineStore())
	answered.quarantines = newQuarantineState("answered")
	for number := range 12 {
		answered.recordCompleteResponse(requestOfParts(number, "p"))
	}
	part := crashOnPart(lost, 3, "p")
	require.True(t, lost.quarantines.check(lost.now(), requestOfParts(1, "p").subject()).Quarantined)
	lost.quarantines.takePendingBroadcast()
	own, _ := lost.quarantines.record(part)
	told := &rpc.LoadReport{QuarantineOnly: true, QuarantineRecords: encodeQuarantineRecords(lost.now(), []quarantine.Record{own})}
	reply := answered.handleLoadReport(context.Background(), told)
	require.Len(t, reply.GetQuarantineRecords(), 1)
	assert.Empty(t, answered.quarantines.takePendingBroadcast(), "the teller passes it on")
	replies := lost.decodeQuarantineRecords(reply.GetQuarantineRecords())
	lost.handleQuarantineChange("peer", lost.quarantines.mergeReplies(lost.now(), replies))
	assert.False(t, lost.quarantines.check(lost.now(), requestOfParts(1, "p").subject()).Quarantined)
	assert.Len(t, lost.quarantines.takePendingBroadcast(), 1)
}

// TestAnsweredTrialEndsThePartsQuarantine guards against a part that stays held although workers bear it.
func TestAnsweredTrialEndsThePartsQuarantine(t *testing.T) {
	store := newQuarantineStore()
	g := quarantineGateway(t, store)
	part := quarantine.PartFingerprint("app", "bad")
	record := quarantine.Record{Fingerprint: part}
	for number := range 5 {
		at := g.now() - quarantine.DefaultPartTrialDelay - time.Duration(10-number)*time.Second
		record.Crashes = append(record.Crashes, quarantine.Crash{Worker: fleet.EngineID(fmt.Sprint("w", number)), At: at})
	}
	_, _ = g.quarantines.merge(g.now(), record)
	trial := requestOfParts(1, "bad")
	trial.request = quarantinedRequest(g, 0).request
	require.Nil(t, g.checkQuarantine(trial))
	require.True(t, trial.quarantineTrial)
	assert.Equal(t, part, trial.trialOf)
	assert.NotNil(t, g.checkQuarantine(requestOfParts(2, "bad")), "one at a time")
	assert.Equal(t, 1, store.rows[part].Trials)
	g.recordCompleteResponse(trial)
	assert.Nil(t, g.checkQuarantine(requestOfParts(3, "bad")))
}

// TestStoredPartIsHeldAfterARestart guards against a part that is forgotten with the processes, and against
// rows that are lost between releases: an earlier one takes them for rows of requests.
func TestStoredPartIsHeldAfterARestart(t *testing.T) {
	store := newQuarantineStore()
	before, after := quarantineGateway(t, store), quarantineGateway(t, store)
	part := crashOnPart(before, 4, "bad")
	before.quarantines.local[part] = true
	changes := before.quarantines.pendingStoreChanges(before.now(), false, false)
	before.applyStoreChanges(&changes)
	row, found := store.rows[part]
	require.True(t, found)
	assert.True(t, row.Quarantined)
	after.applyQuarantineRow(&row)
	assert.NotNil(t, after.checkQuarantine(requestOfParts(1, "bad")))
	assert.Empty(t, after.quarantines.pendingStoreChanges(after.now(), true, true).write, "nothing new")
}

// TestRowThatIsBeingReadIsNotRemoved guards against a held part that is released everywhere: the gateway with the
// lease removed a row that it had just read, since it didn't know yet what the row says.
func TestRowThatIsBeingReadIsNotRemoved(t *testing.T) {
	const rounds, rowsPerRound = 20, 50
	for round := range rounds {
		g := quarantineGateway(t, newQuarantineStore())
		crashOnPart(g, 1, "first")
		read, removed := make(chan struct{}), make(chan int)
		go func() {
			count := 0
			for isReading := true; isReading; {
				select {
				case <-read:
					isReading = false
				default:
				}
				count += len(g.quarantines.pendingStoreChanges(g.now(), false, true).remove)
			}
			removed <- count
		}()
		for number := range rowsPerRound {
			part := quarantine.PartFingerprint("app", fmt.Sprint("bad-", number))
			g.applyQuarantineRow(&QuarantineRow{Fingerprint: part, StoredCrashes: storedCrashes("w1", "w2", "w3"), Version: 5, Quarantined: true})
		}
		close(read)
		require.Zero(t, <-removed, round)
	}
}

// TestWorkersThatCrashedAtOnceCountOnceWhenARowIsRead guards against a sound part that is held since a row lists
// workers that crashed at once, which count one by one where it is read.
func TestWorkersThatCrashedAtOnceCountOnceWhenARowIsRead(t *testing.T) {
	store := newQuarantineStore()
	writer, reader := quarantineGateway(t, store), quarantineGateway(t, store)
	part := quarantine.PartFingerprint("app", "sound")
	record := quarantine.Record{Fingerprint: part}
	for number, ago := range []time.Duration{3 * time.Second, time.Second, time.Second, time.Second} {
		record.Crashes = append(record.Crashes, quarantine.Crash{Worker: fleet.EngineID(fmt.Sprint("w", number)), At: writer.now() - ago})
	}
	writer.quarantines.local[part] = true
	_, _ = writer.quarantines.merge(writer.now(), record)
	changes := writer.quarantines.pendingStoreChanges(writer.now(), false, false)
	writer.applyStoreChanges(&changes)
	row, found := store.rows[part]
	require.True(t, found)
	record.Crashes = record.Crashes[:2]
	_, _ = reader.quarantines.merge(reader.now(), record)
	reader.applyQuarantineRow(&row)
	assert.Nil(t, reader.checkQuarantine(requestOfParts(1, "sound")))
	restarted := quarantineGateway(t, store)
	restarted.applyQuarantineRow(&row)
	assert.Equal(t, 2, restarted.quarantines.check(restarted.now(), quarantine.Subject{Request: part}).Crashes)
}

// TestPartBesideAHeldOneIsServedAfterARestart guards against a sound part that is held once all gateways have
// restarted, since the row of the harmful part beside it doesn't list the crashes that both were in flight at.
func TestPartBesideAHeldOneIsServedAfterARestart(t *testing.T) {
	store := newQuarantineStore()
	before, after := quarantineGateway(t, store), quarantineGateway(t, store)
	began := before.now() - 5*time.Second
	for number, crash := range []struct {
		after time.Duration
		parts []string
	}{
		{0, []string{"bad", "sound"}},
		{50 * time.Millisecond, []string{"bad", "sound"}},
		{100 * time.Millisecond, []string{"bad", "sound"}},
		{150 * time.Millisecond, []string{"bad"}},
		{400 * time.Millisecond, []string{"bad", "sound"}},
		{650 * time.Millisecond, []string{"bad"}},
		{700 * time.Millisecond, []string{"bad", "sound"}},
	} {
		blameParts(before, fmt.Sprint("w", number), began+crash.after, crash.parts...)
	}
	for _, row := range store.rows {
		after.applyQuarantineRow(&row)
	}
	for _, g := range []*Gateway{before, after} {
		assert.NotNil(t, g.checkQuarantine(requestOfParts(1, "bad", "sound")), "either may be the harmful one")
		assert.Nil(t, g.checkQuarantine(requestOfParts(2, "sound")))
	}
}

// blameParts records that a worker crashed at a time under requests with some parts, and writes the rows.
func blameParts(g *Gateway, worker string, at time.Duration, parts ...string) {
	var records []quarantine.Record
	for _, part := range parts {
		fingerprint := quarantine.PartFingerprint("app", part)
		g.quarantines.local[fingerprint] = true
		crash := quarantine.Crash{Worker: fleet.EngineID(worker), At: at}
		records = append(records, quarantine.Record{Fingerprint: fingerprint, Crashes: []quarantine.Crash{crash}})
	}
	_, _ = g.quarantines.merge(g.now(), records...)
	changes := g.quarantines.pendingStoreChanges(g.now(), false, false)
	g.applyStoreChanges(&changes)
}

// TestCrashesAfterTheHoldExplainAfterARestart guards against a sound part that was held for a moment, until it was
// known that a held one had crashed the workers, and is held for good once all gateways have restarted.
func TestCrashesAfterTheHoldExplainAfterARestart(t *testing.T) {
	store := newQuarantineStore()
	before, after := quarantineGateway(t, store), quarantineGateway(t, store)
	began := before.now() - 10*time.Second
	crash := func(number int, parts ...string) {
		blameParts(before, fmt.Sprint("w", number), began+time.Duration(number)*time.Second, parts...)
	}
	for number := range 3 {
		crash(number, "bad")
	}
	for number := 3; number < 6; number++ {
		crash(number, "sound")
	}
	for number := 3; number < 6; number++ {
		crash(number, "bad")
	}
	require.Nil(t, before.checkQuarantine(requestOfParts(1, "sound")))
	for _, row := range store.rows {
		after.applyQuarantineRow(&row)
	}
	assert.NotNil(t, after.checkQuarantine(requestOfParts(2, "bad")))
	assert.Nil(t, after.checkQuarantine(requestOfParts(3, "sound")))
}
