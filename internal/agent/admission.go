package agent

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/openai"
	"github.com/tillerfall/tillerfall/internal/prompt"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// authenticate returns the current configuration and the tenant of the request's API key.
func (a *Agent) authenticate(header http.Header) (*config.View, config.Tenant, *openai.Failure) {
	key, failure := openai.ParseKey(header)
	if failure != nil {
		return nil, config.Tenant{}, failure
	}
	view := a.config.Current()
	if view == nil {
		return nil, config.Tenant{}, a.temporaryFailure(resultcode.NoConfiguration, "no configuration is known yet")
	}
	tenant, found := view.TenantByKey(key)
	if !found {
		return nil, config.Tenant{}, &openai.Failure{Code: resultcode.WrongKey, Message: "the API key belongs to no tenant"}
	}
	return view, tenant, nil
}

// admit validates a request against the configuration and prepares it.
func (a *Agent) admit(
	endpoint openai.Endpoint, view *config.View, tenant config.Tenant, writer http.ResponseWriter, request *http.Request,
) (*admittedRequest, *openai.Failure) {
	options, failure := openai.ParseOptions(request.Header)
	if failure != nil {
		return nil, failure
	}
	class, failure := chooseClass(view, tenant, options.Class)
	if failure != nil {
		return nil, failure
	}
	data, failure := a.readBody(writer, request)
	if failure != nil {
		return nil, failure
	}
	body, failure := openai.ParseRequest(endpoint, data)
	if failure != nil {
		return nil, failure
	}
	modelVersion, model, found := view.ResolveModel(body.Model)
	switch {
	case !found:
		return nil, &openai.Failure{Code: resultcode.UnknownModel, Message: fmt.Sprintf("no model %q is served", body.Model), Param: "model"}
	case !tenant.AllowsModel(model.Name):
		return nil, &openai.Failure{Code: resultcode.ModelNotAllowed, Message: fmt.Sprintf("model %q is not allowed", body.Model), Param: "model"}
	}
	return a.prepare(&admittedRequest{
		tenant:       tenant,
		class:        class.Name,
		maxWait:      time.Duration(class.MaxWait),
		modelVersion: modelVersion,
		options:      options,
		body:         body,
	}, model)
}

// prepare checks the prompt length and sets the output limit, the deadline and the prompt's hashes.
// An output limit above the model's is lowered to it.
func (a *Agent) prepare(admitted *admittedRequest, model config.Model) (*admittedRequest, *openai.Failure) {
	admitted.promptTokens = prompt.CountTokens(admitted.body.Prompt)
	if admitted.promptTokens > model.MaxPromptTokens {
		message := fmt.Sprintf("the prompt has %d tokens; the model takes %d", admitted.promptTokens, model.MaxPromptTokens)
		return nil, &openai.Failure{Code: resultcode.PromptTooLong, Message: message}
	}
	admitted.maxTokens = model.MaxOutputTokens
	if requested := admitted.body.MaxTokens; requested > 0 {
		admitted.maxTokens = min(requested, model.MaxOutputTokens)
	}
	timeout := admitted.options.Deadline
	if timeout == 0 {
		timeout = time.Duration(a.settings.Requests.DefaultDeadline)
	}
	admitted.deadline = a.clock.Now() + timeout
	admitted.hashPrompt(model)
	return admitted, nil
}

// hashPrompt sets the block hashes, the prompt key and the pool, which depend on the model version.
func (c *admittedRequest) hashPrompt(model config.Model) {
	scope := fleet.CacheScope{Tenant: c.tenant.Name, ModelVersion: c.modelVersion}
	c.hashes = prompt.HashBlocks(scope, c.body.Prompt, model.BlockTokens)
	c.promptKey = xxhash.Sum64String(c.body.Prompt)
	c.pool = model.Pool
}

func chooseClass(view *config.View, tenant config.Tenant, requested fleet.ClassName) (config.Class, *openai.Failure) {
	if requested == "" {
		requested = tenant.DefaultClass()
	}
	class, found := view.Class(requested)
	if !found || !tenant.AllowsClass(requested) {
		message := fmt.Sprintf("class %q is not allowed", requested)
		return config.Class{}, &openai.Failure{Code: resultcode.ClassNotAllowed, Message: message, Param: openai.HeaderClass}
	}
	return class, nil
}

// readBody reads the body within the limits of size and time.
func (a *Agent) readBody(writer http.ResponseWriter, request *http.Request) ([]byte, *openai.Failure) {
	limits := a.settings.HTTP
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(time.Now().Add(time.Duration(limits.BodyTimeout)))
	buffer := bytes.NewBuffer(make([]byte, 0, min(max(request.ContentLength, 0)+bytes.MinRead, maxInitialBuffer)))
	_, err := buffer.ReadFrom(http.MaxBytesReader(writer, request.Body, limits.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		message := fmt.Sprintf("the body is over %d bytes", limits.MaxBodyBytes)
		return nil, &openai.Failure{Code: resultcode.BodyTooLarge, Message: message}
	case err != nil:
		return nil, &openai.Failure{Code: resultcode.MalformedBody, Message: "the body did not arrive whole"}
	}
	// Later reads only detect that the caller has disconnected.
	_ = controller.SetReadDeadline(time.Time{})
	return buffer.Bytes(), nil
}

// maxInitialBuffer limits the memory allocated for a body before it arrives.
const maxInitialBuffer = 64 << 10
