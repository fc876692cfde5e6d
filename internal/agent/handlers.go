package agent

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uptrace/bunrouter"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/openai"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Operational paths, in addition to those of package openai.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
)

func (a *Agent) routes() http.Handler {
	router := bunrouter.New(
		bunrouter.WithNotFoundHandler(a.serveUnknownPath),
		bunrouter.WithMethodNotAllowedHandler(a.serveUnknownPath),
	)
	router.POST(openai.PathChatCompletions, a.completionHandler(openai.Chat))
	router.POST(openai.PathCompletions, a.completionHandler(openai.Completion))
	router.GET(openai.PathModels, a.serveModels)
	router.GET(PathHealth, a.serveHealth)
	router.GET(PathReady, a.serveReady)
	metricsHandler := promhttp.HandlerFor(a.registry, promhttp.HandlerOpts{})
	router.GET(PathMetrics, bunrouter.HTTPHandler(metricsHandler))
	return router
}

// newRequestID returns a unique identifier, prefixed with the caller's own identifier if there is
// one.
func newRequestID(header http.Header) (fleet.RequestID, *openai.Failure) {
	unique := strings.ReplaceAll(uuid.NewString(), "-", "")
	prefix, failure := openai.ParseRequestID(header)
	if prefix == "" {
		return fleet.RequestID(unique), failure
	}
	return fleet.RequestID(prefix + "-" + unique), failure
}

func (a *Agent) completionHandler(endpoint openai.Endpoint) bunrouter.HandlerFunc {
	return func(writer http.ResponseWriter, request bunrouter.Request) error {
		a.serveCompletion(endpoint, writer, request.Request)
		return nil
	}
}

// serveCompletion serves a completion request.
func (a *Agent) serveCompletion(endpoint openai.Endpoint, writer http.ResponseWriter, request *http.Request) {
	arrived := a.clock.Now()
	a.setWriteDeadline(writer)
	id, failure := newRequestID(request.Header)
	if failure != nil {
		a.refuse(writer, id, failure)
		return
	}
	if !a.gate.enter() {
		a.refuse(writer, id, a.temporaryFailure(resultcode.Stopping, "the agent is stopping"))
		return
	}
	defer a.gate.leave()
	a.metrics.running.Inc()
	defer a.metrics.running.Dec()
	view, tenant, failure := a.authenticate(request.Header)
	if failure != nil {
		a.refuse(writer, id, failure)
		return
	}
	if code := a.concurrency.acquire(tenant.Name, tenant.MaxConcurrent); code != resultcode.OK {
		a.refuse(writer, id, a.temporaryFailure(code, resultcode.Lookup(code).Meaning))
		return
	}
	defer a.concurrency.release(tenant.Name)
	admitted, failure := a.admit(endpoint, view, tenant, writer, request)
	if failure != nil {
		a.refuse(writer, id, failure)
		return
	}
	admitted.id = id
	admitted.arrived = arrived
	a.runRequest(admitted, writer, request)
}

// runRequest runs an admitted request, or refuses it if it must not be repeated and its idempotency
// key has been used.
func (a *Agent) runRequest(admitted *admittedRequest, writer http.ResponseWriter, request *http.Request) {
	key := idempotencyKey{tenant: admitted.tenant.Name, key: admitted.options.IdempotencyKey}
	guarded := admitted.options.NotRepeatable && key.key != ""
	if guarded && !a.duplicates.begin(key) {
		a.refuse(writer, admitted.id, &openai.Failure{
			Code:          resultcode.DuplicateRequest,
			Message:       resultcode.Lookup(resultcode.DuplicateRequest).Meaning,
			NotRepeatable: true,
		})
		return
	}
	// A request that ends with a panic may have run.
	didNotRun := false
	if guarded {
		defer func() { a.duplicates.end(key, didNotRun) }()
	}
	runner := newRequestRunner(a, admitted, a.newOutput(admitted, writer))
	runner.run(request.Context())
	didNotRun = runner.didNotRun()
	a.recordEnd(runner)
}

