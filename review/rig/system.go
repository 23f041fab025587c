package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the programs; each machine has an address of its own.
type ports struct{ store, front, ready, control, agent, metrics, app int }

// freePorts returns ports that no address of the deployment uses.
func freePorts(addresses []string) (ports, error) {
	for range 50 {
		base := 20000 + rand.IntN(200)*50
		free := true
		for _, address := range addresses {
			for port := base; port < base+7 && free; port++ {
				ls, err := net.Listen("tcp", net.JoinHostPort(address, strconv.Itoa(port)))
				free = err == nil
				if free {
					_ = ls.Close()
				}
			}
		}
		if free {
			return ports{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6}, nil
		}
	}
	return ports{}, errors.New("no free ports")
}

// process is a program of the system. A process that ends is started again unless it is held.
type process struct {
	name, role, settings string

	mu   sync.Mutex
	cmd  *exec.Cmd
	gone chan struct{}
}

// System is the deployment: the programs of the project and the stand-ins beside them.
type System struct {
	Store   *Store
	Engines []*Engine
	Record  *Record

	program, dir string
	ports        ports
	zones        []string
	entryIPs     []string
	agentIPs     []string
	entries      []*process
	agents       []*process
	vip          *Balancer
}

// Plan describes a deployment: the zone of each entry node and of each engine, by number.
type Plan struct {
	Entries, Engines    []int
	Slots, AdapterSlots int
	Prefill, Event      time.Duration
}

const (
	serviceName = "tuvo11a"
	modelName   = "daka510000"
)

func zoneName(number int) string { return fmt.Sprintf("zone-%d", number) }

// NewSystem starts the stand-ins and prepares the settings of the programs.
func NewSystem(program, dir string, rc *Record, pl *Plan) (*System, error) {
	sy := &System{Record: rc, program: program, dir: dir}
	storeIP := "127.77.0.1"
	addresses := []string{storeIP}
	for ix := range pl.Entries {
		sy.entryIPs = append(sy.entryIPs, fmt.Sprintf("127.77.1.%d", ix+1))
	}
	for ix := range pl.Engines {
		sy.agentIPs = append(sy.agentIPs, fmt.Sprintf("127.77.2.%d", ix+1))
	}
	addresses = append(append(addresses, sy.entryIPs...), sy.agentIPs...)
	var err error
	if sy.ports, err = freePorts(addresses); err != nil {
		return nil, err
	}
	if sy.Store, err = NewStore(join(storeIP, sy.ports.store)); err != nil {
		return nil, err
	}
	zones := map[string]bool{}
	for _, list := range [][]int{pl.Entries, pl.Engines} {
		for _, number := range list {
			if zone := zoneName(number); !zones[zone] {
				zones[zone] = true
				sy.zones = append(sy.zones, zone)
			}
		}
	}
	for ix, number := range pl.Engines {
		en := &Engine{
			ID: fmt.Sprintf("i-%08x", 0x5a3c0000+ix*7919), Zone: zoneName(number), Address: join(sy.agentIPs[ix], sy.ports.app), Service: serviceName,
			Model: modelName, Slots: pl.Slots, AdapterSlots: pl.AdapterSlots, Prefill: pl.Prefill, Event: pl.Event, store: sy.Store, record: rc,
		}
		sy.Engines = append(sy.Engines, en)
		if err := en.Start(); err != nil {
			return nil, err
		}
	}
	for ix, number := range pl.Entries {
		sy.entries = append(sy.entries, &process{name: fmt.Sprintf("entry-%d", ix+1), role: "entry", settings: sy.entrySettings(ix, zoneName(number), true)})
	}
	for ix, number := range pl.Engines {
		sy.agents = append(sy.agents, &process{name: fmt.Sprintf("agent-%d", ix+1), role: "agent", settings: sy.agentSettings(ix, zoneName(number))})
	}
	sy.vip = &Balancer{}
	for _, ip := range sy.entryIPs {
		sy.vip.nodes = append(sy.vip.nodes, &balancedNode{front: join(ip, sy.ports.front), ready: join(ip, sy.ports.ready)})
	}
	return sy, nil
}

