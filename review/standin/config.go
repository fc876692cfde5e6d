package main

// Names of the configuration.
const (
	clientHost = "caller.example"
	tenantKey  = "key-of-the-tenant"
	appService = "plain-app"
)

// maxBodyBytes is the operator's limit on bodies, as in the site files.
const maxBodyBytes = 4194304

// plainConfig returns a configuration with a plain service: one route whose requests may not be repeated
// and one whose requests may.
func plainConfig(timeoutMS int) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": clientHost, "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "target_latency_ms": 300,
			"priority": 2, "service": appService, "max_attempts": attempts, "public": false, "sticky": false, "resumable": false,
		}
	}
	return map[string]any{
		"version":  7,
		"routes":   []map[string]any{route("r-unsafe", "/unsafe/", "unsafe", 1), route("r-safe", "/safe/", "safe", 2)},
		"services": []map[string]any{{"name": appService, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "tenant-one", "api_keys": []string{tenantKey}, "priority": 1, "isolated": false}},
	}
}
