package agent

import "net/http"

// Handler returns the agent's HTTP handler for tests with their own response writer.
func (a *Agent) Handler() http.Handler { return a.server.Handler }