func (a *Agent) recordEnd(c *requestRunner) {
	stats := c.machine.Stats()
	a.metrics.addStats(stats)
	a.metrics.outputTokens.Add(float64(c.machine.Emitted()))
	code := c.result.String()
	if c.aborted {
		code = abortedLabel
		a.metrics.countAborted(c.request.class)
	} else {
		a.metrics.countResult(c.result, c.request.class)
	}
	firstToken := time.Duration(0)
	if c.firstTokenAt > 0 {
		firstToken = c.firstTokenAt - c.request.arrived
		a.metrics.observeFirstToken(c.request.class, firstToken)
	}
	a.metrics.promptTokens.Add(float64(c.usage.PromptTokens))
	a.metrics.cachedTokens.Add(float64(c.usage.CachedTokens))
	c.logger.Info().Str("code", code).
		Str("tenant", string(c.request.tenant.Name)).Str("class", string(c.request.class)).Str("model", c.request.body.Model).
		Int("prompt_tokens", c.request.promptTokens).Int("cached_tokens", c.usage.CachedTokens).
		Int("output_tokens", c.machine.Emitted()).Int("dispatches", stats.Dispatches).Int("resumes", stats.Resumes).
		Dur("first_token_ms", firstToken).Dur("duration_ms", a.clock.Now()-c.request.arrived).
		Msg("request_finished")
}

// temporaryFailure returns a refusal with a Retry-After between one and two times the configured
// minimum, which spreads retries.
func (a *Agent) temporaryFailure(code resultcode.Code, message string) *openai.Failure {
	minimum := time.Duration(a.settings.Requests.RetryAfter)
	retryAfter := minimum + time.Duration(rand.Int64N(int64(minimum)))
	return &openai.Failure{Code: code, Message: message, RetryAfter: retryAfter}
}

func (a *Agent) refuse(writer http.ResponseWriter, id fleet.RequestID, failure *openai.Failure) {
	failure.RequestID = id
	a.metrics.countResult(failure.Code, "")
	a.logger.Info().Str("request_id", string(id)).Str("code", failure.Code.String()).
		Str("reason", failure.Message).Msg("request_refused")
	if err := openai.WriteFailure(writer, failure); err != nil {
		a.logger.Debug().Err(err).Str("request_id", string(id)).Msg("write_failed")
	}
}

func (a *Agent) setWriteDeadline(writer http.ResponseWriter) {
	deadline := time.Now().Add(time.Duration(a.settings.HTTP.WriteTimeout))
	_ = http.NewResponseController(writer).SetWriteDeadline(deadline)
}

func (a *Agent) serveModels(writer http.ResponseWriter, request bunrouter.Request) error {
	a.setWriteDeadline(writer)
	id, failure := newRequestID(request.Header)
	if failure != nil {
		a.refuse(writer, id, failure)
		return nil
	}
	view, tenant, failure := a.authenticate(request.Header)
	if failure != nil {
		a.refuse(writer, id, failure)
		return nil
	}
	return openai.WriteModels(writer, id, servedModels(view, tenant))
}

// servedModels lists the models and adapters available to the tenant, in the order of the
// configuration.
func servedModels(view *config.View, tenant config.Tenant) []string {
	var names []string
	for _, model := range view.Document().Models {
		if !tenant.AllowsModel(model.Name) {
			continue
		}
		if _, serving := view.ServingVersion(model.Name, ""); serving {
			names = append(names, string(model.Name))
		}
		for _, adapter := range model.Adapters {
			if _, serving := view.ServingVersion(model.Name, adapter.Name); serving {
				names = append(names, string(model.Name)+config.AdapterSeparator+string(adapter.Name))
			}
		}
	}
	return names
}

func (a *Agent) serveUnknownPath(writer http.ResponseWriter, request bunrouter.Request) error {
	a.setWriteDeadline(writer)
	id, _ := newRequestID(request.Header)
	a.refuse(writer, id, &openai.Failure{Code: resultcode.UnknownPath, Message: "no such path or method"})
	return nil
}

func (a *Agent) serveHealth(writer http.ResponseWriter, _ bunrouter.Request) error {
	a.setWriteDeadline(writer)
	return writeText(writer, http.StatusOK, "ok")
}

func (a *Agent) serveReady(writer http.ResponseWriter, _ bunrouter.Request) error {
	a.setWriteDeadline(writer)
	if code := a.readiness(); code != resultcode.OK {
		return writeText(writer, http.StatusServiceUnavailable, code.String())
	}
	return writeText(writer, http.StatusOK, "ready")
}

// readiness returns the code with which new requests would be refused, or OK.
func (a *Agent) readiness() resultcode.Code {
	switch {
	case !a.gate.isOpen():
		return resultcode.Stopping
	case a.config.Current() == nil:
		return resultcode.NoConfiguration
	case !a.routers.isReachable(time.Duration(a.settings.Sync.Interval) * unreachableIntervals):
		return resultcode.NoRouter
	default:
		return resultcode.OK
	}
}

func writeText(writer http.ResponseWriter, status int, text string) error {
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.WriteHeader(status)
	_, err := writer.Write([]byte(text + "\n"))
	return err
}
