package main

import (
	"fmt"
	"time"
)

const (
	// stableWindow is stable_window_ms of the sheet.
	stableWindow = 4 * time.Second
	// retriesMax is the number of retries that the rule allows, and crashesMax that of crashes after which it counts them.
	retriesMax = 3
	crashesMax = 3
	// comesAgain is the time between two attempts of the caller with the deadly request.
	comesAgain = 700 * time.Millisecond
	// settleTime is how long after the last restart the caller sends again: all machines are in touch then.
	settleTime = stableWindow + 500*time.Millisecond
	deadlyBody = "the request that ends its runner"
)

// deadlyManifest is the operators' manifest.
func deadlyManifest() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-stock", "host": hostName, "path_prefix": "/stock/", "kind": "safe", "timeout_ms": 800, "target_latency_ms": 150, "priority": 2,
			"service": "stock", "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": "stock", "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false}, engineService("models")},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// deadlyCase sends a request that crashes each runner that begins to run it, again and again, while all machines are stopped and
// started in turn, twice.
func deadlyCase(recordFile string, trouble bool) (int, error) {
	zones := map[string]string{"mu-north-a": "mu-north", "re-west-a": "re-west", "za-cape-a": "za-cape"}
	names := []string{"mu-north-a", "re-west-a", "za-cape-a"}
	hosts := []string{"127.0.92.1", "127.0.92.2", "127.0.92.3"}
	sy, err := newSystem(recordFile, zones, hosts)
	if err != nil {
		return exitNotRun, err
	}
	defer sy.close()
	bd := bounds{drainMs: 2500, configApplyMs: 2500, versionMs: 5000, budgetWindowS: 10, budgetRatio: 0.2, budgetSlack: 52}
	sy.st.put(operatorsTopic, "config", deadlyManifest())
	for ix, zone := range names {
		if err := sy.addEntry("front-"+zone+"-1", zone, sy.st.address, bd); err != nil {
			return exitNotRun, err
		}
		if err := sy.addEngine(fmt.Sprintf("i-e%d", ix+1), "models", hosts[ix], zone); err != nil {
			return exitNotRun, err
		}
		rn := &runner{id: fmt.Sprintf("i-s%d", ix+1), service: "stock", zone: zone, work: 15 * time.Millisecond, deadly: deadlyBody, back: 2 * time.Second, st: sy.st, rs: sy.rs}
		if err := rn.start(loopback); err != nil {
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
	dc := &deadly{sy: sy}
	for _, pc := range sy.entries {
		dc.callers = append(dc.callers, newCaller(sy, pc))
	}
	time.Sleep(settleTime)
	dc.sendFor(9 * time.Second)
	for round := range 2 {
		if trouble {
			if err := dc.roll(round + 1); err != nil {
				return exitNotRun, err
			}
		}
		time.Sleep(settleTime)
		dc.sendFor(9 * time.Second)
	}
	return dc.verdict()
}

// deadly is the state of the case.
type deadly struct {
	sy      *system
	callers []*caller
	turn    int
}

// sendFor sends the deadly request and sound ones to the entry nodes in turn.
func (dc *deadly) sendFor(period time.Duration) {
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(comesAgain) {
		ca := dc.callers[dc.turn%len(dc.callers)]
		dc.turn++
		oc := ca.send("/stock/x", "", deadlyBody, 800*time.Millisecond)
		dc.sy.note("deadly request %s to %s: status %d, error %v", oc.id, ca.pc.name, oc.status, oc.err)
		sound := ca.send("/stock/x", "", "sound", 800*time.Millisecond)
		dc.sy.note("sound request %s to %s: status %d, error %v", sound.id, ca.pc.name, sound.status, sound.err)
	}
}

// roll stops and starts all machines in turn.
func (dc *deadly) roll(round int) error {
	for _, pc := range append(append([]*process(nil), dc.sy.agents...), dc.sy.entries...) {
		if err := pc.restart(); err != nil {
			return err
		}
		dc.sy.note("rolling restart %d: %s was stopped and started, which took %.1f s", round, pc.name, time.Since(pc.termAt).Seconds())
		time.Sleep(time.Second)
	}
	return dc.sy.awaitReady(10 * time.Second)
}

// verdict checks the rule BUDGET: how often the deadly request reached a runner later than the stable window after it had crashed
// the third one. No machine was stopped or started in the stable window before any of these.
func (dc *deadly) verdict() (int, error) {
	crashes := []run{}
	for _, ru := range dc.sy.rs.all() {
		if ru.crashed {
			crashes = append(crashes, ru)
			dc.sy.note("request %s crashed runner %s at %.3f s", ru.request, ru.server, ru.at.Sub(dc.sy.began).Seconds())
		}
	}
	if len(crashes) < crashesMax {
		return exitNotRun, fmt.Errorf("the deadly request crashed only %d runners", len(crashes))
	}
	retries := 0
	for _, ru := range crashes[crashesMax:] {
		if ru.at.Sub(crashes[crashesMax-1].at) > stableWindow {
			retries++
		}
	}
	dc.sy.note("%d retries reached runners later than %v after the third crash; allowed %d", retries, stableWindow, retriesMax)
	if retries > retriesMax {
		dc.sy.note("BUDGET is broken")
		return exitBroken, nil
	}
	return exitHeld, nil
}
