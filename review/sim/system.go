package sim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// readyTimeout is how long the system may take until all entry nodes are ready.
	readyTimeout = 20 * time.Second
	// pollPeriod is how often a condition is checked.
	pollPeriod = 50 * time.Millisecond
	// settingsPlace is where the deploy file expects the settings of a process.
	settingsPlace = "/etc/bambooladder/settings.toml"
)

// Bounds of the rules, as in the sheet of the small deployments.
const (
	DrainTime       = 2500 * time.Millisecond
	GraceTime       = 8 * time.Second
	ConfigApplyTime = 2500 * time.Millisecond
	VersionTime     = 5 * time.Second
	LossSlack       = 200 * time.Millisecond
)

// EntryMemory is the memory of an entry node in megabytes, beyond which the platform kills it.
const EntryMemory = 284

// System starts the project's programs and the stand-ins beside them. It is created by NewSystem.
type System struct {
	Record *Record
	Store  *Store
	repo   string
	dir    string
	prefix string
	// agentPort is the port of all agents, frontPort and the two after it those of the entry nodes.
	agentPort, frontPort int
	entries              []*Entry
	agents               []*Process
	closers              []func()
}

// Process is a process of the project.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
}

// Entry is a running entry node.
type Entry struct {
	*Process
	// Caller is the address for callers, Ready the one for readiness checks.
	Caller, Ready string
}

// NewSystem returns a system without processes. The argument repo is the project's folder.
func NewSystem(repo string, re *Record) (*System, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("sim: create folder: %w", err)
	}
	pid := os.Getpid()
	sy := &System{Record: re, repo: repo, dir: dir, prefix: fmt.Sprintf("127.%d.%d.", 1+pid/256%254, pid%256)}
	sy.agentPort, sy.frontPort = 17380+pid%100, 18140+pid%100*4
	st, err := StartStore(sy.IP(1))
	if err != nil {
		return nil, err
	}
	sy.Store = st
	return sy, nil
}

// IP returns a loopback address that is this system's own.
func (sy *System) IP(number int) string { return sy.prefix + strconv.Itoa(number) }

// OnClose adds a function that Close calls.
func (sy *System) OnClose(fn func()) { sy.closers = append(sy.closers, fn) }

// StartEntries starts entry nodes in one availability zone and waits until all are ready.
func (sy *System) StartEntries(ctx context.Context, count int) error {
	seeds := make([]string, 0, count)
	for number := range count {
		seeds = append(seeds, net.JoinHostPort(sy.IP(10+number), strconv.Itoa(sy.frontPort+2)))
	}
	for number := range count {
		if err := sy.startEntry(number, seeds); err != nil {
			return err
		}
	}
	return sy.awaitReady(ctx)
}

// startEntry starts one entry node.
func (sy *System) startEntry(number int, seeds []string) error {
	ip := sy.IP(10 + number)
	addresses := map[string]any{}
	for ix, name := range []string{"front", "ready", "control"} {
		addresses[name] = net.JoinHostPort(ip, strconv.Itoa(sy.frontPort+ix))
	}
	name := fmt.Sprintf("front-%d", number+1)
	fields := sy.fields(name, ip, EntryMemory)
	fields["listen_addrs"], fields["seeds"] = addresses, seeds
	pr, err := sy.start("entry", name, fields)
	if err != nil {
		return err
	}
	sy.entries = append(sy.entries, &Entry{
		Process: pr, Caller: net.JoinHostPort(ip, strconv.Itoa(sy.frontPort)), Ready: net.JoinHostPort(ip, strconv.Itoa(sy.frontPort+1)),
	})
	return nil
}

// Entry returns an entry node by its number, from 0.
func (sy *System) Entry(number int) *Entry { return sy.entries[number] }

// StartAgent starts the agent beside an engine.
func (sy *System) StartAgent(en *Engine) error {
	host, _, err := net.SplitHostPort(en.Address)
	if err != nil {
		return fmt.Errorf("sim: address of engine: %w", err)
	}
	name := fmt.Sprintf("side-%d", len(sy.agents)+1)
	fields := sy.fields(name, host, 216)
	fields["app"] = en.Address
	pr, err := sy.start("agent", name, fields)
	if err != nil {
		return err
	}
	sy.agents = append(sy.agents, pr)
	return nil
}

// fields returns the platform's fields for the settings of a process.
func (sy *System) fields(name, ip string, memoryMb int) map[string]any {
	return map[string]any{
		"node_name": name, "ip": ip, "zone": zoneName, "region": "region-1", "zones": map[string]any{zoneName: "region-1"},
		"internal_port_range": []any{sy.agentPort, sy.agentPort + 15}, "limits": map[string]any{"memory_mb": memoryMb},
		"platform": map[string]any{"address": sy.Store.Address},
		"bounds": map[string]any{
			"grace_s": int(GraceTime.Seconds()), "drain_ms": DrainTime.Milliseconds(), "version_ms": VersionTime.Milliseconds(),
			"config_apply_ms": ConfigApplyTime.Milliseconds(), "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 52,
		},
	}
}

