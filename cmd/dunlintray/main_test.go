package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dunlintray/internal/referee"
	"dunlintray/internal/registry"
	"dunlintray/internal/wal"
	"dunlintray/scenarios"
)

// daemonDir holds the daemons that the tests run.
var daemonDir string

// TestMain builds the daemons. With GATEWAY_DOUBLE set, the test binary is a gateway with
// that defect instead; with a scale command as its argument, it runs that command.
func TestMain(m *testing.M) {
	if defect := os.Getenv("GATEWAY_DOUBLE"); defect != "" {
		runDefectiveGateway(defect)
		return
	}
	if len(os.Args) > 1 && strings.HasPrefix(os.Args[1], "scale") {
		os.Exit(run(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) // a scale run starts its own executable as child processes
	}
	os.Exit(func() int {
		var err error
		if daemonDir, err = os.MkdirTemp("", "dunlintray-test-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(daemonDir)
		build := exec.Command("go", "build", "-o", daemonDir, "../gateway", "../registry")
		if text, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "%v\n%s", err, text)
			return 1
		}
		return m.Run()
	}())
}

// runDefectiveGateway runs a gateway that refuses every request, but for its defect.
func runDefectiveGateway(defect string) {
	var config struct {
		Listen string
		Known  struct{ Instances []struct{ HostPort string } }
	}
	text, err := os.ReadFile(os.Getenv("EDGE_CONFIG"))
	if err != nil || json.Unmarshal(text, &config) != nil || defect == "dies" {
		fmt.Fprintln(os.Stderr, "no gateway")
		os.Exit(1)
	}
	if defect == "hangs" {
		signal.Ignore(syscall.SIGTERM)
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		os.Exit(1)
	}
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				req, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				io.Copy(io.Discard, req.Body)
				switch {
				case strings.HasPrefix(req.URL.Path, "/health"):
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					continue
				case defect == "makes up":
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
					continue
				case defect == "answers twice":
					io.WriteString(conn, refusal)
				case defect == "strays":
					if resp, err := http.Get("http://" + config.Known.Instances[0].HostPort + "/browse"); err == nil {
						resp.Body.Close()
					}
				case defect == "drops":
					return
				}
				io.WriteString(conn, refusal)
			}
		}()
	}
}

// smallScenario is a format for a scenario that a slow machine can play: the number of
// service registries, and further tables.
const smallScenario = `
name = "small"
duration = "3s"
[fleet]
gateways = 2
backends = 3
list_services = %d
[load]
requests_per_s = 60
[[class]]
name = "browse"
share = 1.0
worth = 1.0
aim = "500ms"
deadline = "1500ms"
effect = "repeatable"
work = "5ms"
units = 1
answer_bytes = 100000
[[plan]]
name = "basic"
share = 1.0
customers = 10
price = 1.0
rate = 20.0
burst = 20.0
spread = 2
%s
`

// writeFile writes a text to a file in a temporary directory and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "scenario.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// runCommand runs the tool with args and returns its exit status and all output.
func runCommand(ctx context.Context, args ...string) (status int, text string) {
	var out syncBuffer
	status = run(ctx, args, &out, &out)
	return status, out.String()
}

// syncBuffer is a buffer that several goroutines may use.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.String()
}

// readResults returns the lines of a file of results by their kind.
func readResults(t *testing.T, path string) map[string][]map[string]any {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	byKind := map[string][]map[string]any{}
	for line := range strings.Lines(string(text)) {
		var result map[string]any
		if err := json.Unmarshal([]byte(line), &result); err != nil {
			t.Fatalf("%v: %s", err, line)
		}
		byKind[result["kind"].(string)] = append(byKind[result["kind"].(string)], result)
	}
	return byKind
}

// processesOf returns the ids of processes whose command line names dir.
func processesOf(t *testing.T, dir string) (pids []string) {
	t.Helper()
	entries, err := os.ReadDir("/proc")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if text, err := os.ReadFile("/proc/" + entry.Name() + "/cmdline"); err == nil && bytes.Contains(text, []byte(dir)) {
			pids = append(pids, entry.Name())
		}
	}
	return pids
}

