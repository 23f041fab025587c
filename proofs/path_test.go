package proofs

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

const readyTimeout = time.Minute

// deployment is a complete deployment that runs as separate processes, started by scripts/run.sh.
type deployment struct {
	callers       []string
	admins        []string
	token         string
	operatorToken string
	dir           string
	basePort      int
}

// Base ports are below those that the system gives to outgoing connections, which would take the port of a program
// while that is restarted.
const (
	basePortMin  = 10000
	basePortMax  = 32600
	basePortStep = 137
)

var (
	basePortMu sync.Mutex
	// nextBasePort is the first base port that was not tried yet, so that deployments of parallel tests get
	// ports of their own. Test processes that run at the same time search from different ports.
	nextBasePort = basePortMin + os.Getpid()%100*basePortStep
)

// freeBasePort returns a base port at whose offsets all ports of a deployment are free.
func freeBasePort(tb testing.TB) int {
	tb.Helper()
	basePortMu.Lock()
	defer basePortMu.Unlock()
	for range (basePortMax - basePortMin) / basePortStep {
		basePort := nextBasePort
		nextBasePort += basePortStep
		if nextBasePort > basePortMax {
			nextBasePort = basePortMin
		}
		free := true
		for _, off := range []int{1, 2, 3, 11, 12, 13, 14, 21, 22, 23, 24, 31, 32, 33, 34, 80, 81, 90, 91} {
			ls, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", basePort+off))
			if err != nil {
				free = false
				break
			}
			_ = ls.Close()
		}
		if free {
			return basePort
		}
	}
	tb.Fatal("no base port with free ports for a deployment")
	return 0
}

// startDeployment runs scripts/run.sh until the test ends.
func startDeployment(tb testing.TB, env ...string) *deployment {
	tb.Helper()
	return startDeploymentAt(tb, freeBasePort(tb), env...)
}

// startDeploymentAt runs scripts/run.sh with a base port until the test ends.
func startDeploymentAt(tb testing.TB, basePort int, env ...string) *deployment {
	tb.Helper()
	de := &deployment{dir: tb.TempDir(), basePort: basePort}
	cmd := exec.Command("../scripts/run.sh")
	cmd.Env = append(os.Environ(), "RUN_DIR="+de.dir, fmt.Sprintf("RUN_BASE_PORT=%d", basePort),
		fmt.Sprintf("RUN_CALLER_ADDRESS=127.0.0.1:%d", basePort+80))
	cmd.Env = append(cmd.Env, env...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		tb.Fatal(err)
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
	})
	lines := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(out).ReadString('\n')
		lines <- line
	}()
	select {
	case line := <-lines:
		de.parseReadyLine(tb, line)
	case <-time.After(readyTimeout):
		tb.Fatal("the deployment printed no ready line within a minute")
	}
	return de
}

// parseReadyLine reads addresses and tokens from the line that scripts/run.sh prints when ready.
func (de *deployment) parseReadyLine(tb testing.TB, line string) {
	tb.Helper()
	fields := regexp.MustCompile(`(\w+)=(\S+)`).FindAllStringSubmatch(line, -1)
	for _, fi := range fields {
		switch fi[1] {
		case "callers":
			de.callers = strings.Split(fi[2], ",")
		case "admin":
			de.admins = strings.Split(fi[2], ",")
		case "token":
			de.token = fi[2]
		case "operator_token":
			de.operatorToken = fi[2]
		}
	}
	if !strings.HasPrefix(line, "ready ") || len(de.callers) != 2 || de.token == "" {
		tb.Fatalf("invalid ready line: %q", line)
	}
}

// request sends one request and returns status, headers and body of the response.
func (de *deployment) request(tb testing.TB, method, url, token, body string, header ...string) (int, http.Header, string) {
	tb.Helper()
	rq, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		tb.Fatal(err)
	}
	if token != "" {
		rq.Header.Set("Authorization", "Bearer "+token)
	}
	for ix := 0; ix+1 < len(header); ix += 2 {
		rq.Header.Set(header[ix], header[ix+1])
	}
	resp, err := http.DefaultClient.Do(rq)
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		tb.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(data)
}

// openChat posts a chat completion and returns the response before its body has arrived; the caller
// closes the body.
func (de *deployment) openChat(tb testing.TB, body string) *http.Response {
	tb.Helper()
	rq, _ := http.NewRequest(http.MethodPost, de.callers[0]+"/v1/chat/completions", strings.NewReader(body))
	rq.Header.Set("Authorization", "Bearer "+de.token)
	resp, err := http.DefaultClient.Do(rq)
	if err != nil {
		tb.Fatal(err)
	}
	return resp
}

