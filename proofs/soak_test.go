package proofs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
)

// The soak runs the real programs as separate processes on loopback, injects faults from
// outside and checks what callers and the service see. SOAK_SEEDS and SOAK_FROM choose
// the seeds; those that ever failed stand in soakFailed.
const (
	soakDuration    = 5 * time.Second
	soakCallers     = 6
	soakRecoveryMax = 12 * time.Second
	// soakAgentShift is what the proxies' ports are above those of the agents.
	proxyPortOffset = 10
)

// soakFailed holds the seeds that ever failed, each with its cause.
var soakRegressionSeeds = map[uint64]string{}

// relay is a proxy on loopback between the entry nodes and one agent.
type proxy struct {
	target string

	mu    sync.Mutex
	conns map[net.Conn]bool
	// delay holds back what passes; silent lets nothing pass towards the agent or back.
	delay                  time.Duration
	dropsInbound, dropsAll bool
}

// startRelay listens on an address until the test ends.
func startProxy(tb testing.TB, address, target string) *proxy {
	tb.Helper()
	ls, err := net.Listen("tcp", address)
	if err != nil {
		tb.Fatal(err)
	}
	re := &proxy{target: target, conns: map[net.Conn]bool{}}
	go func() {
		for {
			co, err := ls.Accept()
			if err != nil {
				return
			}
			go re.forward(co)
		}
	}()
	tb.Cleanup(func() {
		_ = ls.Close()
		re.closeAll()
	})
	return re
}

// join carries one connection.
func (re *proxy) forward(in net.Conn) {
	out, err := net.Dial("tcp", re.target)
	if err != nil {
		_ = in.Close()
		return
	}
	re.mu.Lock()
	re.conns[in], re.conns[out] = true, true
	re.mu.Unlock()
	go re.copyOneWay(out, in, true)
	re.copyOneWay(in, out, false)
}

// pump copies one direction until either end closes.
func (re *proxy) copyOneWay(to, from net.Conn, inward bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		count, err := from.Read(buf)
		if err != nil {
			return
		}
		re.mu.Lock()
		delay, dropped := re.delay, re.dropsAll || re.dropsInbound && inward
		re.mu.Unlock()
		time.Sleep(delay)
		if dropped {
			// What a silent connection swallows is gone; the connection stays open.
			continue
		}
		if _, err := to.Write(buf[:count]); err != nil {
			return
		}
	}
}

// reset closes every connection.
func (re *proxy) closeAll() {
	re.mu.Lock()
	defer re.mu.Unlock()
	for co := range re.conns {
		if tc, ok := co.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = co.Close()
		delete(re.conns, co)
	}
}

// set changes how the relay treats what passes; lost connections are not healed by it.
func (re *proxy) setFaults(delay time.Duration, dropsInbound, dropsAll bool) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.delay, re.dropsInbound, re.dropsAll = delay, dropsInbound, dropsAll
}

// soak is one seed's run.
type soak struct {
	t       *testing.T
	de      *deployment
	rd      *rand.Rand
	proxies map[string]*proxy

	mu       sync.Mutex
	started  map[string]*exec.Cmd
	problems []string
	answered int
	// recorded maps the bodies of calls to what their callers were told.
	outcomes map[string]string
}

// problem records a broken promise.
func (so *soak) problem(format string, args ...any) {
	so.mu.Lock()
	defer so.mu.Unlock()
	so.problems = append(so.problems, fmt.Sprintf(format, args...))
}

// pid returns the process of a program, as started last.
func (so *soak) pid(name string) int {
	so.mu.Lock()
	defer so.mu.Unlock()
	if cmd := so.started[name]; cmd != nil {
		return cmd.Process.Pid
	}
	return so.de.processID(so.t, name)
}

