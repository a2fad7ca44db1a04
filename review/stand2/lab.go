package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lab is one run of a case: the processes that it started, and its record.
type lab struct {
	root    string // of the repository
	dir     string // temporary folder
	trouble bool   // with the disruption
	start   time.Time
	ctx     context.Context // ends when the run takes too long
	end     func()          // releases ctx

	mu        sync.Mutex
	record    *os.File
	processes []*process
	broken    []string
}

// maxRun is the longest time of a run.
const maxRun = 110 * time.Second

// newLab begins a run that writes its record to the file at recordPath.
func newLab(root, recordPath string, trouble bool) (*lab, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	timed, cancel := context.WithTimeout(context.Background(), maxRun)
	ctx, stop := signal.NotifyContext(timed, os.Interrupt, syscall.SIGTERM)
	return &lab{root: root, dir: dir, trouble: trouble, start: time.Now(), ctx: ctx, end: func() { stop(); cancel() }, record: record}, nil
}

// at returns the seconds since the start of the run.
func (l *lab) at(t time.Time) float64 { return t.Sub(l.start).Seconds() }

// note writes a line to the record.
func (l *lab) note(format string, arguments ...any) {
	line := fmt.Sprintf("%9.3f ", l.at(time.Now())) + fmt.Sprintf(format, arguments...)
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintln(l.record, line)
}

// say writes a line to the record and to standard output.
func (l *lab) say(format string, arguments ...any) {
	l.note(format, arguments...)
	fmt.Printf("%9.3f %s\n", l.at(time.Now()), fmt.Sprintf(format, arguments...))
}

// breach records that the rule was broken.
func (l *lab) breach(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	l.mu.Lock()
	l.broken = append(l.broken, text)
	count := len(l.broken)
	l.mu.Unlock()
	if l.note("BROKEN %s", text); count <= 5 {
		fmt.Println("BROKEN", text)
	}
}

// sleepUntil sleeps until a time of the run, in seconds.
func (l *lab) sleepUntil(seconds float64) {
	select {
	case <-time.After(time.Until(l.start.Add(time.Duration(seconds * float64(time.Second))))):
	case <-l.ctx.Done():
	}
}

// finish ends all processes and returns the exit code of the run.
func (l *lab) finish(err error) int {
	for _, process := range l.processes {
		process.kill()
	}
	defer l.record.Close()
	defer l.end()
	defer os.RemoveAll(l.dir)
	switch {
	case err != nil:
		l.say("could not run: %v", err)
		return 2
	case l.ctx.Err() != nil:
		l.say("could not run: the time is over")
		return 2
	case len(l.broken) > 0:
		l.say("the rule was broken %d times", len(l.broken))
		return 1
	}
	l.say("the rule held")
	return 0
}

