package main

const (
	llmHost, llmKey = "counter.example", "n2ctnfzs989anu6wsjnb"
)

// llmConfig returns a configuration with one service of engines and one route of streams.
func llmConfig(slots, tokens int) map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-chat", "host": llmHost, "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 1500,
			"targetGapMs": 1000, "priority": 0, "service": "pool", "maxAttempts": 1, "public": false, "sticky": true, "resumable": false,
		}},
		"services": []any{map[string]any{
			"name": "pool", "healthPath": "/health", "maxConnections": 710, "protocol": "h1", "tls": false, "coldStartS": 0, "coldPerS": 0,
			"inferenceEngine": map[string]any{"slots": slots, "kvCacheTokens": tokens, "kvTokenBytes": 35136, "linkMbps": 180000},
		}},
		"limits":  limitsConfig(),
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{llmKey}}},
	}
}

func limitsConfig() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}