// Fleets with 0, 1 and 2 service registries play through kills, a replacement, a freeze and link
// faults. No rule is broken, requests are served, and no process remains.
func TestPlaySurvivesFaults(t *testing.T) {
	const faults = `
[[fault]]
kind = "replace"
at = "500ms"
for = "500ms"
part = 0.3
[[fault]]
kind = "kill"
at = "1s"
for = "300ms"
part = 0.5
[[fault]]
kind = "vanish"
at = "2s"
for = "500ms"
part = 0.3
[[fault]]
kind = "freeze"
at = "2500ms"
for = "200ms"
part = 0.5
[[fault]]
kind = "rude"
at = "1s"
for = "1s"
size = 20.0
`
	const link = "[[fault]]\nkind = \"link\"\nat = \"1s\"\nfor = \"700ms\"\n"
	links := [3]string{"", link + "from = \"backends\"\nto = \"list0\"\nhow = \"reset\"\n" + link + "from = \"n0\"\nto = \"lists\"\nway = \"back\"\nhow = \"stalled\"\n"}
	links[2] = links[1] + link + "from = \"lists\"\nto = \"list0\"\nhow = \"dropped\"\n[[fault]]\nkind = \"gone\"\nat = \"1500ms\"\nfor = \"500ms\"\nwho = \"list1\"\n"
	var wg sync.WaitGroup
	for services := range 3 {
		dir := t.TempDir()
		scenario := writeFile(t, fmt.Sprintf(smallScenario, services, faults+links[services]))
		wg.Go(func() {
			results := filepath.Join(dir, "results")
			status, text := runCommand(t.Context(), "play", scenario, "--gateway", daemonDir+"/gateway", "--registry", daemonDir+"/registry", "--dir", dir, "--json", results, "--tried", "answer,crash,peer")
			// A play that is invalid on a slow machine is accepted; a broken rule is not.
			if status != exitUntried && status != exitInvalidPlay || !strings.Contains(text, "no rule was broken") || status == exitUntried && !strings.Contains(text, "not tried: peer\n") {
				t.Errorf("%d service registries: exit status %d:\n%s", services, status, text)
			}
			byKind := readResults(t, results)
			if served := byKind["total"][0]["ended"].(map[string]any)["served"].(float64); served < 50 || len(byKind["gateway"]) != 2 || len(byKind["costs"]) != 1 || len(byKind["rule"]) == 0 || len(byKind["verdict"]) != 1 {
				t.Errorf("%d service registries: results %v", services, byKind)
			}
			if running := processesOf(t, dir); len(running) > 0 {
				t.Errorf("processes %v still run", running)
			}
		})
	}
	wg.Wait()
}

// A gateway that breaks a rule on real sockets is reported under that rule.
func TestPlayReportsDefectiveGateways(t *testing.T) {
	for defect, want := range map[string]string{"hangs": "stop: ", "makes up": "answer: ", "answers twice": "twice: ", "strays": "unknown: ", "drops": "door: ", "dies": "ended at its start; it said:\nno gateway"} {
		t.Setenv("GATEWAY_DOUBLE", defect)
		dir := t.TempDir()
		status, text := runCommand(t.Context(), "play", writeFile(t, fmt.Sprintf(strings.Replace(smallScenario, "3s", "1s", 1), 0, "")), "--gateway", os.Args[0], "--registry", daemonDir+"/registry", "--dir", dir, "--quiet")
		if status != exitViolation && defect != "dies" || status == 0 || !strings.Contains(text, want) {
			t.Errorf("%s: exit status %d:\n%s", defect, status, text)
		}
		if running := processesOf(t, dir); len(running) > 0 {
			t.Errorf("%s: processes %v still run", defect, running)
		}
	}
}

