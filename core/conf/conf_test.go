package conf

import (
	"errors"
	"strings"
	"testing"
)

const validTree = `deployment:
  store_loads_per_second: 4
  store_loads_in_flight: 8
  request_timeout_ms: 30000
  body_bytes: 1048576
  retry_percent: 10
models:
  base: {}
adapters:
  batch-sheet: {model: base, versions: [3, 4]}
services:
  ledger:
    calls: [{method: POST, path: /queries, repeatable: true}]
teams:
  recipe:
    adapters: [batch-sheet@3]
    services: [ledger]
    urgency: urgent
    limits: {requests_per_second: 1, burst: 1, in_flight: 1}
    weights: {load_stall: 1, batch_efficiency: 1, queueing: 1, region_crossing: 1}
    tokens: []
`

func TestParseTreeReportsThePositionOfAnInvalidValue(t *testing.T) {
	cases := []struct {
		name, old, replacement, position string
	}{
		{"unknown key", "urgency: urgent", "urgency: urgent\n    colour: red", ":19:"},
		{"wrong type", "in_flight: 1}", "in_flight: many}", ":19:"},
		{"unknown adapter version", "[batch-sheet@3]", "[batch-sheet@9]", ":16:"},
		{"unknown service", "services: [ledger]", "services: [payroll]", ":17:"},
		{"unknown base model", "model: base,", "model: other,", ":10:"},
		{"adapter without a version", "[batch-sheet@3]", "[batch-sheet]", ":16:"},
		{"unknown urgency", "urgency: urgent", "urgency: soon", ":18:"},
		{"negative weight", "queueing: 1", "queueing: -1", ":20:"},
		{"percentage above 100", "retry_percent: 10", "retry_percent: 101", ":6:"},
		{"lower-case method", "method: POST", "method: post", ":13:"},
		{"invalid YAML", "models:", "models: [", ""},
		{"empty file", validTree, "", ":1:"},
	}
	if _, err := ParseTree("tree.yaml", []byte(validTree)); err != nil {
		t.Fatal(err)
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := ParseTree("tree.yaml", []byte(strings.Replace(validTree, tc.old, tc.replacement, 1)))
			fe := &FileError{}
			if !errors.As(err, &fe) || fe.Remedy == "" || !strings.Contains(err.Error(), "tree.yaml"+tc.position) {
				t.Fatalf("error %v, want a *FileError with a remedy at the line of the value", err)
			}
		})
	}
}

func TestMayRepeatUsesTheLongestPrefixAndDefaultsToGetAndHead(t *testing.T) {
	se := Service{Calls: []Call{{Method: "POST", Path: "/queries", Repeatable: true}, {Method: "GET", Path: "/draw", Repeatable: false}, {Method: "POST", Path: "/queries/book", Repeatable: false}}}
	cases := []struct {
		method, path string
		want         bool
	}{
		{"GET", "/stock", true}, {"HEAD", "/stock", true}, {"POST", "/releases", false}, {"DELETE", "/x", false},
		{"POST", "/queries/today", true}, {"POST", "/queries/book/1", false}, {"GET", "/draw/1", false},
	}
	for _, tc := range cases {
		if got := se.MayRepeat(tc.method, tc.path); got != tc.want {
			t.Errorf("MayRepeat(%s, %s) = %t, want the opposite", tc.method, tc.path, got)
		}
	}
}

// A tree that ParseTree accepts must pass Check.
const validDirectEntry = `place: {name: front-1, region: r1, zone: z1}
caller_address: 127.0.0.1:1
ready_address: 127.0.0.1:2
peer_address: 127.0.0.1:3
peers: []
agent_port: 7
metrics_address: ""
log_address: 127.0.0.1:4
memory_mb: 284
stop_ms: 8000
leave_ms: 2500
version_ms: 5000
routes_ms: 2500
retry_share: 0.2
retry_window_ms: 10000
retry_slack: 50
regions: {z1: r1}
`

func TestBudgetForCallersMustFitTheMemory(t *testing.T) {
	for value, valid := range map[string]bool{
		"0": true, "8388608": true, "148897792": true, "-1": false, "8388607": false, "148897793": false,
	} {
		_, err := ParseDirectEntry("entry.yaml", []byte(validDirectEntry+"callers_hold_bytes: "+value+"\n"))
		fe := &FileError{}
		if valid != (err == nil) || !valid && (!errors.As(err, &fe) || fe.Line != 18) {
			t.Errorf("callers_hold_bytes %s: error %v, want valid %t", value, err, valid)
		}
	}
}

func FuzzParseTree(fu *testing.F) {
	fu.Add([]byte(validTree))
	fu.Add([]byte("teams: {a: {adapters: ['@']}}"))
	fu.Fuzz(func(t *testing.T, data []byte) {
		tr, err := ParseTree("tree.yaml", data)
		if err == nil && tr.Check() != nil {
			t.Fatal("ParseTree accepted a tree that Check rejects")
		}
	})
}