// runCommand returns the value of a key of the deploy file.
func (l *lab) deployCommand(key string) (string, error) {
	text, err := os.ReadFile(filepath.Join(l.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		name, value, found := strings.Cut(line, "=")
		if found && strings.TrimSpace(name) == key {
			return strconv.Unquote(strings.TrimSpace(value))
		}
	}
	return "", fmt.Errorf("the deploy file has no %s", key)
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// process is one process of a gateway.
type process struct {
	command *exec.Cmd
	name    string
	log     *os.File
	ended   chan struct{}
	mu      sync.Mutex
	err     error
}

// gateway is one gateway as the platform sees it.
type gateway struct {
	lab       *lab
	name      string
	listen    string
	control   string
	discovery string
	config    string // path
	document  map[string]any
	inherited *os.File // clients' socket, held by the platform; nil: the process listens itself
	tmp       string
	starts    int
}

// object is a JSON object.
type object = map[string]any

// newGateway writes the configuration of a gateway. The caller may change the document before.
func (l *lab) newGateway(name, discovery, counter string, limits, settings object) *gateway {
	g := &gateway{lab: l, name: name, listen: freeAddress(), discovery: discovery, tmp: filepath.Join(l.dir, name+"-tmp"),
		config: filepath.Join(l.dir, name+".json")}
	os.MkdirAll(g.tmp, 0o755)
	g.document = object{"name": name, "listen": g.listen, "discovery": discovery, "seed": "8c1f30d27a5be964", "limits": limits,
		"settings": settings, "known": object{"generation": 0, "reset": true, "instances": []any{}}}
	if counter != "" {
		g.document["counter"] = counter
	}
	g.writeConfig()
	return g
}

// writeConfig writes the configuration file.
func (g *gateway) writeConfig() {
	text, err := json.MarshalIndent(g.document, "", " ")
	if err != nil {
		panic(err)
	}
	if err := os.WriteFile(g.config+".new", text, 0o644); err != nil {
		panic(err)
	}
	os.Rename(g.config+".new", g.config)
}

// hold makes the platform hold the clients' socket.
func (g *gateway) hold() error {
	listener, err := net.Listen("tcp", g.listen)
	if err != nil {
		return err
	}
	defer listener.Close()
	g.inherited, err = listener.(*net.TCPListener).File()
	return err
}

// startProcess starts a process of the gateway with the command of the deploy file.
func (g *gateway) startProcess() (*process, error) { return g.startProcessAt(freeAddress()) }

// startProcessAt starts a process with the given address for operators.
func (g *gateway) startProcessAt(control string) (*process, error) {
	run, err := g.lab.deployCommand("run")
	if err != nil {
		return nil, err
	}
	g.starts++
	g.control = control
	name := fmt.Sprintf("%s-%d", g.name, g.starts)
	p := &process{command: exec.Command("/bin/sh", "-c", run), name: name, ended: make(chan struct{})}
	if p.log, err = os.Create(filepath.Join(g.lab.dir, name+".log")); err != nil {
		return nil, err
	}
	p.command.Dir = g.lab.root
	p.command.Stdout, p.command.Stderr = p.log, p.log
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	p.command.Env = append(os.Environ(), "EDGE_NAME="+g.name, "EDGE_LISTEN="+g.listen, "EDGE_DISCOVERY="+g.discovery,
		"EDGE_CONFIG="+g.config, "EDGE_CONTROL="+g.control, "TMPDIR="+g.tmp)
	if g.inherited != nil {
		p.command.ExtraFiles = []*os.File{g.inherited}
		p.command.Env = append(p.command.Env, "EDGE_FD=3")
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	g.lab.note("%s started, pid %d, clients at %s", name, p.command.Process.Pid, g.listen)
	g.lab.mu.Lock()
	g.lab.processes = append(g.lab.processes, p)
	g.lab.mu.Unlock()
	go func() {
		err := p.command.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		g.lab.note("%s ended: %v", name, p.command.ProcessState)
		close(p.ended)
	}()
	return p, nil
}

// signal sends a signal to the program that run started.
func (p *process) signal(s syscall.Signal) { p.command.Process.Signal(s) }

// kill ends the process and what it may have started.
func (p *process) kill() {
	syscall.Kill(-p.command.Process.Pid, syscall.SIGKILL)
	select {
	case <-p.ended:
	case <-time.After(2 * time.Second):
	}
	p.log.Close()
}

// alive reports whether the process runs.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// resident returns the memory of the process in bytes that is not shared with files, and all of it.
func (p *process) resident() (anonymous, all int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		name, value, _ := strings.Cut(line, ":")
		fields := strings.Fields(value)
		if len(fields) == 0 {
			continue
		}
		kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
		switch name {
		case "RssAnon":
			anonymous = kilobytes << 10
		case "VmRSS":
			all = kilobytes << 10
		}
	}
	return anonymous, all
}

// awaitReady waits until the gateway says that it is ready for clients.
func (g *gateway) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline) && g.lab.ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		if answer := get(g.listen, "/health/ready", time.Second); answer.err == nil && answer.status == 200 {
			g.lab.note("%s is ready", g.name)
			return nil
		}
	}
	return fmt.Errorf("%s was not ready within %v", g.name, limit)
}

// awaitControl waits until the latest process of the gateway says yes on its second address.
func (g *gateway) awaitControl(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline) && g.lab.ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		if answer := get(g.control, "/control/ready", time.Second); answer.err == nil && answer.status == 200 {
			g.lab.note("%s: the new process says yes", g.name)
			return nil
		}
	}
	return fmt.Errorf("%s: the new process did not say yes within %v", g.name, limit)
}
