package main

import (
	"fmt"
	"sync"
	"time"
)

// The figures of the sheet, and of the rule QUOTA.
const (
	quotaWindow = 8 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 17_000
	// ratePerS and burst are the allowance of each tenant, in tokens.
	ratePerS = 5_000
	burst    = 5_000
	// cutTime is how long the link to the store is cut.
	cutTime = 12 * time.Second
	// hotTime is how long the tenant sends several times its usual.
	hotTime = 11 * time.Second
	// sendPeriod is the time between two requests of the tenant at one entry node.
	sendPeriod = 20 * time.Millisecond
)

// quotaTenants are the tenants of the manifest.
var quotaTenants = []string{"maresa", "tolvane", "quillon", "ardisa", "benroth", "calvera", "dunmore", "estrada"}

// quotaManifest is the operators' manifest.
func quotaManifest() map[string]any {
	tenants := []any{}
	for _, name := range quotaTenants {
		tenants = append(tenants, map[string]any{
			"name": name, "api_keys": []string{"key-" + name}, "priority": 0, "rate_per_s": ratePerS, "burst": burst, "unit": "token_count", "plain_tokens": plainTokens,
		})
	}
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-app", "host": hostName, "path_prefix": "/app/", "kind": "safe", "timeout_ms": 800, "target_latency_ms": 150, "priority": 2,
			"service": "app", "max_attempts": 2,
		}},
		"services": []any{
			map[string]any{"name": "app", "health_path": "/health", "max_conns": 250, "protocol": "h1", "tls": false},
			engineService("models"),
		},
		"tenants": tenants,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// engineService is a service of engines in a manifest.
func engineService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": 64, "kv_capacity": 100000, "adapter_slots": 6, "weights_mb": 74600.0, "loads_per_s": 2.1,
		"models": []any{map[string]any{"name": modelName, "weights_mb": 72700.0, "load_time_s": 4.3, "adapters": 3000, "adapter_mb": 66.0}},
	}}
}

// quotaCase cuts one of three entry nodes off the store, adds an engine and makes a tenant send several times what it may.
func quotaCase(recordFile string, trouble bool) (int, error) {
	zones := map[string]string{"wk-a": "wes-kaap", "gt-a": "gauteng"}
	hosts := []string{"127.0.91.1", "127.0.91.2", "127.0.91.3", "127.0.91.4"}
	sy, err := newSystem(recordFile, zones, hosts)
	if err != nil {
		return exitNotRun, err
	}
	defer sy.close()
	px, err := startProxy(sy.st.address)
	if err != nil {
		return exitNotRun, err
	}
	bd := bounds{drainMs: 4000, configApplyMs: 4000, versionMs: 5000, budgetWindowS: 10, budgetRatio: 0.2, budgetSlack: 104}
	for _, en := range [][3]string{{"front-wk-a-1", "wk-a", px.address}, {"front-gt-a-1", "gt-a", sy.st.address}, {"front-gt-a-2", "gt-a", sy.st.address}} {
		if err := sy.addEntry(en[0], en[1], en[2], bd); err != nil {
			return exitNotRun, err
		}
	}
	sy.st.put(operatorsTopic, "config", quotaManifest())
	for ix, zone := range []string{"wk-a", "gt-a", "gt-a"} {
		if err := sy.addEngine(fmt.Sprintf("i-e%d", ix+1), "models", hosts[ix], zone); err != nil {
			return exitNotRun, err
		}
		app := &runner{id: fmt.Sprintf("i-a%d", ix+1), service: "app", zone: zone, work: 5 * time.Millisecond, st: sy.st, rs: sy.rs}
		if err := app.start(loopback); err != nil {
			return exitNotRun, err
		}
	}
	if err := sy.startEntries(); err != nil {
		return exitNotRun, err
	}
	if err := sy.awaitReady(10 * time.Second); err != nil {
		return exitNotRun, err
	}
	sy.note("all entry nodes are ready")
	lo := &load{sy: sy}
	// All tenants send a little, so that their accounts have begun.
	lo.trickle(6 * time.Second)
	if trouble {
		px.setCut(true)
		sy.note("front-wk-a-1 is cut off from the store for %v", cutTime)
		time.AfterFunc(cutTime, func() {
			px.setCut(false)
			sy.note("front-wk-a-1 reaches the store again")
		})
	}
	lo.trickle(500 * time.Millisecond)
	if err := sy.addEngine("i-e4", "models", hosts[3], "gt-a"); err != nil {
		return exitNotRun, err
	}
	sy.note("an engine is added at %s, with the process beside it", hosts[3])
	lo.trickle(4 * time.Second)
	hot := quotaTenants[hotIndex]
	sy.note("tenant %s sends %d requests of %d tokens a second to each of 3 entry nodes; it may use %d tokens a second and %d at once", hot, int(time.Second/sendPeriod), plainTokens, ratePerS, burst)
	lo.burst(hot, hotTime)
	time.Sleep(time.Second)
	return lo.verdict()
}

