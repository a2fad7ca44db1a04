package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dunlintray/internal/gateway"
	"dunlintray/internal/link"
	"dunlintray/internal/testnet"
)

// TestMain runs the command itself if GATEWAY_AS_COMMAND is set, so that tests can start the test
// binary as a gateway.
func TestMain(m *testing.M) {
	if os.Getenv("GATEWAY_AS_COMMAND") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// launch prepares a process with the given configuration. rewrite replaces its configuration file.
func launch(t *testing.T, config string) (cmd *exec.Cmd, stderr *bytes.Buffer, rewrite func(config string)) {
	path := filepath.Join(t.TempDir(), "config.json")
	rewrite = func(config string) {
		if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	rewrite(config)
	cmd = exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "GATEWAY_AS_COMMAND=1", "EDGE_CONFIG="+path)
	stderr = &bytes.Buffer{}
	cmd.Stderr = stderr
	return cmd, stderr, rewrite
}

// startSilentDiscovery starts a discovery server that never answers, and reports its requests on asked.
func startSilentDiscovery(t *testing.T) (address string, asked chan struct{}) {
	asked = make(chan struct{}, 64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case asked <- struct{}{}:
		default:
		}
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), asked
}

// configText returns the configuration of a single gateway that uses the given discovery.
func configText(discovery string) string {
	return `{"name": "n0", "listen": "127.0.0.1:0", "discovery": "` + discovery +
		`", "seed": "1", "limits": {"cores": 1, "memory_mb": 64, "sockets": 256},
		"settings": {"fleetSize": 1, "localities": ["a"], "kinds": ["m"], "tickS": 0.002, "allowed": {"mostTries": 3, "connectTimeoutS": 1, "keepaliveS": 15},
		"classes": [{"name": "c", "objectiveS": 1, "deadlineS": 2}], "packages": [{"name": "p"}]}}`
}

// awaitRequest waits until a server reports a request on asked.
func awaitRequest(t *testing.T, asked <-chan struct{}, server string) {
	t.Helper()
	select {
	case <-asked:
	case <-time.After(20 * time.Second):
		t.Fatalf("%s got no request", server)
	}
}

// A configuration that is not valid must end the process with status 1 and one line of text.
func TestBadConfigurationExitsWithOneLine(t *testing.T) {
	cmd, stderr, _ := launch(t, `{"settings": {}}`)
	var exit *exec.ExitError
	if err := cmd.Run(); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("ended with %v", err)
	}
	if text := stderr.String(); strings.Count(text, "\n") != 1 || !strings.HasPrefix(text, "gateway: configuration ") {
		t.Errorf("standard error %q", text)
	}
}

// The option --check must accept the shipped example, reject a bad file, and start no gateway.
func TestCheckOptionValidatesConfiguration(t *testing.T) {
	cmd, stderr, _ := launch(t, "{")
	for path, want := range map[string]bool{"../../docs/examples/gateway.json": true, cmd.Env[len(cmd.Env)-1][len("EDGE_CONFIG="):]: false} {
		check := exec.Command(os.Args[0], "--check", "--config", path)
		check.Env, check.Stderr = cmd.Env, stderr
		if err := check.Run(); (err == nil) != want {
			t.Errorf("%s: %v\n%s", path, err, stderr)
		}
	}
}

// SIGTERM must end the process with status 0.
func TestSigtermEndsProcess(t *testing.T) {
	discovery, asked := startSilentDiscovery(t)
	cmd, stderr, _ := launch(t, configText(discovery))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	awaitRequest(t, asked, "discovery") // shows that it runs
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v, saying %q", err, stderr)
	}
}

// In a burst of more connections than its limit of descriptors, a gateway must never hold more, and
// must accept connections again once these are closed.
func TestDescriptorLimitHoldsInConnectionBurst(t *testing.T) {
	discovery, asked := startSilentDiscovery(t)
	address := testnet.TCP(t)
	cmd, stderr, _ := launch(t, strings.Replace(configText(discovery), "127.0.0.1:0", address, 1))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	awaitRequest(t, asked, "discovery")
	maxOpen := 0
	countOpen := func() {
		files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
		if err != nil {
			t.Fatal(err, stderr)
		}
		maxOpen = max(maxOpen, len(files))
	}
	var conns []net.Conn
	for index := range 500 {
		conn, err := net.DialTimeout("tcp", address, 20*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
		if index%3 == 0 {
			io.WriteString(conn, "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
		}
		countOpen()
	}
	for _, conn := range conns {
		conn.Close()
		countOpen()
	}
	if maxOpen > 256 || maxOpen < 50 {
		t.Errorf("up to %d descriptors open, limit 256", maxOpen)
	}
	resp, err := (&http.Client{Timeout: 20 * time.Second}).Get("http://" + address + "/health/ready")
	if err != nil {
		t.Fatalf("after the burst: %v\n%s", err, stderr)
	}
	resp.Body.Close()
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v, saying %q", err, stderr)
	}
}

// SIGHUP must apply the addresses of a new configuration. A file that is not valid must change nothing,
// and neither may end the process.
func TestSighupReloadsConfiguration(t *testing.T) {
	old, askedOld := startSilentDiscovery(t)
	next, askedNext := startSilentDiscovery(t)
	cmd, stderr, rewrite := launch(t, configText(old))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	awaitRequest(t, askedOld, "the old discovery")
	rewrite("{")
	cmd.Process.Signal(syscall.SIGHUP)
	rewrite(configText(next))
	cmd.Process.Signal(syscall.SIGHUP)
	awaitRequest(t, askedNext, "the new discovery")
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v, saying %q", err, stderr)
	}
}