func join(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// entrySettings fills in the template of an entry node.
func (sy *System) entrySettings(ix int, zone string, first bool) string {
	ip, peers, regions := sy.entryIPs[ix], []string{}, []string{}
	for _, other := range sy.entryIPs[:min(3, len(sy.entryIPs))] {
		peers = append(peers, strconv.Quote(join(other, sy.ports.control)))
	}
	for _, name := range sy.zones {
		regions = append(regions, fmt.Sprintf("%q: %q", name, "region-of-"+name))
	}
	return fmt.Sprintf(`place: {name: "front-%s-%d", region: "region-of-%s", zone: %q}
caller_address: %q
ready_address: %q
peer_address: %q
peers: [%s]
agent_port: %d
metrics_address: %q
log_address: "127.77.0.1:%d"
memory_mb: 284
stop_ms: 8000
leave_ms: 2500
version_ms: 5000
routes_ms: 2500
retry_share: 0.2
retry_window_ms: 10000
retry_slack: 52
first_start: %v
regions: {%s}
`, zone, ix+1, zone, zone, join(ip, sy.ports.front), join(ip, sy.ports.ready), join(ip, sy.ports.control), strings.Join(peers, ", "), sy.ports.agent,
		join(ip, sy.ports.metrics), sy.ports.store, first, strings.Join(regions, ", "))
}

// agentSettings fills in the template of an agent.
func (sy *System) agentSettings(ix int, zone string) string {
	ip := sy.agentIPs[ix]
	return fmt.Sprintf(`place: {name: "side-%s-%d", region: "region-of-%s", zone: %q}
listen_address: %q
backend_address: %q
metrics_address: %q
memory_mb: 216
`, zone, ix+1, zone, zone, join(ip, sy.ports.agent), join(ip, sy.ports.app), join(ip, sy.ports.metrics))
}

// processes returns all programs of the system.
func (sy *System) processes() []*process {
	return append(append([]*process{}, sy.agents...), sy.entries...)
}

// StartAll starts all programs.
func (sy *System) StartAll() error {
	for _, pr := range sy.processes() {
		if err := sy.start(pr); err != nil {
			return err
		}
	}
	return nil
}

// start starts a program.
func (sy *System) start(pr *process) error {
	file := filepath.Join(sy.dir, pr.name+".yaml")
	if err := os.WriteFile(file, []byte(pr.settings), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(sy.dir, pr.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(sy.program, pr.role, "--settings", file)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	gone := make(chan struct{})
	pr.mu.Lock()
	pr.cmd, pr.gone = cmd, gone
	pr.mu.Unlock()
	sy.Record.Add("%s starts", pr.name)
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		sy.Record.Add("%s has ended: %s", pr.name, cmd.ProcessState)
		close(gone)
	}()
	return nil
}

// signal sends a signal to a program.
func (sy *System) signal(pr *process, si syscall.Signal) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.cmd != nil {
		sy.Record.Add("%s gets %s", pr.name, si)
		_ = pr.cmd.Process.Signal(si)
	}
}

// KillAll kills all programs and waits until they have ended.
func (sy *System) KillAll() {
	for _, pr := range sy.processes() {
		sy.signal(pr, syscall.SIGKILL)
	}
	for _, pr := range sy.processes() {
		if pr.gone != nil {
			<-pr.gone
		}
	}
}

// Configure writes a manifest.
func (sy *System) Configure(version int, routes ...map[string]any) {
	sy.Store.Put("keyed.op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{
			"name": serviceName, "health_path": "/health", "max_conns": 360, "engine": map[string]any{
				"slots": sy.Engines[0].Slots, "kv_capacity": memoryTokens, "weights_mb": 75000, "adapter_slots": sy.Engines[0].AdapterSlots,
				"models": []any{map[string]any{"name": modelName, "weights_mb": 72700, "load_time_s": 1.0, "adapters": 3000, "adapter_mb": 66}},
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 10000, "idle_timeout_ms": 60000},
	})
	sy.Record.Add("operator: the manifest %d is acknowledged", version)
}

// Balancer forwards new channels to the nodes that are ready.
type Balancer struct {
	nodes []*balancedNode
	mu    sync.Mutex
	next  int
}

type balancedNode struct {
	front, ready string
	misses       int
	in           bool
}

// Run asks each node once a second whether it is ready.
func (ba *Balancer) Run() {
	hc := &http.Client{Timeout: time.Second}
	for ; ; time.Sleep(time.Second) {
		for _, no := range ba.nodes {
			resp, err := hc.Get("http://" + no.ready + "/bambooladder/readiness")
			ok := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			ba.mu.Lock()
			no.misses++
			if ok {
				no.misses, no.in = 0, true
			}
			if no.misses >= 2 {
				no.in = false
			}
			ba.mu.Unlock()
		}
	}
}

// Pick returns the address for a new channel.
func (ba *Balancer) Pick() string {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	for range ba.nodes {
		ba.next++
		if no := ba.nodes[ba.next%len(ba.nodes)]; no.in {
			return no.front
		}
	}
	ba.next++
	return ba.nodes[ba.next%len(ba.nodes)].front
}

// Ready reports whether all nodes are ready.
func (ba *Balancer) Ready() bool {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	for _, no := range ba.nodes {
		if !no.in {
			return false
		}
	}
	return true
}