// An interrupted fleet ends without remaining processes, both at its start and under load.
func TestUpEndsCleanly(t *testing.T) {
	for _, until := range []string{"Ctrl-C ends it", "served"} {
		dir := t.TempDir()
		ctx, stop := context.WithCancel(t.Context())
		var out syncBuffer
		statuses := make(chan int)
		go func() {
			statuses <- run(ctx, []string{"up", "--gateways", "2", "--rate", "50", "--gateway", daemonDir + "/gateway", "--registry", daemonDir + "/registry", "--dir", dir}, &out, &out)
		}()
		for deadline := time.Now().Add(30 * time.Second); !strings.Contains(out.String(), until) && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		stop()
		if status := <-statuses; status != 0 && status != exitInvalidPlay && until == "served" {
			t.Errorf("interrupted at %q: exit status %d:\n%s", until, status, &out)
		}
		if running := processesOf(t, dir); len(running) > 0 {
			t.Errorf("processes %v still run", running)
		}
	}
}

// Each command prints its result, or names what is wrong, with the right exit status.
func TestCommands(t *testing.T) {
	var requests []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests = append(requests, r.Method+" "+r.URL.Path)
		if strings.Contains(r.URL.Path, "gone") {
			w.WriteHeader(http.StatusNotFound)
		}
		io.WriteString(w, "said\n")
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	invalid := writeFile(t, "colour = 1")
	for _, test := range []struct {
		args   string
		status int
		want   string
	}{
		{"--help", 0, "a whole fleet"},
		{"up --help", 0, "--rate"},
		{"version", 0, "dunlintray"},
		{"dance", 1, "dance"},
		{"up --rate=-1", 1, "load.requests_per_s"},
		{"up --rate 1e6", 1, "asks more than this machine has"},
		{"play " + invalid, 1, invalid + ":1: colour: no such key"},
		{"play nowhere.toml", 1, "no such file"},
		{"play calm --gateway /nowhere", 1, "build all with"},
		{"play calm --seed 7 --faults random --gateway /nowhere", 1, "# play calm --seed 7 --faults random\n[[fault]]\nkind = "},
		{"play calm --tried drain,juggling", 1, `there is no rule "juggling"; there are answer, twice`},
		{"config check " + invalid, 1, ":1: colour"},
		{"config print", 0, "[[class]]"},
		{"config print calm --gateway 1", 0, `"rank": 1`},
		{"config print calm --gateway 9", 1, "not from 0 to 2"},
		{"config print --faults", 0, "vanish"},
		{"call " + address + " counters", 0, "said"},
		{"call " + address + " offline b-1", 0, "said"},
		{"call " + address + " online gone", 1, "status 404"},
		{"call " + address + " offline", 1, "a backend's id"},
		{"call 127.0.0.1:1 ready", 1, "refused"},
	} {
		status, text := runCommand(t.Context(), strings.Fields(test.args)...)
		if status != test.status || !strings.Contains(text, test.want) {
			t.Errorf("%s: exit status %d, want %d with %q:\n%s", test.args, status, test.status, test.want, text)
		}
	}
	if got := strings.Join(requests, ", "); got != "GET /control/counters, POST /control/backends/b-1/offline, POST /control/backends/gone/online" {
		t.Errorf("requests at the control address: %s", got)
	}
}

