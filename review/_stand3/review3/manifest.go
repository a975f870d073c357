package main

// routeConfig is a route of the manifest to one service.
type routeConfig struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix"`
	Service   string `json:"service"`
	Kind      string `json:"kind"`
	TimeoutMs int    `json:"timeoutMs"`
	TargetMs  int    `json:"latencyTargetMs"`
	GapMs     int    `json:"gapTargetMs,omitempty"`
	Priority  int    `json:"priority"`
	Attempts  int    `json:"attempts"`
	Public    bool   `json:"public"`
	Sticky    bool   `json:"sticky"`
	Resumable bool   `json:"resumable"`
}

// The names and the key that the manifests of the cases hold.
const (
	hostName = "ficu95.example"
	apiKey   = "n2ctnfzs989anu6wsjnb"
	desk     = "wuno96b" // plain service
)

// manifestOf returns a manifest with a plain service.
func manifestOf(version int, routes ...routeConfig) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "huvo11a", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false},
			{"name": desk, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "hule930", "apiKeys": []string{apiKey}}},
	}
}
