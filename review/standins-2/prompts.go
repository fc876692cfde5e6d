package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const engineModel = "model-one"

// streamConfig returns a configuration with one route for streams, as the site kcw-colombo has it.
func streamConfig() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "gerber-rulecheck", "host": surplusHost, "path_prefix": "/check/", "kind": "streaming", "timeout_ms": 5000,
			"target_latency_ms": 800, "priority": 1, "service": "lm-fab", "max_attempts": 2, "public": false, "sticky": true,
			"resumable": true, "target_gap_ms": 500,
		}},
		"services": []map[string]any{{
			"name": "lm-fab", "health_path": "/health", "max_connections": 300, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 48, "kv_capacity_tokens": 107924, "kv_token_bytes": 163840, "link_mbps": 740000.0, "backups": true, "stride": 4,
				"max_concurrency": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": engineModel}},
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{
			{"name": "other", "api_keys": []string{"key-of-other"}, "priority": 1, "isolated": false},
		},
	}
}

// sendPrompt sends a request whose prompt begins with the parts that all requests share. It reports whether it was
// served.
func sendPrompt(record *record, front, tenant, id string) bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+front+"/check/"+id, strings.NewReader("prompt"))
	if err != nil {
		panic(err)
	}
	request.Host = surplusHost
	request.Header.Set("Request-Id", id)
	request.Header.Set("Model", engineModel)
	request.Header.Set("Token-Usage", "1460,80")
	request.Header.Set("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,"+fmt.Sprintf("%x", id)+":250")
	request.Header.Set("Deadline-Ms", "15000")
	request.Header.Set("Authorization", "Bearer key-of-"+tenant)
	record.line("send %s", id)
	client := &http.Client{Timeout: 16 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		record.line("no answer %s: %s", id, err)
		return false
	}
	body, bodyErr := io.ReadAll(response.Body)
	_ = response.Body.Close()
	record.line("answer %s: status %d, %d bytes", id, response.StatusCode, len(body))
	return bodyErr == nil && response.StatusCode == http.StatusOK
}