// startProcess starts the command with the client socket as descriptor 3, and returns its standard
// error and its control address.
func startProcess(t *testing.T, listener *os.File, dir, discovery string) (cmd *exec.Cmd, stderr *bytes.Buffer, control string) {
	t.Helper()
	control = testnet.TCP(t)
	cmd, stderr, _ = launch(t, strings.Replace(configText(discovery), `"seed"`, `"control": "`+control+`", "seed"`, 1))
	cmd.ExtraFiles = []*os.File{listener}
	cmd.Env = append(cmd.Env, "EDGE_FD=3", "TMPDIR="+dir)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	return cmd, stderr, control
}

// awaitAnswer repeats a request until the answer contains the text.
func awaitAnswer(t *testing.T, url, text string) {
	t.Helper()
	answer := ""
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		resp, err := http.Get(url)
		if err != nil {
			continue // the process does not listen yet
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if answer = resp.Status + "\n" + string(body); strings.Contains(answer, text) {
			return
		}
	}
	t.Fatalf("%s did not answer %q in time, but %q", url, text, answer)
}

// A successor process must take over without a refused connection, and keep the operator overrides. A
// successor that is killed must leave the gateway to the first process.
func TestSuccessorTakesOver(t *testing.T) {
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, `{"generation": 1, "reset": true, "instances": [
			{"instanceId": "s-1", "hostPort": "127.0.0.1:1", "zone": "a", "machineType": "m", "lifecycle": "Ready", "weight": 1}]}`)
	}))
	defer discovery.Close()
	address := strings.TrimPrefix(discovery.URL, "http://")
	inherited, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inherited.Close()
	listener, err := inherited.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dir := t.TempDir()
	awaitReady := func(control string) { awaitAnswer(t, "http://"+control+"/control/ready", "200 OK") }

	old, stderr, control := startProcess(t, listener, dir, address)
	awaitReady(control)
	resp, err := http.Post("http://"+control+"/control/backends/s-1/offline", "", nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("offline: %v %v", resp, err)
	}
	killed, _, failing := startProcess(t, listener, dir, address)
	awaitReady(failing)
	killed.Process.Kill()
	killed.Wait()
	next, _, nextControl := startProcess(t, listener, dir, address)
	awaitReady(nextControl)
	awaitAnswer(t, "http://"+nextControl+"/control/counters", "app.skipped_backends:1|g")

	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- old.Wait() }()
	clients := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for running := true; running; {
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("the old process ended with %v, saying %q", err, stderr)
			}
			running = false
		default:
		}
		resp, err := clients.Get("http://" + inherited.Addr().String() + "/health/ready")
		if err != nil {
			t.Fatalf("a client connection failed: %v", err)
		}
		resp.Body.Close()
	}
	if err := next.Process.Signal(syscall.Signal(0)); err != nil {
		t.Errorf("the new process: %v", err)
	}
	awaitAnswer(t, "http://"+nextControl+"/control/counters", "app.skipped_backends:1|g")
}

// fleetNetwork relays the datagrams between the members of a fleet, and can inject faults. A member
// may have several processes.
type fleetNetwork struct {
	*link.DatagramRelay
	t     *testing.T
	peers string // all addresses, as a JSON list

	mu     sync.Mutex
	faults map[[2]int]link.Condition
}

func newFleetNetwork(t *testing.T, size int) *fleetNetwork {
	t.Helper()
	network := &fleetNetwork{t: t, faults: map[[2]int]link.Condition{}}
	var members []netip.AddrPort
	for range size {
		members = append(members, netip.MustParseAddrPort(testnet.UDP(t)))
	}
	addresses := slices.Repeat([]string{"127.0.0.1:0"}, size+1)
	var err error
	ready := make(chan struct{})
	network.DatagramRelay, err = link.NewDatagramRelay(addresses, members, func(from, to int, data []byte) {
		<-ready
		network.mu.Lock()
		fault, faulty := network.faults[[2]int{from, to}]
		network.mu.Unlock()
		if to != link.Broadcast && (!faulty || len(fault.DatagramDelays(rand.Float64)) > 0) {
			network.Deliver(from, to, data)
		}
	})
	close(ready)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(network.Close)
	var peers []string
	for index := range size {
		peers = append(peers, `"`+network.Address(index)+`"`)
	}
	network.peers = "[" + strings.Join(peers, ", ") + "]"
	return network
}

// setDropped drops all datagrams from one member to another, or lets them pass again.
func (x *fleetNetwork) setDropped(from, to int, dropped bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if delete(x.faults, [2]int{from, to}); dropped {
		x.faults[[2]int{from, to}] = link.Condition{Kind: link.Dropped}
	}
}

