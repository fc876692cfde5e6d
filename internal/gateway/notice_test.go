package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// TestOnlyAWorkersOwnAnswerTellsThatItDrains: an answer of another run, of whoever has the address
// now or of nobody known says nothing of it.
func TestOnlyAWorkersOwnAnswerTellsThatItDrains(t *testing.T) {
	worker := backends.Worker{ID: "w", Address: "10.0.0.1:1", Service: "app", Slots: 1}
	for _, test := range []struct {
		name  string
		info  AnswerInfo
		tells bool
	}{
		{"signed", AnswerInfo{Signed: true}, true},
		{"rejected", AnswerInfo{NotExecuted: true}, true},
		{"named", AnswerInfo{Signed: true, Notice: Notice{Instance: "w"}}, true},
		{"other weights than expected", AnswerInfo{NotExecuted: true, Notice: Notice{Misdirected: true, Instance: "w"}}, true},
		{"misdirected", AnswerInfo{NotExecuted: true, Notice: Notice{Misdirected: true}}, false},
		{"another run", AnswerInfo{Signed: true, Notice: Notice{Instance: "other"}}, false},
		{"without a signature", AnswerInfo{}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := idleGateway(t)
			g.workers.Observe(1, worker)
			test.info.Draining = true
			g.noteAnswerNotice(&worker, 0, test.info)
			assert.Equal(t, test.tells, g.workers.IsDraining("w"))
		})
	}
}

// TestUnknownHeadersAreLoggedOnceAndInBoundedNumber whatever workers send.
func TestUnknownHeadersAreLoggedOnceAndInBoundedNumber(t *testing.T) {
	var logged unknownHeaders
	assert.True(t, logged.first("w", "Server-Wants"))
	assert.False(t, logged.first("w", "Server-Wants"))
	for number := range 100 {
		logged.first("w", fmt.Sprint("Server-", number))
	}
	assert.LessOrEqual(t, len(logged.logged["w"]), maxUnknownHeaders)
	logged.forget("w")
	assert.True(t, logged.first("w", "Server-Wants"))
}

// TestNodeHearsFromAPeerThatAWorkerDrains before it sends there: a worker's end cuts streams, and
// its row can't say anything while the store is away.
func TestNodeHearsFromAPeerThatAWorkerDrains(t *testing.T) {
	worker := backends.Worker{ID: "w", StartTime: 1000, Address: "10.0.0.1:1", Service: "app", Slots: 1}
	told, hears := idleGateway(t), idleGateway(t)
	for _, g := range []*Gateway{told, hears} {
		g.workers.Observe(1, worker)
	}
	assert.Empty(t, told.loadReport("other").GetDraining())
	told.noteAnswerNotice(&worker, 0, AnswerInfo{Signed: true, Notice: Notice{Draining: true}})
	report := told.loadReport("other")
	hears.takeLoad(report)
	assert.True(t, hears.workers.IsDraining("w"))

	worker.StartTime = 2000
	hears.workers.Observe(2, worker)
	hears.takeLoad(report)
	assert.False(t, hears.workers.IsDraining("w"), "it was told of the run before")

	worker.StartTime, worker.Draining = 1000, true
	told.workers.Observe(2, worker)
	assert.Empty(t, told.loadReport("other").GetDraining(), "the row says so")
}

// TestBackoffsAreToldWithinAZone since a worker may reject the requests of one zone alone.
func TestBackoffsAreToldWithinAZone(t *testing.T) {
	g := idleGateway(t)
	worker := backends.Worker{ID: "w", Address: "10.0.0.1:1", Service: "app", Slots: 1}
	g.noteAnswerNotice(&worker, 0, AnswerInfo{NotExecuted: true, Notice: Notice{RetryAfter: time.Second}})
	report := g.loadReport("other")
	assert.Equal(t, []string{"w"}, report.GetDeferring())
	assert.Equal(t, []fleet.EngineID{"w"}, g.deferringOf(report))
	report.Node = "of another zone"
	assert.Empty(t, g.deferringOf(report))
}

// TestSuccessSentBeforeABackoffDoesNotEndIt nor does what isn't the worker's own answer.
func TestSuccessSentBeforeABackoffDoesNotEndIt(t *testing.T) {
	g := idleGateway(t)
	worker := backends.Worker{ID: "w", Address: "10.0.0.1:1", Service: "app", Slots: 1}
	g.noteAnswerNotice(&worker, 0, AnswerInfo{Notice: Notice{RetryAfter: time.Hour}})
	assert.NoError(t, g.permitWorker(&worker), "nobody signed it")
	asked := g.now()
	g.noteAnswerNotice(&worker, asked, AnswerInfo{NotExecuted: true, Notice: Notice{RetryAfter: time.Hour}})
	g.noteAnswerNotice(&worker, asked-time.Millisecond, AnswerInfo{Signed: true})
	g.noteAnswerNotice(&worker, asked+time.Minute, AnswerInfo{Signed: true, Notice: Notice{Misdirected: true}})
	assert.ErrorIs(t, g.permitWorker(&worker), errBackoff)
	g.forgetFormerRun("w")
	assert.NoError(t, g.permitWorker(&worker), "another run")
}
