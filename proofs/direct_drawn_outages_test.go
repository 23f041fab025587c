package proofs

import (
	"context"
	"sync"
	"time"
)

// drawnFault is something that happens to a deployment.
type drawnFault interface {
	happen(dw *drawnWorld)
	// class names the cause of finds that the fault shows by itself, empty for none.
	class() string
}

// noClass is the class of faults that break no rule.
type noClass struct{}

func (noClass) class() string { return "" }

// server returns a server.
func (dw *drawnWorld) server(id string) *drawnServer {
	dw.mu.Lock()
	defer dw.mu.Unlock()
	return dw.servers[id]
}

// entry returns an entry node and the host of its present run.
func (dw *drawnWorld) entry(name string) (*drawnEntry, string) {
	dw.mu.Lock()
	defer dw.mu.Unlock()
	de := dw.entries[name]
	return de, de.host()
}

// restartServer ends the run of a server and begins another one.
type restartServer struct {
	noClass
	Server   string
	Downtime time.Duration
	// NewID gives it another ID: another server has its address. Its old record stays if Stays is set. Software is the
	// version of the new run, empty for the old one.
	NewID, Stays bool
	Software     string
	// Resets makes connections end with a reset. AgentToo starts the agent anew.
	Resets, AgentToo bool
}

func (rs restartServer) happen(dw *drawnWorld) {
	sv := dw.server(rs.Server)
	old, ok := sv.endRun(rs.Resets)
	if !ok {
		return
	}
	time.Sleep(rs.Downtime)
	sv.mu.Lock()
	gone := sv.gone
	sv.mu.Unlock()
	if gone {
		return
	}
	sv.beginRun(old, rs)
	if rs.NewID && !rs.Stays {
		dw.removeRecord(old.id)
	}
	dw.writeRecord(sv, false)
	if rs.AgentToo {
		restartAgent{Server: rs.Server}.happen(dw)
	}
}

// serverRun is a run of a server that has ended.
type serverRun struct {
	id   string
	born int64
}

// endRun ends the present run, and returns false if there is none.
func (sv *drawnServer) endRun(resets bool) (serverRun, bool) {
	sv.ba.mu.Lock()
	old, hs := serverRun{id: sv.ba.announcedID, born: sv.ba.born}, sv.ba.httpServer
	sv.ba.born, sv.ba.seq, sv.ba.loaded = 0, 0, map[string]int{}
	sv.ba.mu.Unlock()
	if old.born == 0 {
		return old, false
	}
	_ = hs.Close()
	sv.closeConns(resets)
	return old, true
}

// beginRun begins a run after an old one.
func (sv *drawnServer) beginRun(old serverRun, rs restartServer) {
	sv.ba.mu.Lock()
	sv.ba.born = old.born + 1
	if rs.NewID {
		sv.ba.announcedID = old.id + "x"
	}
	if rs.Software != "" {
		sv.ba.software = rs.Software
	}
	sv.ba.mu.Unlock()
	sv.mu.Lock()
	sv.leaving = false
	sv.mu.Unlock()
	sv.listen()
}

// leaveServer takes a server away for good. Another one with a version of its software may join.
type leaveServer struct {
	noClass
	Server, Joins string
	Announced     bool
	Grace         time.Duration
	Resets        bool
}

func (ls leaveServer) happen(dw *drawnWorld) {
	sv := dw.server(ls.Server)
	sv.mu.Lock()
	again := sv.leaves
	sv.leaves, sv.leaving = true, ls.Announced
	sv.mu.Unlock()
	if again {
		return
	}
	if ls.Announced {
		dw.writeRecord(sv, true)
		time.Sleep(ls.Grace)
	}
	sv.mu.Lock()
	sv.gone = true
	sv.mu.Unlock()
	old, _ := sv.endRun(ls.Resets)
	dw.ds.net.kill(ls.Server)
	dw.ds.net.kill(agentHost(ls.Server))
	if ls.Joins != "" {
		dw.addServer(ls.Server+"-next", sv.ba.service, sv.ba.model, ls.Joins)
	}
	if !ls.Announced {
		time.Sleep(ls.Grace)
	}
	dw.removeRecord(old.id)
}

// vanishRecord removes the record of a server that goes on, and writes it again.
type vanishRecord struct {
	noClass
	Server string
	Gap    time.Duration
}