// member is a gateway process with membership.
type member struct {
	*fleetNetwork
	cmd     *exec.Cmd
	stderr  *bytes.Buffer
	control string
	address netip.AddrPort
}

// start starts a process for a member of a fleet of the given size, with an address of its own.
func (x *fleetNetwork) start(number, size int, discovery string) *member {
	x.t.Helper()
	process := &member{fleetNetwork: x, control: testnet.TCP(x.t), address: netip.MustParseAddrPort(testnet.UDP(x.t))}
	text := strings.NewReplacer(`"seed"`, fmt.Sprintf(`"control": %q, "membership": true, "peer_listen": %q, "peers": %s, "seed"`, process.control, process.address, x.peers),
		`"fleetSize": 1`, fmt.Sprintf(`"fleetSize": %d, "rank": %d, "familyInfo": {"inboxPerS": 100}`, size, number)).Replace(configText(discovery))
	process.cmd, process.stderr, _ = launch(x.t, text)
	if err := process.cmd.Start(); err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { process.cmd.Process.Kill(); process.cmd.Wait() })
	return process
}

// awaitView repeats GET /control/members until the answer is as wanted.
func (m *member) awaitView(condition string, want func(view gateway.MembersView) bool) {
	m.t.Helper()
	var view gateway.MembersView
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + m.control + "/control/members")
		if err != nil {
			continue // the process does not listen yet
		}
		err = json.NewDecoder(resp.Body).Decode(&view)
		resp.Body.Close()
		if err == nil && want(view) {
			return
		}
	}
	m.t.Fatalf("%s: %+v", condition, view)
}

// hasAlive returns a condition for awaitView: exactly these members are alive, and all others dead.
func hasAlive(present ...int) func(gateway.MembersView) bool {
	return func(view gateway.MembersView) bool {
		for _, member := range view.Members {
			if want := map[bool]string{true: "alive", false: "dead"}[slices.Contains(present, member.Number)]; member.State != want {
				return false
			}
		}
		return len(view.Members) > 0
	}
}

// A process whose number a later process has must be superseded and report so, wherever either of them
// listens. A member that moves must be found again, and one that reaches nobody must be dead.
func TestSupersededAndUnreachableMembers(t *testing.T) {
	t.Parallel()
	discovery, _ := startSilentDiscovery(t)
	network := newFleetNetwork(t, 3)
	var all []*member
	for number := range 3 {
		process := network.start(number, 3, discovery)
		network.SetAddress(number, process.address)
		all = append(all, process)
	}
	for _, process := range all {
		process.awaitView("all join", hasAlive(0, 1, 2))
	}

	// The same number is started twice by mistake, and both processes reach the others.
	twin := network.start(1, 3, discovery)
	network.AddSource(1, twin.address)
	network.SetAddress(1, twin.address)
	twin.awaitView("the later process takes part", hasAlive(0, 1, 2))
	network.SetAddress(1, all[1].address) // datagrams for the number go to the earlier process
	all[1].awaitView("the earlier process is superseded", func(view gateway.MembersView) bool { return view.Superseded })
	awaitAnswer(t, "http://"+all[1].control+"/control/counters", "app.members.superseded:1|g")
	network.SetAddress(1, twin.address)
	twin.awaitView("the later process still takes part", func(view gateway.MembersView) bool { return !view.Superseded && hasAlive(0, 1, 2)(view) })

	// A process is stopped, a successor is started at another address, and the first one continues.
	if err := all[2].cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	all[0].awaitView("a stopped process is dead", hasAlive(0, 1))
	next := network.start(2, 3, discovery)
	network.SetAddress(2, next.address)
	all[0].awaitView("its successor is found", hasAlive(0, 1, 2))
	network.AddSource(2, all[2].address)
	if err := all[2].cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	network.SetAddress(2, all[2].address)
	all[2].awaitView("the process is superseded when it continues", func(view gateway.MembersView) bool { return view.Superseded })
	network.SetAddress(2, next.address)
	next.awaitView("its successor takes part", func(view gateway.MembersView) bool { return !view.Superseded && hasAlive(0, 1, 2)(view) })

	// Member 0 receives everything and reaches nobody; then its links recover one by one.
	network.setDropped(0, 1, true)
	network.setDropped(0, 2, true)
	twin.awaitView("a member that reaches nobody is dead", hasAlive(1, 2))
	next.awaitView("a member that reaches nobody is dead for all", hasAlive(1, 2))
	network.setDropped(0, 1, false)
	all[0].awaitView("the member is alive through another one", hasAlive(0, 1, 2)) // member 1 relays for it
	network.setDropped(0, 2, false)
	for _, process := range []*member{all[0], twin, next} {
		process.awaitView("all members are alive", hasAlive(0, 1, 2))
	}
	for _, process := range []*member{all[1], all[2]} {
		process.cmd.Process.Kill()
		process.cmd.Wait()
		if text := process.stderr.String(); !strings.Contains(text, "another process has this gateway's number") {
			t.Errorf("a superseded process did not report so:\n%s", text)
		}
	}
}