// ctl runs the command line program of the operators and returns its output and exit code.
func (de *deployment) ctl(tb testing.TB, args ...string) (string, int) {
	tb.Helper()
	cmd := exec.Command("../bin/ctl", append([]string{"--settings", filepath.Join(de.dir, "ctl.yaml")}, args...)...)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		tb.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// TestPath starts a deployment of separate processes and checks the whole path: answers, refusals,
// broken requests, claimed calls, settings changes, decision logs and graceful stops.
func TestPath(t *testing.T) {
	de := startDeployment(t)
	t.Run("client library", func(t *testing.T) { testClientLibrary(t, de) })
	t.Run("first token arrives before the last is generated", func(t *testing.T) { testFirstTokenArrivesBeforeLast(t, de) })
	t.Run("models", func(t *testing.T) { testModels(t, de) })
	t.Run("refusals", func(t *testing.T) { testRefusals(t, de) })
	t.Run("truncated requests", func(t *testing.T) { testTruncatedRequests(t, de) })
	t.Run("caller disconnects", func(t *testing.T) { testCallerDisconnects(t, de) })
	t.Run("claimed call", func(t *testing.T) { testClaimedCall(t, de) })
	t.Run("settings change", func(t *testing.T) { testSettingsChange(t, de) })
	t.Run("decision logs", func(t *testing.T) { testDecisionLogs(t, de) })
	t.Run("reload", func(t *testing.T) { testReload(t, de) })
	t.Run("graceful stop", func(t *testing.T) { testStopFinishesOpenStream(t, de) })
}

func testClientLibrary(t *testing.T, de *deployment) {
	for _, name := range []string{"batch-sheet@3", "batch-sheet@4"} {
		cl := openai.NewClient(option.WithBaseURL(de.callers[0]+"/v1/"), option.WithAPIKey(de.token))
		params := openai.ChatCompletionNewParams{
			Model:     name,
			Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("how long does chorizo cure?")},
			MaxTokens: openai.Int(12),
		}
		plain, err := cl.Chat.Completions.New(context.Background(), params)
		if err != nil {
			t.Fatal(err)
		}
		text := plain.Choices[0].Message.Content
		if plain.Model != name || !strings.HasPrefix(text, "["+name+"]") {
			t.Fatalf("requested %s, got model %s and text %q", name, plain.Model, text)
		}
		stream := cl.Chat.Completions.NewStreaming(context.Background(), params)
		streamed := strings.Builder{}
		for stream.Next() {
			chunk := stream.Current()
			if chunk.Model != name {
				t.Fatalf("requested %s, got a chunk with model %s", name, chunk.Model)
			}
			if len(chunk.Choices) > 0 {
				streamed.WriteString(chunk.Choices[0].Delta.Content)
			}
		}
		if err := stream.Err(); err != nil {
			t.Fatal(err)
		}
		if streamed.String() != text {
			t.Fatalf("text of the plain answer %q, of the stream %q", text, streamed.String())
		}
	}
}

func testFirstTokenArrivesBeforeLast(t *testing.T, de *deployment) {
	body := `{"model":"batch-sheet@3","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"flow"}]}`
	resp := de.openChat(t, body)
	defer func() { _ = resp.Body.Close() }()
	rd := bufio.NewReader(resp.Body)
	if line, err := rd.ReadString('\n'); err != nil || !strings.HasPrefix(line, "data: ") {
		t.Fatalf("first line of the stream %q, error %v", line, err)
	}
	if load := runningRequests(t, de); load == 0 {
		t.Fatal("the engine had finished the request before the first token reached the caller")
	}
	rest, err := io.ReadAll(rd)
	if err != nil || !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
		t.Fatalf("the stream is incomplete: %v", err)
	}
}

// runningRequests returns the number of requests that run on all engines.
func runningRequests(tb testing.TB, de *deployment) int {
	tb.Helper()
	running := 0
	for ix := 1; ix <= 3; ix++ {
		data, err := os.ReadFile(filepath.Join(de.dir, fmt.Sprintf("runner-%d.yaml", ix)))
		if err != nil {
			tb.Fatal(err)
		}
		url := regexp.MustCompile(`backend_url: (\S+)`).FindStringSubmatch(string(data))[1]
		_, _, body := de.request(tb, http.MethodGet, url+"/adapters", "", "")
		inventory := struct {
			Held []struct{ Running int }
		}{}
		if err := json.Unmarshal([]byte(body), &inventory); err != nil {
			tb.Fatal(err)
		}
		for _, he := range inventory.Held {
			running += he.Running
		}
	}
	return running
}

func testModels(t *testing.T, de *deployment) {
	status, _, body := de.request(t, http.MethodGet, de.callers[1]+"/v1/models", de.token, "")
	if status != http.StatusOK || !strings.Contains(body, `"batch-sheet@4"`) || strings.Contains(body, "foot-shape") {
		t.Fatalf("status %d, body %s", status, body)
	}
}