// hotIndex is the tenant that is hot: one whose account moves to the agent beside the added engine.
const hotIndex = 2

// load sends the requests of tenants and keeps when.
type load struct {
	sy *system

	mu       sync.Mutex
	sent     map[string]time.Time
	statuses map[string]int
	wg       sync.WaitGroup
}

// one sends one request.
func (lo *load) one(ca *caller, tenant string) {
	lo.wg.Add(1)
	go func() {
		defer lo.wg.Done()
		oc := ca.send("/app/x", "key-"+tenant, "ask", 800*time.Millisecond)
		text := fmt.Sprint(oc.status)
		if oc.err != nil {
			text = "no answer"
		}
		lo.sy.note("sent %s for %s to %s at %.3f s: %s", oc.id, tenant, ca.pc.name, oc.sentAt.Sub(lo.sy.began).Seconds(), text)
		lo.mu.Lock()
		defer lo.mu.Unlock()
		if lo.sent == nil {
			lo.sent, lo.statuses = map[string]time.Time{}, map[string]int{}
		}
		lo.sent[oc.id] = oc.sentAt
		lo.statuses[ca.pc.name+" "+tenant+" "+text]++
	}()
}

// trickle sends requests of all tenants for a while, far below their allowances.
func (lo *load) trickle(period time.Duration) {
	callers := lo.callers()
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for _, tenant := range quotaTenants {
			for _, ca := range callers {
				lo.one(ca, tenant)
			}
		}
	}
	lo.wg.Wait()
}

// callers returns a caller for each entry node.
func (lo *load) callers() []*caller {
	list := []*caller{}
	for _, pc := range lo.sy.entries {
		list = append(list, newCaller(lo.sy, pc))
	}
	return list
}

// burst sends requests of one tenant for a while.
func (lo *load) burst(tenant string, period time.Duration) {
	callers := lo.callers()
	tick := time.NewTicker(sendPeriod)
	defer tick.Stop()
	for end := time.Now().Add(period); time.Now().Before(end); <-tick.C {
		for _, ca := range callers {
			lo.one(ca, tenant)
		}
	}
	lo.wg.Wait()
}

// verdict checks the rule QUOTA over all sliding windows.
func (lo *load) verdict() (int, error) {
	sy := lo.sy
	for _, ru := range sy.rs.all() {
		sy.note("run %s for %s at %s at %.3f s: %d tokens", ru.request, ru.tenant, ru.server, ru.at.Sub(sy.began).Seconds(), ru.tokens)
	}
	for key, count := range lo.statuses {
		sy.note("%s: %d", key, count)
	}
	allowed := float64(ratePerS*quotaWindow.Seconds()+burst)*(1+quotaOver) + quotaSlack
	code := exitHeld
	for _, tenant := range quotaTenants {
		most, from := 0, time.Time{}
		list := []run{}
		for _, ru := range sy.rs.all() {
			if ru.tenant == tenant {
				list = append(list, ru)
			}
		}
		for ix := range list {
			begin, tokens := list[ix].at, 0
			for _, ru := range list[ix:] {
				// The rule counts what is both sent and run in the window.
				if ru.at.Sub(begin) <= quotaWindow && !lo.sent[ru.request].Before(begin.Add(-100*time.Millisecond)) {
					tokens += ru.tokens
				}
			}
			if tokens > most {
				most, from = tokens, begin
			}
		}
		sy.note("tenant %s: at most %d tokens in %v (from %.3f s); allowed %.0f", tenant, most, quotaWindow, from.Sub(sy.began).Seconds(), allowed)
		if float64(most) > allowed {
			sy.note("QUOTA is broken for tenant %s", tenant)
			code = exitBroken
		}
	}
	return code, nil
}
