package proofs

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/platform/site"
)

// Ports of a site. Each process and each server has an address of its own.
const (
	sitePortLock   = 18290
	sitePortLog    = 18291
	sitePortServer = 18292
	sitePortFront  = 18293
	sitePortReady  = 18294
	sitePortPeers  = 18295
	sitePortAgent  = 18296
)

// Last parts of the addresses of a site, each the first of its kind.
const (
	siteHostLog    = 1
	siteHostProxy  = 20
	siteHostEntry  = 40
	siteHostEngine = 60
	siteHostPlain  = 120
)

const (
	siteZone = "zone-1"
	// siteGrace is the time between SIGTERM and SIGKILL.
	siteGrace = 8 * time.Second
	// siteReadyMax is how long entry nodes may take until they are ready.
	siteReadyMax = 30 * time.Second
	siteMemoryMb = 284
)

// platformSite is a deployment of the programs of the platform's way, with stand-ins for the platform.
type platformSite struct {
	t      *testing.T
	dir    string
	prefix string
	roles  map[string]siteRole
	lo     *site.Log
	runs   *site.Runs
	// proxies holds the proxy between each entry node and the log.
	proxies []*proxy
	entries []*siteNode

	mu     sync.Mutex
	agents []*siteNode
	// servers holds engines and plain servers in the order of their starts.
	servers  []*siteServer
	problems []string
}

// siteRole is what the deploy file says of a role.
type siteRole struct{ run, template string }

// siteServer is a backend server, with the number that its address ends with.
type siteServer struct {
	*site.Server
	id, software string
	host         int
}

// problem records a violated guarantee.
func (ps *platformSite) problem(format string, args ...any) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.problems = append(ps.problems, fmt.Sprintf(format, args...))
}

// deployFile returns the build command and the roles of the deploy file.
func deployFile(tb testing.TB) (string, map[string]siteRole) {
	tb.Helper()
	data, err := os.ReadFile("../deploy/system.toml")
	if err != nil {
		tb.Fatal(err)
	}
	build, section, roles := "", "", map[string]siteRole{}
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if name, found := strings.CutPrefix(line, "[roles."); found {
			section = strings.TrimSuffix(name, "]")
		}
		key, value, _ := strings.Cut(line, " = ")
		value = strings.Trim(value, `"`)
		ro := roles[section]
		switch key {
		case "build":
			build = value
		case "run":
			ro.run = value
		case "template":
			ro.template = value
		}
		roles[section] = ro
	}
	return build, roles
}

var (
	buildSiteOnce sync.Once
	errBuildSite  error
)

// buildSite builds the programs once with the build command of the deploy file.
func buildSite(tb testing.TB, command string) {
	tb.Helper()
	buildSiteOnce.Do(func() {
		cmd := exec.Command("sh", "-c", command)
		cmd.Dir = ".."
		if data, err := cmd.CombinedOutput(); err != nil {
			errBuildSite = fmt.Errorf("%w: %s", err, data)
		}
	})
	if errBuildSite != nil {
		tb.Fatal(errBuildSite)
	}
}

// siteAddresses returns a range of loopback addresses that no other test uses until this one ends.
func siteAddresses(tb testing.TB) string {
	tb.Helper()
	for number := os.Getpid(); number < os.Getpid()+1000; number++ {
		prefix := fmt.Sprintf("127.%d.%d.", 2+number/256%250, number%256)
		ls, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, siteHostLog, sitePortLock))
		if err == nil {
			tb.Cleanup(func() { _ = ls.Close() })
			return prefix
		}
	}
	tb.Fatal("no free range of addresses")
	return ""
}

// newPlatformSite starts the log, without any process, until the test ends.
func newPlatformSite(t *testing.T) *platformSite {
	t.Helper()
	build, roles := deployFile(t)
	buildSite(t, build)
	ps := &platformSite{t: t, dir: t.TempDir(), prefix: siteAddresses(t), roles: roles, runs: &site.Runs{}}
	lo, err := site.StartLog(ps.address(siteHostLog, sitePortLog))
	if err != nil {
		t.Fatal(err)
	}
	ps.lo = lo
	t.Cleanup(lo.Close)
	t.Cleanup(ps.close)
	return ps
}

// address returns an address of the site.
func (ps *platformSite) address(host, port int) string { return ps.ip(host) + ":" + strconv.Itoa(port) }

// ip returns an IP address of the site.
func (ps *platformSite) ip(host int) string { return ps.prefix + strconv.Itoa(host) }

// close kills all processes, ends the servers and checks that no process is left.
func (ps *platformSite) close() {
	for _, sn := range append(ps.entries, ps.agentList()...) {
		sn.kill()
	}
	for _, sv := range ps.serverList() {
		sv.Close()
	}
	checkProcessesEnded(ps.t, ps.dir)
}

// agentList returns the agents that have been started so far.
func (ps *platformSite) agentList() []*siteNode {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return append([]*siteNode(nil), ps.agents...)
}