func testRefusals(t *testing.T, de *deployment) {
	chat := "/v1/chat/completions"
	cases := []struct {
		name, method, path, token, body string
		status                          int
		kind                            string
	}{
		{"no version", "POST", chat, de.token, `{"model":"batch-sheet"}`, 400, "invalid_request"},
		{"unknown adapter", "POST", chat, de.token, `{"model":"ham-glaze@1"}`, 404, "not_found"},
		{"unknown version", "POST", chat, de.token, `{"model":"batch-sheet@9"}`, 404, "not_found"},
		{"another team's adapter", "POST", chat, de.token, `{"model":"foot-shape@1"}`, 403, "forbidden"},
		{"no model", "POST", chat, de.token, `{}`, 400, "invalid_request"},
		{"malformed", "POST", chat, de.token, `{"model":`, 400, "invalid_request"},
		{"not an object", "POST", chat, de.token, `[1]`, 400, "invalid_request"},
		{"oversized", "POST", chat, de.token, `{"model":"` + strings.Repeat("x", 2<<20) + `"}`, 413, "too_large"},
		{"no token", "POST", chat, "", `{}`, 401, "unauthorized"},
		{"wrong token", "POST", chat, "wrong", `{}`, 401, "unauthorized"},
		{"operator's token", "POST", chat, de.operatorToken, `{}`, 403, "forbidden"},
		{"unknown path", "GET", "/v2/models", de.token, ``, 404, "not_found"},
		{"unknown service", "POST", "/services/payroll/x", de.token, ``, 404, "not_found"},
		{"no key", "POST", "/services/ledger/releases", de.token, `{}`, 400, "idempotency_key_required"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			status, _, body := de.request(t, tc.method, de.callers[0]+tc.path, tc.token, tc.body)
			parsed := struct {
				Error struct{ Type, Remedy, Outcome string }
			}{}
			if err := json.Unmarshal([]byte(body), &parsed); err != nil {
				t.Fatalf("error response is not JSON: %s", body)
			}
			if status != tc.status || parsed.Error.Type != tc.kind || parsed.Error.Remedy == "" || parsed.Error.Outcome != "not_run" {
				t.Fatalf("status %d, body %s", status, body)
			}
		})
	}
}

func testTruncatedRequests(t *testing.T, de *deployment) {
	address := strings.TrimPrefix(de.callers[0], "http://")
	for _, text := range []string{
		"POST /v1/chat/comp", "GET / HTTP/1.1\r\nHost: x\r\nAuthor", "\x16\x03\x01\x00garbage\r\n\r\n",
		"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\nAuthorization: Bearer " + de.token + "\r\n\r\n{\"model\"",
		"GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("y", 100<<10) + "\r\n\r\n",
	} {
		co, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = co.Write([]byte(text))
		_ = co.Close()
	}
	if status, _, _ := de.request(t, http.MethodGet, de.callers[0]+"/v1/models", de.token, ""); status != http.StatusOK {
		t.Fatalf("status %d after truncated requests", status)
	}
}

