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

// bin is where the daemons are that the tests run.
var bin string

// TestMain builds the daemons, and lets the test binary stand in for a gateway
// with a defect.
func TestMain(m *testing.M) {
	if defect := os.Getenv("GATEWAY_DOUBLE"); defect != "" {
		double(defect)
		return
	}
	if len(os.Args) > 1 && strings.HasPrefix(os.Args[1], "scale") {
		os.Exit(run(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) // a scale run, which starts its own program again
	}
	os.Exit(func() int {
		var err error
		if bin, err = os.MkdirTemp("", "dunlintray-test-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(bin)
		build := exec.Command("go", "build", "-o", bin, "../gateway", "../registry")
		if text, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "%v\n%s", err, text)
			return 1
		}
		return m.Run()
	}())
}

// double is a gateway that refuses everything, but for its defect.
func double(defect string) {
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
	l, err := net.Listen("tcp", config.Listen)
	if err != nil {
		os.Exit(1)
	}
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			in := bufio.NewReader(c)
			for {
				req, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				io.Copy(io.Discard, req.Body)
				switch {
				case strings.HasPrefix(req.URL.Path, "/health"):
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					continue
				case defect == "makes up":
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
					continue
				case defect == "answers twice":
					io.WriteString(c, refusal)
				case defect == "strays":
					if resp, err := http.Get("http://" + config.Known.Instances[0].HostPort + "/browse"); err == nil {
						resp.Body.Close()
					}
				case defect == "drops":
					return
				}
				io.WriteString(c, refusal)
			}
		}()
	}
}

