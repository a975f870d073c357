package main

// The names of the day, as the pages choose them anew for each.
const (
	routeHost   = "ficu95.example"
	prefixRead  = "/lookup/"
	prefixPay   = "/pay/"
	prefixDraft = "/draft/"
	prefixNight = "/night/"
	tenantName  = "hule930"
	tenantKey   = "n2ctnfzs989anu6wsjnb"
	deskService = "festival-desk"
	poolService = "sassafras-pool"
	modelName   = "daka510000"
	modelLayers = 4
)

// manifest returns a manifest with the routes and services of craie-dakar.
func manifest(version int) map[string]any {
	return map[string]any{
		"version": version,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
		"routes": []map[string]any{
			{"name": "pitch-lookup", "host": routeHost, "prefix": prefixRead, "kind": "idempotent", "timeoutMs": 1200, "latencyTargetMs": 150, "priority": 2, "service": deskService, "attempts": 2},
			{"name": "pitch-pay", "host": routeHost, "prefix": prefixPay, "kind": "non_idempotent", "timeoutMs": 1200, "latencyTargetMs": 150, "priority": 2, "service": deskService, "attempts": 1},
			{"name": "bio-draft", "host": routeHost, "prefix": prefixDraft, "kind": "streaming", "timeoutMs": 20000, "latencyTargetMs": 500, "gapTargetMs": 250, "priority": 0, "service": poolService, "attempts": 2, "resumable": true, "sticky": true},
			{"name": "night-summary", "host": routeHost, "prefix": prefixNight, "kind": "streaming", "timeoutMs": 20000, "latencyTargetMs": 1000, "gapTargetMs": 250, "priority": 2, "service": poolService, "attempts": 2, "resumable": false, "sticky": true},
		},
		"services": []map[string]any{
			{"name": deskService, "healthPath": "/healthz"},
			{"name": poolService, "healthPath": "/healthz", "engine": map[string]any{
				"models": []map[string]any{{"name": modelName}}, "kvTokenBytes": 590000, "step_ms": 1.02, "per_seq_ms": 0.00459, "context_per_k": 0.00615, "read_per_s": 164000.0, "stride": 4,
				"layers": modelLayers, "layerMb": 1750.0, "actBytes": 29500, "pipeMbps": 13000.0, "kinds": []map[string]any{{"name": "a100", "mb": 72000.0, "pace": 2.4, "readX": 3.2}},
				"usual": map[string]any{"prompt": 760, "answer": 172},
			}},
		},
		"tenants": []map[string]any{{"name": tenantName, "apiKeys": []string{tenantKey}}},
	}
}

// plainEntry returns the entry of a runner of the plain service.
func plainEntry(address, zone string, born int64) map[string]any {
	return map[string]any{
		"service": deskService, "addr": address, "zone": zone, "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": born,
	}
}

// modelEntry returns the entry of a model runner that holds no layers yet.
func modelEntry(address, zone string, born int64) map[string]any {
	return map[string]any{
		"service": poolService, "addr": address, "zone": zone, "version": "v1", "slots": 192, "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": born,
		"kind": "a100", "stage": "prefill_decode", "models": []map[string]any{{"name": modelName, "version": 1, "adapters": []string{}}},
	}
}