func (vr vanishRecord) happen(dw *drawnWorld) {
	sv := dw.server(vr.Server)
	sv.ba.mu.Lock()
	id := sv.ba.announcedID
	sv.ba.mu.Unlock()
	dw.removeRecord(id)
	time.Sleep(vr.Gap)
	sv.ba.mu.Lock()
	same := sv.ba.announcedID == id && sv.ba.born > 0
	sv.ba.mu.Unlock()
	if same {
		dw.writeRecord(sv, false)
	}
}

// freezeServer makes a server stand still, with its agent.
type freezeServer struct {
	noClass
	Server string
	Lasts  time.Duration
}

func (fs freezeServer) happen(dw *drawnWorld) {
	dw.ds.net.freeze(fs.Server, fs.Lasts)
	dw.ds.net.freeze(agentHost(fs.Server), fs.Lasts)
}

// restartAgent stops an agent and starts it with nothing known.
type restartAgent struct {
	noClass
	Server string
}

func (ra restartAgent) happen(dw *drawnWorld) {
	dw.agentsTurn <- struct{}{}
	defer func() { <-dw.agentsTurn }()
	sv := dw.server(ra.Server)
	sv.mu.Lock()
	gone := sv.gone
	sv.mu.Unlock()
	if !gone && sv.ba.model != "" {
		_ = dw.agent(ra.Server).Stop(context.Background())
		dw.startAgent(sv.ba)
	}
}

// endEntries stops or kills entry nodes at once, and starts them again.
type endEntries struct {
	noClass
	Entries  []string
	Kills    bool
	Downtime time.Duration
}

func (ee endEntries) happen(dw *drawnWorld) {
	wg := sync.WaitGroup{}
	for _, name := range ee.Entries {
		wg.Go(func() { ee.restart(dw, name) })
	}
	wg.Wait()
}

// restart ends an entry node and starts it again.
func (ee endEntries) restart(dw *drawnWorld, name string) {
	de, host := dw.entry(name)
	if !dw.setEnding(de, true) {
		return
	}
	from := time.Now()
	if ee.Kills {
		dw.ds.net.kill(host)
		time.AfterFunc(noticeTime, func() { dw.noticeEnd(de, host) })
	} else {
		dw.recordStop(name)
		time.AfterFunc(noticeTime, func() { dw.noticeEnd(de, host) })
		_ = de.app.Stop(context.Background())
		from = dw.endOfStop(name, from)
	}
	time.Sleep(ee.Downtime)
	dw.restartEntry(de, host, from)
}

func (ee endEntries) planned() bool { return !ee.Kills }

// freezeEntry makes an entry node stand still.
type freezeEntry struct {
	noClass
	Entry string
	Lasts time.Duration
}

func (fe freezeEntry) happen(dw *drawnWorld) {
	_, host := dw.entry(fe.Entry)
	dw.ds.net.freeze(host, fe.Lasts)
	dw.openSpan(drawnSpan{entry: fe.Entry, from: time.Now(), to: time.Now().Add(fe.Lasts), frozen: true})
}

// cutOff lets an entry node lose the agent of a server, or of all engines if none is named, and the servers as well unless
// AgentAlone is set.
type cutOff struct {
	noClass
	Entry, Server string
	AgentAlone    bool
	Lasts         time.Duration
}

func (co cutOff) happen(dw *drawnWorld) {
	_, host := dw.entry(co.Entry)
	hosts := co.hosts(dw)
	for _, other := range hosts {
		dw.ds.net.partition(host, other)
	}
	time.Sleep(co.Lasts)
	for _, other := range hosts {
		dw.ds.net.healPartition(host, other)
	}
}

// hosts returns the hosts that the entry node loses.
func (co cutOff) hosts(dw *drawnWorld) []string {
	if co.Server != "" {
		return co.hostsOf(co.Server)
	}
	hosts := []string(nil)
	for ix := range dw.plan.Engines {
		hosts = append(hosts, co.hostsOf(engineName(ix))...)
	}
	return hosts
}

// hostsOf returns the hosts of a server that the entry node loses.
func (co cutOff) hostsOf(id string) []string {
	if co.AgentAlone {
		return []string{agentHost(id)}
	}
	return []string{agentHost(id), id}
}