// small is a fleet that the slowest machine can play.
const small = `
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

func file(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "scenario.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// command runs the command, and returns what it wrote.
func command(ctx context.Context, args ...string) (status int, text string) {
	var out syncBuffer
	status = run(ctx, args, &out, &out)
	return status, out.String()
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// lines are the results by their kind.
func lines(t *testing.T, path string) map[string][]map[string]any {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	all := map[string][]map[string]any{}
	for line := range strings.Lines(string(text)) {
		var l map[string]any
		if err := json.Unmarshal([]byte(line), &l); err != nil {
			t.Fatalf("%v: %s", err, line)
		}
		all[l["kind"].(string)] = append(all[l["kind"].(string)], l)
	}
	return all
}

// processes are those whose configuration lies below dir.
func processes(t *testing.T, dir string) (all []string) {
	t.Helper()
	entries, err := os.ReadDir("/proc")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if text, err := os.ReadFile("/proc/" + e.Name() + "/cmdline"); err == nil && bytes.Contains(text, []byte(dir)) {
			all = append(all, e.Name())
		}
	}
	return all
}

// Fleets of real processes play side by side through a kill, a restart, a freeze and
// a replacement, without list services, with one and with two, whose links and
// machines fail too. No rule is broken, most is served, and nothing is left.
func TestPlay(t *testing.T) {
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
	// What can fail between these processes.
	const link = "[[fault]]\nkind = \"link\"\nat = \"1s\"\nfor = \"700ms\"\n"
	links := [3]string{"", link + "from = \"backends\"\nto = \"list0\"\nhow = \"reset\"\n" + link + "from = \"n0\"\nto = \"lists\"\nway = \"back\"\nhow = \"stalled\"\n"}
	links[2] = links[1] + link + "from = \"lists\"\nto = \"list0\"\nhow = \"dropped\"\n[[fault]]\nkind = \"gone\"\nat = \"1500ms\"\nfor = \"500ms\"\nwho = \"list1\"\n"
	var wg sync.WaitGroup
	for services := range 3 {
		dir := t.TempDir()
		scenario := file(t, fmt.Sprintf(small, services, faults+links[services]))
		wg.Go(func() {
			results := filepath.Join(dir, "results")
			status, text := command(t.Context(), "play", scenario, "--gateway", bin+"/gateway", "--registry", bin+"/registry", "--dir", dir, "--json", results, "--tried", "answer,crash,peer")
			// A machine that is too slow is not the program's fault; a broken rule is.
			if status != exitTried && status != exitLate || !strings.Contains(text, "no rule was broken") || status == exitTried && !strings.Contains(text, "not tried: peer\n") {
				t.Errorf("%d list services: ended with %d:\n%s", services, status, text)
			}
			all := lines(t, results)
			if served := all["total"][0]["ended"].(map[string]any)["served"].(float64); served < 50 || len(all["gateway"]) != 2 || len(all["costs"]) != 1 || len(all["rule"]) == 0 || len(all["verdict"]) != 1 {
				t.Errorf("%d list services: %v", services, all)
			}
			if left := processes(t, dir); len(left) > 0 {
				t.Errorf("%v are left", left)
			}
		})
	}
	wg.Wait()
}

// Gateways that break rules are named on real sockets too.
func TestDoubles(t *testing.T) {
	for defect, want := range map[string]string{"hangs": "stop: ", "makes up": "answer: ", "answers twice": "twice: ", "strays": "unknown: ", "drops": "door: ", "dies": "ended at its start; it said:\nno gateway"} {
		t.Setenv("GATEWAY_DOUBLE", defect)
		dir := t.TempDir()
		status, text := command(t.Context(), "play", file(t, fmt.Sprintf(strings.Replace(small, "3s", "1s", 1), 0, "")), "--gateway", os.Args[0], "--registry", bin+"/registry", "--dir", dir, "--quiet")
		if status != exitBroken && defect != "dies" || status == 0 || !strings.Contains(text, want) {
			t.Errorf("%s: ended with %d:\n%s", defect, status, text)
		}
		if left := processes(t, dir); len(left) > 0 {
			t.Errorf("%s: %v are left", defect, left)
		}
	}
}

// A fleet that is up ends when it is told to, whatever it is doing, and leaves no
// process.
func TestUpEndsCleanly(t *testing.T) {
	for _, until := range []string{"Ctrl-C ends it", "served"} {
		dir := t.TempDir()
		ctx, stop := context.WithCancel(t.Context())
		var out syncBuffer
		ended := make(chan int)
		go func() {
			ended <- run(ctx, []string{"up", "--gateways", "2", "--rate", "50", "--gateway", bin + "/gateway", "--registry", bin + "/registry", "--dir", dir}, &out, &out)
		}()
		for end := time.Now().Add(30 * time.Second); !strings.Contains(out.String(), until) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		stop()
		if status := <-ended; status != 0 && status != exitLate && until == "served" {
			t.Errorf("ended with %d:\n%s", status, &out)
		}
		if left := processes(t, dir); len(left) > 0 {
			t.Errorf("%v are left", left)
		}
	}
}

func TestCommands(t *testing.T) {
	var asked []string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = append(asked, r.Method+" "+r.URL.Path)
		if strings.Contains(r.URL.Path, "gone") {
			w.WriteHeader(http.StatusNotFound)
		}
		io.WriteString(w, "said\n")
	}))
	defer s.Close()
	address := strings.TrimPrefix(s.URL, "http://")
	bad := file(t, "colour = 1")
	for _, c := range []struct {
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
		{"play " + bad, 1, bad + ":1: colour: no such key"},
		{"play nowhere.toml", 1, "no such file"},
		{"play calm --gateway /nowhere", 1, "build all with"},
		{"play calm --seed 7 --faults random --gateway /nowhere", 1, "# play calm --seed 7 --faults random\n[[fault]]\nkind = "},
		{"play calm --tried drain,juggling", 1, `there is no rule "juggling"; there are answer, twice`},
		{"config check " + bad, 1, ":1: colour"},
		{"config print", 0, "[[class]]"},
		{"config print calm --gateway 1", 0, `"rank": 1`},
		{"config print calm --gateway 9", 1, "not from 0 to 2"},
		{"config print --faults", 0, "vanish"},
		{"call " + address + " counters", 0, "said"},
		{"call " + address + " offline b-1", 0, "said"},
		{"call " + address + " online gone", 1, "no: 404"},
		{"call " + address + " offline", 1, "a backend's id"},
		{"call 127.0.0.1:1 ready", 1, "refused"},
	} {
		status, text := command(t.Context(), strings.Fields(c.args)...)
		if status != c.status || !strings.Contains(text, c.want) {
			t.Errorf("%s: ended with %d, not %d:\n%s", c.args, status, c.status, text)
		}
	}
	if got := strings.Join(asked, ", "); got != "GET /control/counters, POST /control/backends/b-1/offline, POST /control/backends/gone/online" {
		t.Error(got)
	}
}

// The views of several gateways are compared; who does not tell, or has another's
// number, is named.
func TestMembersOfSeveral(t *testing.T) {
	gateway := func(self int, states string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	a, b := gateway(0, "alive suspect dead"), gateway(1, "alive alive left")
	c, off := gateway(2, "dead dead alive"), gateway(-1, "")
	for _, row := range []struct {
		args   []string
		status int
		want   string
	}{
		{[]string{a}, 0, "suspect  0s"},
		{[]string{a}, 0, "divided for 1.5s: hears little\n"},
		{[]string{a, b}, 0, "n0: divided for 1.5s: hears little\nn1: divided for 1.5s: hears little\npresent in no view: n2\nall 2 agree\n"},
		{[]string{a, c, b}, 0, "likely cut: n0 n1 | n2\n"},
		{[]string{a, off, b}, 1, off + " does not tell: no: 404"},
		{[]string{a, b, gateway(1, "alive alive alive")}, 1, "both say that they are n1; only the first is compared\npresent in no view: n2\nall 2 agree"},
		{[]string{"--json", a, c}, 0, `{"self":2`},
		{[]string{off}, 1, "membership is off"},
	} {
		status, text := command(t.Context(), append([]string{"members"}, row.args...)...)
		if status != row.status || !strings.Contains(text, row.want) {
			t.Errorf("%v: ended with %d:\n%s", row.args, status, text)
		}
	}
}

// A folder can be looked at and made smaller while nobody has it; damage is named.
func TestData(t *testing.T) {
	dir := t.TempDir()
	log, _, err := registry.Open(wal.Dir(dir), 64<<20, registry.Limits{Lease: time.Second}, 0)
	if err != nil {
		t.Fatal(err)
	}
	data := func(what string) (int, string) { return command(t.Context(), "data", what, dir) }
	if status, text := data("check"); status != 1 || !strings.Contains(text, "in use by process") {
		t.Errorf("in use: %d %s", status, text)
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
	for _, c := range []struct {
		what, want string
	}{{"check", "2 records behind the snapshot"}, {"dump", `{"sequence":2,"record":{"change":{"version":8,`}, {"compact", "snapshot at 2:"},
		{"check", "snapshot at 2: 3 records"}, {"dump", `{"record":{"entry":{"version":8,`}} {
		if status, text := data(c.what); status != 0 || !strings.Contains(text, c.want) {
			t.Errorf("%s: %d\n%s", c.what, status, text)
		}
	}
	snaps, _ := filepath.Glob(filepath.Join(dir, "*.snap"))
	text, err := os.ReadFile(snaps[0])
	if err != nil {
		t.Fatal(err)
	}
	text[60] ^= 1
	os.WriteFile(snaps[0], text, 0o600)
	for _, what := range []string{"check", "dump", "compact"} {
		if status, text := data(what); status != 1 || !strings.Contains(text, filepath.Base(snaps[0])+" at byte 32") {
			t.Errorf("%s: %d\n%s", what, status, text)
		}
	}
}

// The scenarios that ship can be played, and are listed.
// Twelve gateways and three list services are struck in eleven ways at once, and break
// no rule: in the end everybody holds everybody present and says that it is whole. A
// play for which the machine was too busy says nothing and is played once more.
func TestMishaps(t *testing.T) {
	t.Parallel()
	for range 2 {
		r := playing(t, "mishaps", 1, nil)
		if r.InvalidReason != "" {
			t.Log(r.InvalidReason)
			continue
		}
		for _, v := range r.Violations {
			t.Error(v)
		}
		if untried := referee.Untried(r.Trials, []string{"view", "standing", "standing/swing"}); len(untried) > 0 {
			t.Errorf("not tried: %v", untried)
		}
		return
	}
	t.Skip("the machine is too busy for it")
}

func TestShippedScenarios(t *testing.T) {
	names := scenarios.Names()
	if len(names) < 7 {
		t.Errorf("%v", names)
	}
	for _, name := range names {
		s, err := read(name)
		if err != nil || s.Name != name {
			t.Errorf("%s: %+v %v", name, s, err)
		}
	}
}
