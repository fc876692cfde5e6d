package agent

import "net/http"

// Handler lets tests answer to a writer of their own.
func (a *Agent) Handler() http.Handler { return a.server.Handler }
