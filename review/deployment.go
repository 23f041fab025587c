package main

import (
	"context"
	"fmt"
	"time"

	"github.com/bambooladder/bambooladder/review/sim"
)

// Names of the small deployment.
const (
	hostName     = "calls.example"
	adviceName   = "advice"
	ordersName   = "orders"
	modelName    = "base"
	advicePath   = "/advice/"
	ordersPath   = "/orders/"
	streamLimit  = 15 * time.Second
	orderLimit   = 5 * time.Second
	settleTime   = 3 * time.Second
	adapterSlots = 6
	// engineNumber is that of the engine's address.
	engineNumber = 100
)

// Fields of the operator's records.
const (
	fieldName    = "name"
	fieldVersion = "version"
)

// publish writes a manifest with a route of streams to the engines and one of unsafe calls to plain servers.
func (pl *play) publish(target time.Duration, memory int) error {
	_, err := pl.sy.Store.PutJSON(sim.TopicOperators, "config", map[string]any{
		fieldVersion: 1,
		"routes": []any{
			map[string]any{
				fieldName: "r-advice", "host": hostName, "path_prefix": advicePath, "kind": "stream", "timeout_ms": streamLimit.Milliseconds(),
				"target_latency_ms": target.Milliseconds(), "priority": 1, "service": adviceName, "max_attempts": 2, "sticky": true,
				"resumable": true, "gap_aim_ms": 400,
			},
			map[string]any{
				fieldName: "r-orders", "host": hostName, "path_prefix": ordersPath, "kind": "unsafe", "timeout_ms": orderLimit.Milliseconds(),
				"target_latency_ms": 300, "priority": 2, "service": ordersName, "max_attempts": 1,
			},
		},
		"services": []any{
			map[string]any{
				fieldName: adviceName, "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
					"slots": 64, "kv_capacity": memory, "adapter_slots": adapterSlots, "weights_mb": 74600.0, "loads_per_s": 2.1,
					"models": []any{map[string]any{fieldName: modelName, "weights_mb": 72700.0, "load_time_s": 0.5, "adapters": 3000, "adapter_mb": 66.0}},
				},
			},
			map[string]any{fieldName: ordersName, "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	pl.re.Printf("the manifest is acknowledged")
	return err
}

// startEngine starts the engine with its agent.
func (pl *play) startEngine(memory int, eventPeriod time.Duration) (*sim.Engine, error) {
	en, err := sim.StartEngine(pl.re, pl.sy.Store, "i-engine-1", pl.sy.IP(engineNumber), sim.EngineOptions{
		Service: adviceName, Model: modelName, Memory: memory, AdapterSlots: adapterSlots, EventPeriod: eventPeriod, TokensPerEvent: 2,
		LoadTime: 500 * time.Millisecond, AdapterTime: 250 * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	pl.sy.OnClose(en.Close)
	return en, pl.sy.StartAgent(en)
}

// startPlain starts a plain server.
func (pl *play) startPlain(number int, work time.Duration) (*sim.Plain, error) {
	se, err := sim.StartPlain(pl.re, pl.sy.Store, fmt.Sprintf("i-orders-%d", number), ordersName, pl.sy.IP(200+number), work)
	if err != nil {
		return nil, err
	}
	pl.sy.OnClose(se.Close)
	return se, nil
}

// stream returns a call for a stream.
func stream(id, adapter string, prompt, output int, patience time.Duration) *sim.Call {
	return &sim.Call{
		ID: id, Method: "POST", Host: hostName, Path: advicePath + "draft", Body: "prompt of " + id, Model: modelName + "/" + adapter,
		Prompt: prompt, Output: output, Deadline: streamLimit, Patience: patience,
	}
}

// order returns an unsafe call.
func order(id string) *sim.Call {
	return &sim.Call{ID: id, Method: "POST", Host: hostName, Path: ordersPath + "release", Body: "order " + id, Deadline: orderLimit}
}

// awaitServed sends calls through an entry node until one is served.
func (pl *play) awaitServed(ctx context.Context, entry int, newCall func(id string) *sim.Call) error {
	number := 0
	return sim.Await(ctx, func() bool {
		number++
		rt := sim.Send(ctx, pl.re, pl.sy.Entry(entry).Caller, newCall(fmt.Sprintf("probe-%d-%d", entry, number)))
		return rt.Status == 200 && rt.Whole
	})
}