// serverList returns the servers that have been started so far.
func (ps *platformSite) serverList() []*siteServer {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return append([]*siteServer(nil), ps.servers...)
}

// startEntries starts entry nodes and waits until they are ready. Each reaches the log through a proxy.
func (ps *platformSite) startEntries(count int) {
	for number := range count {
		ps.proxies = append(ps.proxies, startProxy(ps.t, ps.address(siteHostProxy+number, sitePortLog), ps.lo.Address))
		ps.entries = append(ps.entries, &siteNode{ps: ps, name: fmt.Sprintf("entry-%d", number+1), role: "entry", host: siteHostEntry + number, number: number, count: count})
	}
	for _, sn := range ps.entries {
		if err := sn.start(true); err != nil {
			ps.t.Fatal(err)
		}
	}
	for end := time.Now().Add(siteReadyMax); !ps.allReady(); time.Sleep(soakPollPeriod) {
		if time.Now().After(end) {
			ps.t.Fatalf("the entry nodes are not ready within %s", siteReadyMax)
		}
	}
}

// allReady reports whether all entry nodes are ready.
func (ps *platformSite) allReady() bool {
	for _, sn := range ps.entries {
		if !sn.ready() {
			return false
		}
	}
	return true
}

// startServer starts a backend server, and its agent if it is an engine.
func (ps *platformSite) startServer(host int, op site.Options) error {
	op.Address, op.Zone, op.Runs = ps.address(host, sitePortServer), siteZone, ps.runs
	if op.Model != "" {
		sn := &siteNode{ps: ps, name: "agent-" + op.ID, role: "agent", host: host}
		if err := sn.start(true); err != nil {
			return err
		}
		ps.mu.Lock()
		ps.agents = append(ps.agents, sn)
		ps.mu.Unlock()
	}
	se, err := site.Start(ps.lo, op)
	if err != nil {
		return err
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.servers = append(ps.servers, &siteServer{Server: se, id: op.ID, software: op.Software, host: host})
	return nil
}

// siteNode is an entry node or an agent, whose process faults signal and replace.
type siteNode struct {
	ps         *platformSite
	name, role string
	host       int
	// number is that of an entry node, count the number of all.
	number, count int
	// restarts makes restarts happen one after the other.
	restarts sync.Mutex

	mu      sync.Mutex
	process *siteProcess
	// disturbed holds when the node was paused or replaced.
	disturbed []siteSpan
}

// siteSpan is a stretch of time.
type siteSpan struct{ from, to time.Time }

// siteProcess is one process of a node.
type siteProcess struct {
	cmd *exec.Cmd
	// ended is closed once the process has ended, with what Wait has returned in err.
	ended chan struct{}
	err   error
	// log is the log of the node, logBytes its size when the process started.
	log      string
	logBytes int64

	mu sync.Mutex
	// mayEnd is true once the process has been told to end.
	mayEnd bool
}

// settings returns the settings of the process, from the template of the deploy file.
func (sn *siteNode) settings(first bool) (string, error) {
	template, err := os.ReadFile(filepath.Join("..", sn.ps.roles[sn.role].template))
	if err != nil {
		return "", err
	}
	values := map[string]any{
		"node_name|json": sn.name, "region|json": "region-1", "zone|json": siteZone, "internal_port_range.0": sitePortAgent,
		"app|json": sn.ps.address(sn.host, sitePortServer), "limits.memory_mb": siteMemoryMb,
		"listen_addrs.front|json": sn.ps.address(sn.host, sitePortFront), "listen_addrs.ready|json": sn.ps.address(sn.host, sitePortReady),
		"listen_addrs.control|json": sn.ps.address(sn.host, sitePortPeers), "seeds|json": sn.peers(),
		"platform.address|json": sn.ps.address(siteHostProxy+sn.number, sitePortLog), "bounds.grace_s": int(siteGrace.Seconds()),
		"bounds.drain_ms": 2500, "bounds.version_ms": 5000, "bounds.config_apply_ms": 2500, "bounds.budget_ratio": 0.2,
		"bounds.budget_window_s": 10, "bounds.budget_slack": 52, "bootstrap": first, "zones|json": map[string]string{siteZone: "region-1"},
	}
	text := strings.ReplaceAll(string(template), "{{ip}}", sn.ps.ip(sn.host))
	for name, value := range values {
		data, err := json.Marshal(value)
		if err != nil {
			return "", err
		}
		text = strings.ReplaceAll(text, "{{"+name+"}}", string(data))
	}
	return text, nil
}

// peers returns the addresses of all entry nodes for each other.
func (sn *siteNode) peers() []string {
	list := make([]string, 0, sn.count)
	for number := range sn.count {
		list = append(list, sn.ps.address(siteHostEntry+number, sitePortPeers))
	}
	return list
}

// start starts a process with the command of the deploy file.
func (sn *siteNode) start(first bool) error {
	text, err := sn.settings(first)
	if err != nil {
		return err
	}
	file := filepath.Join(sn.ps.dir, sn.name+".yaml")
	if err = os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(sn.ps.dir, sn.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	info, err := log.Stat()
	if err != nil {
		return err
	}
	args := strings.Fields(strings.ReplaceAll(sn.ps.roles[sn.role].run, "/etc/bambooladder/settings.toml", file))
	cmd := exec.Command(filepath.Join("..", args[0]), args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "RUN_DIR="+sn.ps.dir)
	if err := cmd.Start(); err != nil {
		return err
	}
	pr := &siteProcess{cmd: cmd, ended: make(chan struct{}), log: log.Name(), logBytes: info.Size()}
	go sn.watch(pr)
	sn.mu.Lock()
	defer sn.mu.Unlock()
	sn.process = pr
	return nil
}

// watch waits for the end of a process, which is a problem if nothing has told it to end.
func (sn *siteNode) watch(pr *siteProcess) {
	pr.err = pr.cmd.Wait()
	pr.mu.Lock()
	mayEnd := pr.mayEnd
	pr.mu.Unlock()
	if !mayEnd {
		sn.ps.problem("%s has ended by itself: %v", sn.name, pr.err)
	}
	close(pr.ended)
}

// current returns the latest process.
func (sn *siteNode) current() *siteProcess {
	sn.mu.Lock()
	defer sn.mu.Unlock()
	return sn.process
}

// disturb records a stretch of time in which the node was paused or replaced.
func (sn *siteNode) disturb(from time.Time) {
	sn.mu.Lock()
	defer sn.mu.Unlock()
	sn.disturbed = append(sn.disturbed, siteSpan{from: from, to: time.Now()})
}

// wasDisturbed reports whether the node was paused or replaced in a stretch of time.
func (sn *siteNode) wasDisturbed(from, to time.Time) bool {
	sn.mu.Lock()
	defer sn.mu.Unlock()
	for _, sp := range sn.disturbed {
		if sp.from.Before(to) && sp.to.After(from) {
			return true
		}
	}
	return false
}

// pause stops the latest process for a while, even if it is replaced meanwhile.
func (sn *siteNode) pause(length time.Duration) {
	defer sn.disturb(time.Now())
	ps := sn.current().cmd.Process
	_ = ps.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	_ = ps.Signal(syscall.SIGCONT)
}

// tell sends a signal that ends the process.
func (pr *siteProcess) tell(sig syscall.Signal) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.mayEnd = true
	_ = pr.cmd.Process.Signal(sig)
}

// awaitEnd reports whether the process has ended within a time.
func (pr *siteProcess) awaitEnd(within time.Duration) bool {
	select {
	case <-pr.ended:
		return true
	case <-time.After(within):
		return false
	}
}

// hasBegun reports whether the process has logged anything. Before that it may not handle signals yet.
func (pr *siteProcess) hasBegun() bool {
	info, err := os.Stat(pr.log)
	return err != nil || info.Size() > pr.logBytes
}

// stop sends SIGTERM, and SIGKILL if the process takes longer than the grace time and a slack. That it does is a
// problem, unless the process was paused meanwhile; so is an error as its end, once it has begun.
func (sn *siteNode) stop(slack time.Duration) {
	pr, from := sn.current(), time.Now()
	pr.tell(syscall.SIGTERM)
	if pr.awaitEnd(siteGrace + slack) {
		if pr.err != nil && pr.hasBegun() {
			sn.ps.problem("%s ends after SIGTERM with %v", sn.name, pr.err)
		}
		return
	}
	if !sn.wasDisturbed(from, time.Now()) {
		sn.ps.problem("%s still runs %s after SIGTERM", sn.name, siteGrace+slack)
	}
	sn.kill()
}

// kill kills the latest process and waits for its end.
func (sn *siteNode) kill() {
	pr := sn.current()
	if pr == nil {
		return
	}
	pr.tell(syscall.SIGKILL)
	<-pr.ended
}

// restart ends the process with SIGKILL or SIGTERM and starts another one after a pause. Other restarts of the node
// wait meanwhile.
func (sn *siteNode) restart(sig syscall.Signal, pause time.Duration) {
	sn.restarts.Lock()
	defer sn.restarts.Unlock()
	from := time.Now()
	if sig == syscall.SIGTERM {
		sn.stop(siteStopSlack)
	} else {
		sn.kill()
	}
	time.Sleep(pause)
	if err := sn.start(false); err != nil {
		sn.ps.problem("%s does not start: %v", sn.name, err)
	}
	sn.disturb(from)
}

// ready reports whether the entry node answers the readiness check.
func (sn *siteNode) ready() bool {
	cl := &http.Client{Timeout: time.Second}
	resp, err := cl.Get("http://" + sn.ps.address(sn.host, sitePortReady) + "/bambooladder/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
