package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// TestDrainingNoticeCountsOnlyFromTheWorkerItself guards against marking a worker as draining by an
// unsigned response, or by one from another run that now has its address.
func TestDrainingNoticeCountsOnlyFromTheWorkerItself(t *testing.T) {
	worker := backends.Worker{ID: "w", Address: "10.0.0.1:1", Service: "app", Slots: 1}
	for _, test := range []struct {
		name         string
		info         ResponseInfo
		wantDraining bool
	}{
		{"signed", ResponseInfo{Signed: true}, true},
		{"rejected", ResponseInfo{NotExecuted: true}, true},
		{"named", ResponseInfo{Signed: true, Notice: Notice{Instance: "w"}}, true},
		{"other model version than expected", ResponseInfo{NotExecuted: true, Notice: Notice{Misdirected: true, Instance: "w"}}, true},
		{"misdirected", ResponseInfo{NotExecuted: true, Notice: Notice{Misdirected: true}}, false},
		{"another run", ResponseInfo{Signed: true, Notice: Notice{Instance: "other"}}, false},
		{"without a signature", ResponseInfo{}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := newTestGateway(t)
			g.workers.Observe(1, worker)
			test.info.Draining = true
			g.applyResponseNotice(&worker, 0, test.info)
			assert.Equal(t, test.wantDraining, g.workers.IsDraining("w"))
		})
	}
}

// TestUnknownHeadersAreLoggedOnceAndInBoundedNumber guards against a worker that floods the log, or
// this gateway's memory, with unknown headers.
func TestUnknownHeadersAreLoggedOnceAndInBoundedNumber(t *testing.T) {
	var logged unknownHeaders
	assert.True(t, logged.isFirst("w", "Server-Wants"))
	assert.False(t, logged.isFirst("w", "Server-Wants"))
	for number := range 100 {
		logged.isFirst("w", fmt.Sprint("Server-", number))
	}
	assert.LessOrEqual(t, len(logged.logged["w"]), maxUnknownHeaders)
	logged.forget("w")
	assert.True(t, logged.isFirst("w", "Server-Wants"))
}

// TestDrainingNoticeIsForwardedToPeers guards against sends to a draining worker whose row can't be
// updated while the store is unavailable.
func TestDrainingNoticeIsForwardedToPeers(t *testing.T) {
	worker := backends.Worker{ID: "w", StartTime: 1000, Address: "10.0.0.1:1", Service: "app", Slots: 1}
	sender, receiver := newTestGateway(t), newTestGateway(t)
	for _, g := range []*Gateway{sender, receiver} {
		g.workers.Observe(1, worker)
	}
	assert.Empty(t, sender.loadReport("other").GetDraining())
	sender.applyResponseNotice(&worker, 0, ResponseInfo{Signed: true, Notice: Notice{Draining: true}})
	report := sender.loadReport("other")
	receiver.applyLoadReport(report)
	assert.True(t, receiver.workers.IsDraining("w"))

	worker.StartTime = 2000
	receiver.workers.Observe(2, worker)
	receiver.applyLoadReport(report)
	assert.False(t, receiver.workers.IsDraining("w"), "the report is about the previous run")

	worker.StartTime, worker.Draining = 1000, true
	sender.workers.Observe(2, worker)
	assert.Empty(t, sender.loadReport("other").GetDraining(), "the worker's row already says so")
}

// TestBackoffsAreSharedWithinAZone guards against applying a backoff reported from another zone: a
// worker may reject the requests of a single zone.
func TestBackoffsAreSharedWithinAZone(t *testing.T) {
	g := newTestGateway(t)
	worker := backends.Worker{ID: "w", Address: "10.0.0.1:1", Service: "app", Slots: 1}
	g.applyResponseNotice(&worker, 0, ResponseInfo{NotExecuted: true, Notice: Notice{RetryAfter: time.Second}})
	report := g.loadReport("other")
	assert.Equal(t, []string{"w"}, report.GetDeferring())
	assert.Equal(t, []fleet.EngineID{"w"}, g.deferringWorkers(report))
	report.Node = "of another zone"
	assert.Empty(t, g.deferringWorkers(report))
}

// TestSuccessSentBeforeABackoffDoesNotEndIt guards against ending a backoff by the response to an
// earlier request, or by a response that isn't the worker's own.
func TestSuccessSentBeforeABackoffDoesNotEndIt(t *testing.T) {
	g := newTestGateway(t)
	worker := backends.Worker{ID: "w", Address: "10.0.0.1:1", Service: "app", Slots: 1}
	g.applyResponseNotice(&worker, 0, ResponseInfo{Notice: Notice{RetryAfter: time.Hour}})
	assert.NoError(t, g.permitWorker(&worker), "unsigned response")
	sentAt := g.now()
	g.applyResponseNotice(&worker, sentAt, ResponseInfo{NotExecuted: true, Notice: Notice{RetryAfter: time.Hour}})
	g.applyResponseNotice(&worker, sentAt-time.Millisecond, ResponseInfo{Signed: true})
	g.applyResponseNotice(&worker, sentAt+time.Minute, ResponseInfo{Signed: true, Notice: Notice{Misdirected: true}})
	assert.ErrorIs(t, g.permitWorker(&worker), errBackoff)
	g.forgetPreviousRun("w")
	assert.NoError(t, g.permitWorker(&worker), "the former run has ended")
}
