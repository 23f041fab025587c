package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	modelName   = "m0"
	plainTokens = 200
	hostName    = "shop.example"
	graceTime   = 8 * time.Second
)

// loopback is a loopback host of this run alone, so that no other run takes its ports.
var loopback = fmt.Sprintf("127.%d.%d.1", 100+rand.IntN(100), 1+rand.IntN(250))

// usedPorts holds the ports that were given out: their processes may not have bound them yet.
var usedPorts = map[int]bool{}

func mustJSON(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// The ports of a case lie below those that the kernel gives to outgoing channels, so that none is taken between two runs of a process.
const (
	portMin = 15_000
	portMax = 32_000
)

// freePort returns a port that is free at all the hosts.
func freePort(hosts ...string) (int, error) {
	for range 500 {
		port := portMin + rand.IntN(portMax-portMin)
		free := !usedPorts[port]
		for _, host := range hosts {
			ls, err := net.Listen("tcp", host+":"+strconv.Itoa(port))
			if err != nil {
				free = false
				break
			}
			_ = ls.Close()
		}
		if free {
			usedPorts[port] = true
			return port, nil
		}
	}
	return 0, fmt.Errorf("no port is free at %v", hosts)
}

// process is one of the project's processes.
type process struct {
	name, role, settings string
	callers, ready       string
	dir                  string
	cmd                  *exec.Cmd
	// startedAt and termAt are when it was last started and asked to stop.
	startedAt, termAt time.Time
}

// start starts the process with the command of the deploy file.
func (pc *process) start() error {
	file := filepath.Join(pc.dir, pc.name+".yaml")
	if err := os.WriteFile(file, []byte(pc.settings), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(pc.dir, pc.name+".out"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	pc.cmd = exec.Command(filepath.Join(root, "target/platform"), pc.role, "--settings", file)
	pc.cmd.Dir, pc.cmd.Stdout, pc.cmd.Stderr = root, out, out
	pc.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	pc.startedAt = time.Now()
	return pc.cmd.Start()
}

// restart stops the process as the platform does, SIGTERM and after the grace time SIGKILL, and starts it again.
func (pc *process) restart() error {
	pc.termAt = time.Now()
	_ = pc.cmd.Process.Signal(syscall.SIGTERM)
	killed := time.AfterFunc(graceTime, func() { _ = pc.cmd.Process.Kill() })
	_ = pc.cmd.Wait()
	killed.Stop()
	return pc.start()
}

// end kills the process.
func (pc *process) end() {
	if pc.cmd != nil && pc.cmd.Process != nil {
		_ = pc.cmd.Process.Kill()
		_ = pc.cmd.Wait()
	}
}

// system is the processes, the store and the runners of a case.
type system struct {
	dir       string
	agentPort int
	st        *store
	rs        *runs
	entries   []*process
	agents    []*process
	zones     map[string]string
	peers     []string
	began     time.Time
	mu        sync.Mutex
	file      *os.File
}

// note writes a line to the record.
func (sy *system) note(format string, args ...any) {
	sy.mu.Lock()
	defer sy.mu.Unlock()
	_, _ = fmt.Fprintf(sy.file, "%8.3f ", time.Since(sy.began).Seconds())
	_, _ = fmt.Fprintf(sy.file, format+"\n", args...)
}

// newSystem starts a store and reserves the addresses of the entry nodes.
func newSystem(recordFile string, zones map[string]string, agentHosts []string) (*system, error) {
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	port, err := freePort(agentHosts...)
	if err != nil {
		return nil, err
	}
	st, err := startStore()
	if err != nil {
		return nil, err
	}
	return &system{dir: dir, agentPort: port, st: st, rs: &runs{}, zones: zones, began: time.Now(), file: file}, nil
}

// close ends all processes.
func (sy *system) close() {
	for _, pc := range append(append([]*process(nil), sy.entries...), sy.agents...) {
		pc.end()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(sy.dir)
	} else {
		sy.note("the output of the processes is in %s", sy.dir)
	}
	_ = sy.file.Close()
}

// bounds are the figures of a sheet that the settings of an entry node hold.
type bounds struct {
	drainMs, configApplyMs, versionMs, budgetWindowS int
	budgetRatio                                      float64
	budgetSlack                                      int
}

// addEntry adds an entry node in a zone that reaches the store at an address.
func (sy *system) addEntry(name, zone, logAddress string, bd bounds) error {
	ports := make([]int, 4)
	for ix := range ports {
		port, err := freePort(loopback)
		if err != nil {
			return err
		}
		ports[ix] = port
	}
	at := func(ix int) string { return loopback + ":" + strconv.Itoa(ports[ix]) }
	sy.peers = append(sy.peers, at(2))
	pc := &process{name: name, role: "entry", callers: at(0), ready: at(1), dir: sy.dir}
	pc.settings = strings.Join([]string{
		"place: " + mustJSON(map[string]string{"name": name, "region": sy.zones[zone], "zone": zone}),
		"caller_address: " + mustJSON(at(0)), "ready_address: " + mustJSON(at(1)), "peer_address: " + mustJSON(at(2)), "peers: PEERS",
		"agent_port: " + strconv.Itoa(sy.agentPort), "metrics_address: " + mustJSON(at(3)), "log_address: " + mustJSON(logAddress), "memory_mb: 284",
		"stop_ms: 8000", fmt.Sprintf("leave_ms: %d", bd.drainMs), fmt.Sprintf("version_ms: %d", bd.versionMs), fmt.Sprintf("routes_ms: %d", bd.configApplyMs),
		fmt.Sprintf("retry_share: %v", bd.budgetRatio), fmt.Sprintf("retry_window_ms: %d", bd.budgetWindowS*1000), fmt.Sprintf("retry_slack: %d", bd.budgetSlack),
		"first_start: true", "regions: " + mustJSON(sy.zones), "",
	}, "\n")
	sy.entries = append(sy.entries, pc)
	return nil
}

// startEntries starts the entry nodes, which know the peer addresses of at most three of them.
func (sy *system) startEntries() error {
	for _, pc := range sy.entries {
		pc.settings = strings.Replace(pc.settings, "PEERS", mustJSON(sy.peers[:min(3, len(sy.peers))]), 1)
		if err := pc.start(); err != nil {
			return err
		}
		// A later start is not the first one of the whole system.
		pc.settings = strings.Replace(pc.settings, "first_start: true", "first_start: false", 1)
	}
	return nil
}

// addEngine starts an engine at a host and the agent beside it.
func (sy *system) addEngine(id, service, host, zone string) error {
	rn := &runner{id: id, service: service, zone: zone, engine: true, st: sy.st, rs: sy.rs}
	if err := rn.start(host); err != nil {
		return err
	}
	metrics, err := freePort(host)
	if err != nil {
		return err
	}
	pc := &process{name: "agent-" + id, role: "agent", dir: sy.dir}
	pc.settings = strings.Join([]string{
		"place: " + mustJSON(map[string]string{"name": pc.name, "region": sy.zones[zone], "zone": zone}),
		fmt.Sprintf("listen_address: \"%s:%d\"", host, sy.agentPort), "backend_address: " + mustJSON(rn.address),
		fmt.Sprintf("metrics_address: \"%s:%d\"", host, metrics), "memory_mb: 216", "",
	}, "\n")
	sy.agents = append(sy.agents, pc)
	return pc.start()
}

// ready reports whether an entry node says that it is ready.
func (pc *process) isReady() bool {
	hc := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := hc.Get("http://" + pc.ready + "/bambooladder/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// lastError returns the last error that the process has logged, for a case that could not run.
func (pc *process) lastError() string {
	data, err := os.ReadFile(filepath.Join(pc.dir, pc.name+".out"))
	if err != nil {
		return err.Error()
	}
	last := "nothing logged as an error"
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, "level=error") {
			last = strings.TrimSpace(line)
		}
	}
	return last
}

// awaitReady waits until all entry nodes are ready.
func (sy *system) awaitReady(most time.Duration) error {
	end := time.Now().Add(most)
	for _, pc := range sy.entries {
		for !pc.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready: %s", pc.name, pc.lastError())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

var lastRequest atomic.Int64

// caller sends requests to one entry node over kept channels.
type caller struct {
	sy *system
	pc *process
	hc *http.Client
}

func newCaller(sy *system, pc *process) *caller {
	return &caller{sy: sy, pc: pc, hc: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second}}}
}

// outcome is what a caller saw.
type outcome struct {
	id     string
	sentAt time.Time
	status int
	err    error
}

// send sends a request and reads the whole answer.
func (ca *caller) send(path, key, body string, timeLimit time.Duration) outcome {
	oc := outcome{id: fmt.Sprintf("%016x", time.Now().UnixNano()<<16|lastRequest.Add(1)&0xffff), sentAt: time.Now()}
	rq, err := http.NewRequest(http.MethodPost, "http://"+ca.pc.callers+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	rq.Host = hostName
	rq.Header.Set("X-Bambooladder-Request-Id", oc.id)
	rq.Header.Set("X-Bambooladder-Deadline-Ms", strconv.FormatInt(timeLimit.Milliseconds(), 10))
	if key != "" {
		rq.Header.Set("Authorization", "Bearer "+key)
	}
	hc := *ca.hc
	hc.Timeout = timeLimit
	resp, err := hc.Do(rq)
	if err != nil {
		oc.err = err
		return oc
	}
	defer resp.Body.Close()
	oc.status = resp.StatusCode
	_, oc.err = io.Copy(io.Discard, resp.Body)
	return oc
}
