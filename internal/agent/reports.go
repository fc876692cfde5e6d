package agent

import (
	"context"
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// maxReportBatch limits the reports in a message.
const maxReportBatch = 256

// maxReportTries is the maximum number of tries for a batch; reports are idempotent.
const maxReportTries = 2

// reportQueue holds the pending reports for a router. At most one sender drains it.
type reportQueue struct {
	mutex         sync.Mutex
	pending       []*rpc.AttemptReport
	senderRunning bool
	// urgent is signalled when a report must be sent immediately.
	urgent chan struct{}
}

// add appends a report, or drops it if the queue is full. If start is true, the caller must start a
// sender.
func (q *reportQueue) add(report *rpc.AttemptReport, limit int, final bool) (start, dropped bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.pending) >= limit {
		return false, true
	}
	if q.urgent == nil {
		q.urgent = make(chan struct{}, 1)
	}
	q.pending = append(q.pending, report)
	if final {
		select {
		case q.urgent <- struct{}{}:
		default:
		}
	}
	start = !q.senderRunning
	q.senderRunning = true
	return start, false
}

// takeBatch removes and returns the next batch. An empty batch ends the sender.
func (q *reportQueue) takeBatch() []*rpc.AttemptReport {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	count := min(len(q.pending), maxReportBatch)
	batch := q.pending[:count:count]
	q.pending = q.pending[count:]
	if count == 0 {
		q.pending = nil
		q.senderRunning = false
	}
	return batch
}

func (q *reportQueue) isIdle() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return !q.senderRunning
}

var reportPhases = map[attempt.ReportPhase]rpc.AttemptPhase{
	attempt.ReportAccepted:   rpc.AttemptPhase_ATTEMPT_PHASE_ACCEPTED,
	attempt.ReportFirstToken: rpc.AttemptPhase_ATTEMPT_PHASE_FIRST_TOKEN,
	attempt.ReportFinished:   rpc.AttemptPhase_ATTEMPT_PHASE_FINISHED,
	attempt.ReportFailed:     rpc.AttemptPhase_ATTEMPT_PHASE_FAILED,
	attempt.ReportAbandoned:  rpc.AttemptPhase_ATTEMPT_PHASE_ABANDONED,
}

// report queues a report for the router that granted the attempt.
func (a *Agent) report(router *routerState, request fleet.RequestID, report attempt.Report) {
	if router == nil {
		return
	}
	message := &rpc.AttemptReport{
		RequestId:    string(request),
		Attempt:      uint32(report.Attempt),
		Run:          encodeRun(report.Run),
		Phase:        reportPhases[report.Phase],
		CachedTokens: uint32(max(report.CachedTokens, 0)),
		OutputTokens: uint32(max(report.OutputTokens, 0)),
		EngineLost:   report.EngineLost,
	}
	final := report.Phase != attempt.ReportAccepted && report.Phase != attempt.ReportFirstToken
	start, dropped := router.reports.add(message, a.settings.Sync.ReportQueue, final)
	if dropped {
		a.metrics.droppedReports.Inc()
	}
	if start {
		a.calls.Go(func() error { return a.sendReports(router) })
	}
}

// sendReports sends batches until the queue is empty. A final report is sent immediately together
// with all pending ones; others wait for the report interval.
func (a *Agent) sendReports(router *routerState) error {
	for {
		select {
		case <-router.reports.urgent:
		case <-time.After(time.Duration(a.settings.Sync.ReportInterval)):
		}
		batch := router.reports.takeBatch()
		if len(batch) == 0 {
			return nil
		}
		a.sendBatch(router, batch)
	}
}

func (a *Agent) sendBatch(router *routerState, batch []*rpc.AttemptReport) {
	for try := 1; ; try++ {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.settings.Sync.Timeout))
		response, err := router.client.Report(ctx, &rpc.ReportRequest{Header: a.header(), Reports: batch})
		cancel()
		if err == nil {
			a.handleResponseHeader(router, response.GetHeader())
			return
		}
		if try == maxReportTries {
			a.metrics.droppedReports.Add(float64(len(batch)))
			a.handleRouterFailure(router, "report", err)
			return
		}
	}
}

func encodeRun(run fleet.EngineRun) *rpc.EngineRun {
	return &rpc.EngineRun{Engine: string(run.Engine), Incarnation: uint64(run.Incarnation)}
}
