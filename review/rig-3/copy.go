package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// applyTime is config_apply_ms of the sheet.
	applyTime = 4 * time.Second
	// awayTime is how long the store is away, and rewriteTime how long after its return the operator writes its manifest again.
	awayTime    = time.Second
	rewriteTime = 2 * time.Second
	// downTime is how long the machine of a process that is killed has no power.
	downTime = 1500 * time.Millisecond
	// unknownKey is a key that no manifest ever holds.
	unknownKey = "key-of-nobody"
)

// copyCase takes the store away and lets it come back from a copy that is older than the first manifest with tenants, while an entry
// node is killed and started again.
func copyCase(recordFile string, trouble bool) (int, error) {
	zones := map[string]string{"wk-a": "wes-kaap", "gt-a": "gauteng"}
	hosts := []string{"127.0.94.1", "127.0.94.2"}
	sy, err := newSystem(recordFile, zones, hosts)
	if err != nil {
		return exitNotRun, err
	}
	defer sy.close()
	bd := bounds{drainMs: 4000, configApplyMs: 4000, versionMs: 5000, budgetWindowS: 10, budgetRatio: 0.2, budgetSlack: 104}
	withTenants, without := quotaManifest(), quotaManifest()
	delete(without, "tenants")
	withTenants["version"] = 4
	sy.st.put(operatorsTopic, "config", without)
	for ix, zone := range []string{"wk-a", "gt-a"} {
		if err := sy.addEntry("front-"+zone+"-1", zone, sy.st.address, bd); err != nil {
			return exitNotRun, err
		}
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
	sy.note("all entry nodes are ready; the manifest has no tenants")
	time.Sleep(4 * time.Second)
	older := sy.st.copyOf()
	sy.note("a copy of the store is made")
	time.Sleep(500 * time.Millisecond)
	sy.st.put(operatorsTopic, "config", withTenants)
	cc := &copied{sy: sy, acked: time.Now()}
	sy.note("the manifest with tenants is acknowledged")
	time.Sleep(applyTime)
	stop := make(chan struct{})
	for _, pc := range sy.entries {
		cc.wg.Add(1)
		go cc.sendTo(newCaller(sy, pc), stop)
	}
	time.Sleep(time.Second)
	if trouble {
		if err := cc.drill(older, withTenants); err != nil {
			return exitNotRun, err
		}
	}
	time.Sleep(6 * time.Second)
	close(stop)
	cc.wg.Wait()
	return cc.verdict()
}

// copied is the state of the case.
type copied struct {
	sy    *system
	acked time.Time
	wg    sync.WaitGroup

	mu   sync.Mutex
	sent map[string]outcome
}

// drill takes the store away and back, and kills an entry node meanwhile.
func (cc *copied) drill(older map[string][]record, withTenants any) error {
	sy := cc.sy
	sy.st.leave()
	sy.note("the store is away")
	pc := sy.entries[0]
	_ = pc.cmd.Process.Signal(syscall.SIGKILL)
	_ = pc.cmd.Wait()
	sy.note("%s is killed", pc.name)
	time.Sleep(awayTime)
	sy.st.comeBack(older)
	sy.note("the store is back from the copy, in the next era")
	time.AfterFunc(rewriteTime, func() {
		sy.st.put(operatorsTopic, "config", withTenants)
		sy.note("the operator has written the manifest with tenants again")
	})
	time.Sleep(downTime - awayTime)
	if err := pc.start(); err != nil {
		return err
	}
	sy.note("%s is started again", pc.name)
	return nil
}

// sendTo sends requests with an unknown key and with a tenant's to an entry node.
func (cc *copied) sendTo(ca *caller, stop chan struct{}) {
	defer cc.wg.Done()
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		for _, key := range []string{unknownKey, "key-" + quotaTenants[0]} {
			oc := ca.send("/app/x", key, key, 800*time.Millisecond)
			cc.sy.note("sent %s with %s to %s at %.3f s: status %d, error %v", oc.id, key, ca.pc.name, oc.sentAt.Sub(cc.sy.began).Seconds(), oc.status, oc.err)
			cc.mu.Lock()
			if cc.sent == nil {
				cc.sent = map[string]outcome{}
			}
			cc.sent[oc.id] = oc
			cc.mu.Unlock()
		}
	}
}

// verdict checks the rule ROUTE: no request runs whose key no manifest ever held.
func (cc *copied) verdict() (int, error) {
	count, shown, served := 0, 0, 0
	for _, ru := range cc.sy.rs.all() {
		cc.sy.note("run %s at %s at %.3f s for %q, sent with %s", ru.request, ru.server, ru.at.Sub(cc.sy.began).Seconds(), ru.tenant, ru.body)
		if ru.body == unknownKey {
			count++
		} else {
			served++
		}
		if ru.authorization != "" {
			shown++
		}
	}
	cc.sy.note("%d requests ran whose key no manifest ever held; %d of all runs were shown the caller's key; %d with a tenant's key ran", count, shown, served)
	if served == 0 {
		return exitNotRun, fmt.Errorf("no request with a tenant's key ran")
	}
	if count > 0 || shown > 0 {
		cc.sy.note("ROUTE is broken by %d, UNASKED by %d", count, shown)
		return exitBroken, nil
	}
	return exitHeld, nil
}
