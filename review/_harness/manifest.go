package main

// maxBodyBytes is the limit of the manifest for the body of a request.
const maxBodyBytes = 4194304

// manifest returns a manifest like that of a small deployment, with one model service and one application.
func manifest(version int, more ...map[string]any) map[string]any {
	routes := []map[string]any{
		{"name": "r-draft", "host": "ficu95.example", "prefix": "/draft/", "kind": "streaming", "timeoutMs": 20000, "latencyTargetMs": 500, "gapTargetMs": 250, "priority": 0, "service": "pool", "attempts": 2, "public": false, "sticky": true, "resumable": true},
		{"name": "r-pay", "host": "ficu95.example", "prefix": "/pay/", "kind": "non_idempotent", "timeoutMs": 2500, "latencyTargetMs": 150, "priority": 2, "service": "desk", "attempts": 1, "public": false},
		{"name": "r-lookup", "host": "ficu95.example", "prefix": "/lookup/", "kind": "idempotent", "timeoutMs": 2500, "latencyTargetMs": 150, "priority": 2, "service": "desk", "attempts": 2, "public": false},
	}
	return map[string]any{
		"version": version,
		"routes":  append(routes, more...),
		"services": []map[string]any{
			{"name": "pool", "healthPath": "/healthz", "maxConnections": 1068, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 192, "kvCapacity": 100000, "kvTokenBytes": 590000, "bandwidthMbps": 400000.0, "stride": 4,
				"models":  []map[string]any{{"name": "daka510000", "pace": 1.0, "loadS": 14.0, "warmS": 1.0}},
				"step_ms": 1.02, "per_seq_ms": 0.00459, "context_per_k": 0.00615, "read_per_s": 164000.0, "layers": 80, "layerMb": 1750.0,
				"actBytes": 29500, "pipeMbps": 13000.0, "report_lag_ms": 300,
				"kinds": []map[string]any{{"name": "a100", "mb": 72000.0, "pace": 2.4, "readX": 3.2}},
				"usual": map[string]any{"prompt": 800, "answer": 200},
			}},
			{"name": "desk", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "guild", "apiKeys": []string{"key-1"}}},
	}
}