func testCallerDisconnects(t *testing.T, de *deployment) {
	ctx, cancel := context.WithCancel(context.Background())
	body := `{"model":"batch-sheet@3","stream":true,"max_tokens":60000,"messages":[{"role":"user","content":"leave"}]}`
	rq, _ := http.NewRequestWithContext(ctx, http.MethodPost, de.callers[0]+"/v1/chat/completions", strings.NewReader(body))
	rq.Header.Set("Authorization", "Bearer "+de.token)
	resp, err := http.DefaultClient.Do(rq)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := bufio.NewReader(resp.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	cancel()
	waitFor(t, "the engine stops the request", func() bool { return runningRequests(t, de) == 0 })
}

// waitFor polls until the condition is true and fails the test after readyTimeout.
func waitFor(tb testing.TB, what string, condition func() bool) {
	tb.Helper()
	for limit := time.Now().Add(readyTimeout); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	tb.Fatalf("condition not met within a minute: %s", what)
}

func testClaimedCall(t *testing.T, de *deployment) {
	key := uuid.Must(uuid.NewV7()).String()
	first := ""
	for sending, url := range []string{de.callers[0], de.callers[1], de.callers[0]} {
		status, _, body := de.request(t, http.MethodPost, url+"/services/ledger/releases", de.token, `{"batch":7}`, "Idempotency-Key", key)
		if status != http.StatusCreated {
			t.Fatalf("sending %d: status %d, body %s", sending, status, body)
		}
		if first == "" {
			first = body
		}
		if body != first {
			t.Fatalf("sending %d: answer %s, want the first answer %s", sending, body, first)
		}
	}
	status, _, body := de.request(t, http.MethodPost, de.callers[0]+"/services/ledger/releases", de.token, `{"batch":8}`, "Idempotency-Key", key)
	if status != http.StatusUnprocessableEntity || !strings.Contains(body, "idempotency_key_reused") {
		t.Fatalf("same key with another body: status %d, body %s", status, body)
	}
	status, _, body = de.request(t, http.MethodGet, de.callers[0]+"/services/ledger/stock", de.token, "")
	if status != http.StatusOK || !strings.Contains(body, `"releases":1`) {
		t.Fatalf("status %d, body %s, want one release", status, body)
	}
}

func testSettingsChange(t *testing.T, de *deployment) {
	file := filepath.Join(de.dir, "settings.yaml")
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	changed := bytes.Replace(data, []byte("adapters: [batch-sheet@3, batch-sheet@4]"), []byte("adapters: [batch-sheet@3, foot-shape@1]"), 1)
	next := filepath.Join(de.dir, "next.yaml")
	if err := os.WriteFile(next, changed, 0o600); err != nil {
		t.Fatal(err)
	}
	if out, code := de.ctl(t, "diff", "--file", next); code != 0 || !strings.Contains(out, "teams/recipe") || strings.Contains(out, "teams/fitting") {
		t.Fatalf("ctl diff exits with %d: %s", code, out)
	}
	if out, code := de.ctl(t, "apply", "--file", next); code != 0 || !strings.Contains(out, "accepted revision=") {
		t.Fatalf("ctl apply exits with %d: %s", code, out)
	}
	for _, url := range de.callers {
		waitFor(t, "the change is in force", func() bool {
			_, _, body := de.request(t, http.MethodGet, url+"/v1/models", de.token, "")
			return strings.Contains(body, "foot-shape@1") && !strings.Contains(body, "batch-sheet@4")
		})
	}
	if out, code := de.ctl(t, "status"); code != 0 || !strings.Contains(out, "is in force on 2 of 2 entry nodes") {
		t.Fatalf("ctl status exits with %d: %s", code, out)
	}
	if out, code := de.ctl(t, "history"); code != 0 || strings.Count(out, "accepted") != 2 {
		t.Fatalf("ctl history exits with %d: %s", code, out)
	}
	if out, code := de.ctl(t, "get", "teams/recipe"); code != 0 || !strings.Contains(out, "foot-shape@1") {
		t.Fatalf("ctl get exits with %d: %s", code, out)
	}
	dangling := filepath.Join(de.dir, "dangling.yaml")
	if err := os.WriteFile(dangling, bytes.Replace(data, []byte("batch-sheet@4]"), []byte("batch-sheet@7]"), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, code := de.ctl(t, "apply", "--file", dangling); code != 3 || !strings.Contains(out, "dangling.yaml:25:") {
		t.Fatalf("apply of a reference to a missing version exits with %d: %s", code, out)
	}
}

func testDecisionLogs(t *testing.T, de *deployment) {
	data, err := os.ReadFile(filepath.Join(de.dir, "entry-1.log"))
	if err != nil {
		t.Fatal(err)
	}
	if !regexp.MustCompile(`event=route_chosen adapter=batch-sheet@3 candidates=\S+ .*reason=\S+ .*runner=runner-\d`).Match(data) {
		t.Fatalf("the log of entry-1 has no routing decision:\n%s", data)
	}
}

func testStopFinishesOpenStream(t *testing.T, de *deployment) {
	body := `{"model":"batch-sheet@3","stream":true,"max_tokens":100,"messages":[{"role":"user","content":"stop"}]}`
	resp := de.openChat(t, body)
	defer func() { _ = resp.Body.Close() }()
	// The second SIGTERM must not shorten the graceful stop.
	for _, name := range []string{"entry-1", "runner-1", "runner-2", "runner-3"} {
		terminate(t, de, name)
		terminate(t, de, name)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil || !strings.HasSuffix(string(data), "data: [DONE]\n\n") {
		t.Fatalf("a graceful stop interrupted the stream: %v", err)
	}
}

// terminate sends SIGTERM to a process of the deployment.
func terminate(tb testing.TB, de *deployment, name string) {
	tb.Helper()
	signalProgram(tb, de, name, syscall.SIGTERM)
}

// signalProgram sends a signal to a process of the deployment.
func signalProgram(tb testing.TB, de *deployment, name string, sig syscall.Signal) {
	tb.Helper()
	if err := syscall.Kill(de.processID(tb, name), sig); err != nil {
		tb.Fatal(err)
	}
}

// processID returns the ID of a process of the deployment.
func (de *deployment) processID(tb testing.TB, name string) int {
	tb.Helper()
	data, err := os.ReadFile(filepath.Join(de.dir, name+".pid"))
	if err != nil {
		tb.Fatal(err)
	}
	pid := 0
	if _, err := fmt.Sscan(string(data), &pid); err != nil {
		tb.Fatal(err)
	}
	return pid
}