// The views of several gateways are compared. A gateway that does not answer, or repeats the number
// of another, is named.
func TestMembersComparesViews(t *testing.T) {
	gateway := func(self int, states string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if self < 0 {
				http.Error(w, "membership is off", http.StatusNotFound)
				return
			}
			var members []string
			for n, state := range strings.Fields(states) {
				members = append(members, fmt.Sprintf(`{"number":%d,"state":%q}`, n, state))
			}
			fmt.Fprintf(w, `{"self":%d,"on":true,"state":"divided","stateForMs":1500,"why":"hears little","members":[%s,{"number":1000000000,"state":"alive"}]}`+"\n", self, strings.Join(members, ","))
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	gateway0, gateway1 := gateway(0, "alive suspect dead"), gateway(1, "alive alive left")
	gateway2, off := gateway(2, "dead dead alive"), gateway(-1, "")
	for _, test := range []struct {
		args   []string
		status int
		want   string
	}{
		{[]string{gateway0}, 0, "suspect  0s"},
		{[]string{gateway0}, 0, "divided for 1.5s: hears little\n"},
		{[]string{gateway0, gateway1}, 0, "n0: divided for 1.5s: hears little\nn1: divided for 1.5s: hears little\npresent in no view: n2\nall 2 agree\n"},
		{[]string{gateway0, gateway2, gateway1}, 0, "likely cut: n0 n1 | n2\n"},
		{[]string{gateway0, off, gateway1}, 1, off + " did not answer: status 404"},
		{[]string{gateway0, gateway1, gateway(1, "alive alive alive")}, 1, "both say that they are n1; only the first is compared\npresent in no view: n2\nall 2 agree"},
		{[]string{"--json", gateway0, gateway2}, 0, `{"self":2`},
		{[]string{off}, 1, "membership is off"},
	} {
		status, text := runCommand(t.Context(), append([]string{"members"}, test.args...)...)
		if status != test.status || !strings.Contains(text, test.want) {
			t.Errorf("%v: exit status %d, want %d with %q:\n%s", test.args, status, test.status, test.want, text)
		}
	}
}

// A data directory is checked, dumped and compacted unless a service uses it, and damage is named
// with its file and offset.
func TestDataCommands(t *testing.T) {
	dir := t.TempDir()
	log, _, err := registry.Open(wal.Dir(dir), 64<<20, registry.Limits{Lease: time.Second}, 0)
	if err != nil {
		t.Fatal(err)
	}
	data := func(operation string) (int, string) { return runCommand(t.Context(), "data", operation, dir) }
	if status, text := data("check"); status != 1 || !strings.Contains(text, "in use by process") {
		t.Errorf("check of a directory in use: exit status %d:\n%s", status, text)
	}
	for _, record := range []string{`{"begin":{"history":"h","version":7,"from":7,"epoch":1,"writer":true}}`,
		`{"change":{"version":8,"instance":{"instanceId":"s-1","hostPort":"127.0.0.1:80","zone":"a","machineType":"m","cell":0,"lifecycle":"Ready","weight":1,"startedAtMs":5}}}`} {
		if _, err := log.Append([][]byte{[]byte(record)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		operation, want string
	}{{"check", "2 records after the snapshot"}, {"dump", `{"sequence":2,"record":{"change":{"version":8,`}, {"compact", "snapshot at 2:"},
		{"check", "snapshot at 2: 3 records"}, {"dump", `{"record":{"entry":{"version":8,`}} {
		if status, text := data(test.operation); status != 0 || !strings.Contains(text, test.want) {
			t.Errorf("%s: exit status %d, want 0 with %q:\n%s", test.operation, status, test.want, text)
		}
	}
	snapshots, _ := filepath.Glob(filepath.Join(dir, "*.snap"))
	text, err := os.ReadFile(snapshots[0])
	if err != nil {
		t.Fatal(err)
	}
	text[60] ^= 1
	os.WriteFile(snapshots[0], text, 0o600)
	for _, operation := range []string{"check", "dump", "compact"} {
		if status, text := data(operation); status != 1 || !strings.Contains(text, filepath.Base(snapshots[0])+" at byte 32") {
			t.Errorf("%s of a damaged snapshot: exit status %d:\n%s", operation, status, text)
		}
	}
}

// Twelve gateways and three service registries break no rule under concurrent faults, and their
// membership views converge afterwards. A play that is invalid on a busy machine is repeated once.
func TestMembershipConvergesAfterMishaps(t *testing.T) {
	t.Parallel()
	for range 2 {
		result := playScenario(t, "mishaps", 1, nil)
		if result.InvalidReason != "" {
			t.Log(result.InvalidReason)
			continue
		}
		for _, violation := range result.Violations {
			t.Error(violation)
		}
		if untried := referee.Untried(result.Trials, []string{"view", "standing", "standing/swing"}); len(untried) > 0 {
			t.Errorf("rules not exercised: %v", untried)
		}
		return
	}
	t.Skip("the machine is too busy for a valid play")
}

// Each shipped scenario is listed, and parses.
func TestShippedScenarios(t *testing.T) {
	names := scenarios.Names()
	if len(names) < 7 {
		t.Errorf("%d scenarios are shipped, want at least 7: %v", len(names), names)
	}
	for _, name := range names {
		s, err := readScenario(name)
		if err != nil || s.Name != name {
			t.Errorf("%s: parsed as %+v, error %v", name, s, err)
		}
	}
}