// role is what the deploy file says of a role.
type role struct{ run, template string }

// role reads a role from the deploy file.
func (sy *System) role(name string) (role, error) {
	data, err := os.ReadFile(filepath.Join(sy.repo, "deploy", "system.toml"))
	if err != nil {
		return role{}, fmt.Errorf("sim: read deploy file: %w", err)
	}
	ro, section := role{}, ""
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			section = strings.Trim(line, "[]")
		}
		key, value, _ := strings.Cut(line, " = ")
		switch value = strings.Trim(value, `"`); {
		case section == "roles."+name && key == "run":
			ro.run = value
		case section == "roles."+name && key == "template":
			ro.template = value
		}
	}
	if ro.run == "" || ro.template == "" {
		return ro, fmt.Errorf("sim: the deploy file has no role %s with a command and a template", name)
	}
	return ro, nil
}

// start starts a process of a role with settings that are filled in from fields.
func (sy *System) start(roleName, name string, fields map[string]any) (*Process, error) {
	ro, err := sy.role(roleName)
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(filepath.Join(sy.repo, ro.template))
	if err != nil {
		return nil, fmt.Errorf("sim: read template: %w", err)
	}
	settings := filepath.Join(sy.dir, name+".yaml")
	if err = os.WriteFile(settings, []byte(fill(string(template), fields)), 0o600); err != nil {
		return nil, fmt.Errorf("sim: write settings: %w", err)
	}
	out, err := os.Create(filepath.Join(sy.dir, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("sim: create log: %w", err)
	}
	args := strings.Fields(strings.ReplaceAll(ro.run, settingsPlace, settings))
	cmd := exec.CommandContext(context.Background(), filepath.Join(sy.repo, args[0]), args[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = sy.repo, out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BAMBOOLADDER_NODE_FILE=" + settings}
	if err = cmd.Start(); err != nil {
		return nil, errors.Join(fmt.Errorf("sim: start %s: %w", name, err), out.Close())
	}
	pr := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		defer close(pr.done)
		err := errors.Join(cmd.Wait(), out.Close())
		sy.Record.Printf("process %s ended: %v", name, err)
	}()
	sy.Record.Printf("process %s started", name)
	return pr, nil
}

// placeholder matches a placeholder of a template.
var placeholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)(\|json)?\}\}`)

// fill fills in the placeholders of a template.
func fill(template string, fields map[string]any) string {
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		parts := placeholder.FindStringSubmatch(text)
		value := any(fields)
		for _, key := range strings.Split(parts[1], ".") {
			value = child(value, key)
		}
		if text, ok := value.(string); ok && parts[2] == "" {
			return text
		}
		// The fields hold only what can be encoded.
		data, _ := json.Marshal(value)
		return string(data)
	})
}

// child returns a field of a table or an entry of a list, nil if there is none.
func child(value any, key string) any {
	switch parent := value.(type) {
	case map[string]any:
		return parent[key]
	case []any:
		if ix, err := strconv.Atoi(key); err == nil && ix < len(parent) {
			return parent[ix]
		}
	}
	return nil
}

// awaitReady waits until all entry nodes answer the readiness check.
func (sy *System) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, en := range sy.entries {
		if err := Await(ctx, func() bool { return en.IsReady(ctx) }); err != nil {
			return fmt.Errorf("sim: %s is not ready: %w", en.Name, err)
		}
	}
	return nil
}

// Await waits until a condition holds or the context ends.
func Await(ctx context.Context, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollPeriod):
		}
	}
	return nil
}

// IsReady makes one readiness check.
func (en *Entry) IsReady(ctx context.Context) bool {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+en.Ready+"/bambooladder/readiness", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(rq)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Signal sends a signal to the process.
func (pr *Process) Signal(signal syscall.Signal) error {
	if err := pr.cmd.Process.Signal(signal); err != nil {
		return fmt.Errorf("sim: signal %s: %w", pr.Name, err)
	}
	return nil
}

// Ended returns a channel that is closed once the process has ended.
func (pr *Process) Ended() <-chan struct{} { return pr.done }

// Close ends all processes and stand-ins and removes the temporary folder, unless KEEP_LOGS is set.
func (sy *System) Close() {
	for _, en := range sy.entries {
		sy.end(en.Process)
	}
	for _, pr := range sy.agents {
		sy.end(pr)
	}
	for _, fn := range sy.closers {
		fn()
	}
	sy.Store.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(sy.dir)
		return
	}
	sy.Record.Printf("logs are kept in %s", sy.dir)
}

// end kills a process and waits for its end.
func (sy *System) end(pr *Process) {
	_ = pr.cmd.Process.Kill() // it may have ended already
	<-pr.done
}