// restart kills a program, or asks it to stop, and starts it again.
func (so *soak) restartProgram(name, program string, sig syscall.Signal, pause time.Duration) {
	pid := so.pid(name)
	_ = syscall.Kill(pid, sig)
	if sig == syscall.SIGTERM {
		_ = syscall.Kill(pid, syscall.SIGTERM)
	}
	for range 100 {
		if hasExited(pid) {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(pause)
	cmd := exec.Command("../bin/"+program, "--settings", so.de.dir+"/"+name+".yaml")
	log, err := os.OpenFile(so.de.dir+"/"+name+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		so.t.Error(err)
		return
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		so.t.Error(err)
		return
	}
	go func() { _ = cmd.Wait() }()
	so.mu.Lock()
	so.started[name] = cmd
	so.mu.Unlock()
}

// gone tells whether a process has ended; one that nobody has waited for has.
func hasExited(pid int) bool {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return true
	}
	_, state, _ := bytes.Cut(data, []byte(") "))
	return len(state) > 0 && state[0] == 'Z'
}

var soakRunners = []string{"runner-1", "runner-2", "runner-3", "ledger-1"}

// fault injects one fault drawn from the seed and ends it.
func (so *soak) injectFault(rd *rand.Rand) {
	name := soakRunners[rd.IntN(len(soakRunners))]
	re := so.proxies[name]
	length := time.Duration(200+rd.IntN(1500)) * time.Millisecond
	kind := rd.IntN(9)
	so.t.Logf("fault %d at %s for %v", kind, name, length)
	switch kind {
	case 0:
		re.closeAll()
	case 1:
		re.setFaults(time.Duration(rd.IntN(150))*time.Millisecond, false, false)
		time.Sleep(length)
		re.setFaults(0, false, false)
	case 2, 3:
		// The connections open now stay silent; new ones work again afterwards.
		re.setFaults(0, kind == 2, kind == 3)
		time.Sleep(length)
		re.setFaults(0, false, false)
	case 4:
		pid := so.pid(name)
		_ = syscall.Kill(pid, syscall.SIGSTOP)
		time.Sleep(length)
		_ = syscall.Kill(pid, syscall.SIGCONT)
	case 5:
		so.restartProgram(name, "agent", syscall.SIGKILL, length/2)
	case 6:
		so.restartProgram(name, "agent", syscall.SIGTERM, 0)
	case 7:
		so.restartProgram("entry-2", "entry", syscall.SIGKILL, length/2)
	case 8:
		pid := so.pid("entry-1")
		_ = syscall.Kill(pid, syscall.SIGSTOP)
		time.Sleep(length / 2)
		_ = syscall.Kill(pid, syscall.SIGCONT)
	}
}

// post sends a request and returns its status and body; an error stands for no whole answer.
func (so *soak) post(ctx context.Context, cl *http.Client, url, body, key string) (int, string, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	rq.Header.Set("Authorization", "Bearer "+so.de.token)
	if key != "" {
		rq.Header.Set("Idempotency-Key", key)
	}
	resp, err := cl.Do(rq)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// call sends requests of both kinds until the time is over, over connections it keeps.
func (so *soak) runCaller(ctx context.Context, number int, rd *rand.Rand) {
	cl := &http.Client{Transport: &http.Transport{}, Timeout: 8 * time.Second}
	defer cl.CloseIdleConnections()
	for count := 0; ctx.Err() == nil; count++ {
		entry := so.de.callers[rd.IntN(len(so.de.callers))]
		if rd.IntN(3) == 0 {
			so.sendRelease(cl, entry, fmt.Sprintf(`{"batch":"%d-%d"}`, number, count), rd)
			continue
		}
		so.sendChat(cl, entry, []string{"batch-sheet@3", "batch-sheet@4"}[rd.IntN(2)], rd.IntN(2) == 0)
	}
}

// complete asks for a completion and checks that an answer is whole and the adapter's own.
func (so *soak) sendChat(cl *http.Client, entry, adapter string, stream bool) {
	body := fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":20,"messages":[{"role":"user","content":"cure"}]}`, adapter, stream)
	status, answer, err := so.post(context.Background(), cl, entry+"/v1/chat/completions", body, "")
	if err != nil || status != http.StatusOK {
		return
	}
	switch {
	case !strings.Contains(answer, `"model":"`+adapter+`"`):
		so.problem("an answer of another adapter than %s: %.200s", adapter, answer)
	case stream && !strings.HasSuffix(answer, "data: [DONE]\n\n") && !strings.Contains(answer, `"error"`):
		so.problem("a stream that ended without its end looks whole: %.200s", answer)
	}
	so.mu.Lock()
	so.answered++
	so.mu.Unlock()
}

// release sends a call that must not be repeated, again under its key where it is told that it may.
func (so *soak) sendRelease(cl *http.Client, entry, body string, rd *rand.Rand) {
	key := uuid.Must(uuid.NewV7()).String()
	last := "unknown"
	for range 3 {
		status, answer, err := so.post(context.Background(), cl, entry+"/services/ledger/releases", body, key)
		switch {
		case err != nil:
			last = "unknown"
		case status == http.StatusCreated:
			last = "answered"
			if !strings.Contains(answer, strconv.Quote(body)) {
				so.problem("the answer to %s belongs to another call: %.200s", body, answer)
			}
		case strings.Contains(answer, `"outcome":"not_run"`) && status != http.StatusConflict:
			last = "not_run"
		default:
			last = "unknown"
		}
		if last == "answered" {
			break
		}
		time.Sleep(100 * time.Millisecond)
		entry = so.de.callers[rd.IntN(len(so.de.callers))]
	}
	so.mu.Lock()
	so.outcomes[body] = last
	so.mu.Unlock()
}

// check compares what the service recorded with what callers were told.
func (so *soak) check() {
	resp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/recorded", so.de.basePort+14))
	if err != nil {
		so.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	recorded := []struct{ Body string }{}
	if err := json.NewDecoder(resp.Body).Decode(&recorded); err != nil {
		so.t.Fatal(err)
	}
	counts := map[string]int{}
	for _, re := range recorded {
		counts[re.Body]++
	}
	so.mu.Lock()
	defer so.mu.Unlock()
	for body, count := range counts {
		if count > 1 {
			so.problems = append(so.problems, fmt.Sprintf("%s ran %d times", body, count))
		}
	}
	for body, outcomes := range so.outcomes {
		if outcomes == "answered" && counts[body] != 1 {
			so.problems = append(so.problems, fmt.Sprintf("%s was answered and ran %d times", body, counts[body]))
		}
		if outcomes == "not_run" && counts[body] != 0 {
			so.problems = append(so.problems, fmt.Sprintf("%s was said not to have run and ran %d times", body, counts[body]))
		}
	}
}

// serves tells whether both entry nodes answer again after the faults.
func (so *soak) answersAgain() bool {
	cl := &http.Client{Timeout: 3 * time.Second}
	for _, entry := range so.de.callers {
		body := `{"model":"batch-sheet@3","max_tokens":1,"messages":[{"role":"user","content":"after"}]}`
		if status, _, err := so.post(context.Background(), cl, entry+"/v1/chat/completions", body, ""); err != nil || status != http.StatusOK {
			return false
		}
	}
	return true
}

// runSoak plays one seed.
func runSoak(t *testing.T, seed uint64) {
	basePort := freeBasePort(t)
	proxies := map[string]*proxy{}
	for ix, name := range soakRunners {
		agent := basePort + 21 + ix
		proxies[name] = startProxy(t, fmt.Sprintf("127.0.0.1:%d", agent+proxyPortOffset), fmt.Sprintf("127.0.0.1:%d", agent))
	}
	de := startDeploymentAt(t, basePort, fmt.Sprintf("RUN_AGENT_SHIFT=%d", proxyPortOffset))
	so := &soak{
		t: t, de: de, rd: rand.New(rand.NewPCG(seed, seed)), proxies: proxies, started: map[string]*exec.Cmd{}, outcomes: map[string]string{},
	}
	t.Cleanup(so.stop)
	ctx, cancel := context.WithTimeout(context.Background(), soakDuration)
	defer cancel()
	group := sync.WaitGroup{}
	for number := range soakCallers {
		rd := rand.New(rand.NewPCG(seed, uint64(number)+1))
		group.Go(func() { so.runCaller(ctx, number, rd) })
	}
	for range 2 {
		rd := rand.New(rand.NewPCG(so.rd.Uint64(), 1))
		group.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(time.Duration(rd.IntN(500)) * time.Millisecond)
				so.injectFault(rd)
			}
		})
	}
	group.Wait()
	for end := time.Now().Add(soakRecoveryMax); !so.answersAgain(); time.Sleep(200 * time.Millisecond) {
		if time.Now().After(end) {
			so.problem("the entry nodes do not serve after the faults")
			break
		}
	}
	so.check()
	t.Logf("seed %d: %d answers, %d calls", seed, so.answered, len(so.outcomes))
	for _, problem := range so.problems {
		t.Errorf("seed %d: %s", seed, problem)
	}
	if len(so.problems) > 0 {
		so.copyLogs(seed)
	}
}

// stop ends the programs that the soak has started.
func (so *soak) stop() {
	so.mu.Lock()
	defer so.mu.Unlock()
	for _, cmd := range so.started {
		_ = cmd.Process.Kill()
	}
}

// keepLogs keeps the logs of a seed that failed.
func (so *soak) copyLogs(seed uint64) {
	dir := fmt.Sprintf("../run/soak-%d", seed)
	if err := os.MkdirAll(dir, 0o750); err != nil {
		so.t.Log(err)
		return
	}
	if err := os.CopyFS(dir, os.DirFS(so.de.dir)); err != nil {
		so.t.Log(err)
	}
	so.t.Logf("logs are kept in %s", dir)
}

func TestSoak(t *testing.T) {
	from, seeds := uint64(1), uint64(2)
	if text := os.Getenv("SOAK_SEEDS"); text != "" {
		seeds, _ = strconv.ParseUint(text, 10, 64)
		from, _ = strconv.ParseUint(os.Getenv("SOAK_FROM"), 10, 64)
	}
	for seed := range soakRegressionSeeds {
		t.Run(fmt.Sprintf("failed before %d", seed), func(t *testing.T) { runSoak(t, seed) })
	}
	for seed := from; seed < from+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoak(t, seed) })
	}
}
