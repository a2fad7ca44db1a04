// Package standins has what the cases of the review share: the run of a case with its processes and
// its record, and small stand-ins for discovery, the counter, backends and clients. They do what the
// protocol page says and nothing else.
package standins

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// MaxDuration is the longest that a case may take.
const MaxDuration = 115 * time.Second

// Run is one run of a case.
type Run struct {
	Root    string // folder of the project
	Temp    string // folder of this run; removed at the end
	Trouble bool   // false: the run goes without the disruption

	startedAt time.Time
	mu        sync.Mutex
	record    *bufio.Writer
	file      *os.File
	procs     []*Proc
	finished  bool
}

// Start begins a run whose record is in the folder review/NAME of the project; NAME is the program's
// only argument. The working directory must be the project's root.
func Start() *Run {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "the number of the case is missing")
		os.Exit(NotRun)
	}
	name := os.Args[1]
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	temp, err := os.MkdirTemp("", "review-"+name+"-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	file, err := os.Create(filepath.Join(root, "review", name, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	run := &Run{Root: root, Temp: temp, Trouble: os.Getenv("TROUBLE") != "0", startedAt: time.Now(), file: file, record: bufio.NewWriter(file)}
	run.Log("case %s, disruption: %t", name, run.Trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			run.Finish(NotRun, "interrupted")
		case <-time.After(MaxDuration):
			run.Finish(NotRun, "the case took longer than it may")
		}
	}()
	return run
}

// Now returns the time since the start of the run.
func (r *Run) Now() time.Duration { return time.Since(r.startedAt) }

// Log writes a line to the record, after the time in seconds.
func (r *Run) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.finished {
		fmt.Fprintf(r.record, "%8.3f %s\n", r.Now().Seconds(), fmt.Sprintf(format, args...))
	}
}

// Say writes a line to the record and to standard output.
func (r *Run) Say(format string, args ...any) {
	r.Log(format, args...)
	fmt.Printf("%8.3f %s\n", r.Now().Seconds(), fmt.Sprintf(format, args...))
}

// Finish ends all processes, closes the record and exits.
func (r *Run) Finish(code int, format string, args ...any) {
	r.Say("result %d: %s", code, fmt.Sprintf(format, args...))
	r.mu.Lock()
	if r.finished {
		r.mu.Unlock()
		select {} // another call exits
	}
	r.finished = true
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		p.killGroup()
	}
	for _, p := range procs {
		<-p.Done
	}
	for _, p := range procs {
		r.appendLog(p)
	}
	r.record.Flush()
	r.file.Close()
	os.RemoveAll(r.Temp)
	os.Exit(code)
}

// Check ends the run with NotRun if err is not nil.
func (r *Run) Check(err error, what string) {
	if err != nil {
		r.Finish(NotRun, "%s: %v", what, err)
	}
}

// appendLog copies the end of a process's log to the record.
func (r *Run) appendLog(p *Proc) {
	const most = 6000
	text, _ := os.ReadFile(p.logPath)
	if len(text) > most {
		text = append([]byte("..."), text[len(text)-most:]...)
	}
	fmt.Fprintf(r.record, "\n--- log of %s (%s)\n%s\n", p.Name, p.State(), text)
}

// Proc is a process of the project.
type Proc struct {
	Name    string
	Done    chan struct{} // closed when it has ended
	cmd     *exec.Cmd
	logPath string
	run     *Run
}

// Launch starts a command with /bin/sh -c from the project's root, as the deployment page says.
func (r *Run) Launch(name, command string, env ...string) *Proc {
	p := &Proc{Name: name, Done: make(chan struct{}), run: r}
	r.mu.Lock()
	p.logPath = filepath.Join(r.Temp, fmt.Sprintf("%s-%d.log", name, len(r.procs)))
	r.mu.Unlock()
	log, err := os.Create(p.logPath)
	r.Check(err, name)
	tmpdir := filepath.Join(r.Temp, "tmp-"+name)
	r.Check(os.MkdirAll(tmpdir, 0o700), name)
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = r.Root, log, log
	p.cmd.Env = append(append(os.Environ(), "TMPDIR="+tmpdir), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	r.Check(p.cmd.Start(), name)
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	r.Log("start %s, process %d: %s", name, p.cmd.Process.Pid, command)
	go func() {
		p.cmd.Wait()
		log.Close()
		r.Log("end of %s: %s", name, p.cmd.ProcessState)
		close(p.Done)
	}()
	return p
}

// Signal sends a signal to the process.
func (p *Proc) Signal(s syscall.Signal) {
	p.run.Log("signal %s to %s", s, p.Name)
	p.cmd.Process.Signal(s)
}

func (p *Proc) killGroup() {
	if p.Alive() {
		syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
	}
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Proc) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Done
}

// Alive reports whether the process has not ended.
func (p *Proc) Alive() bool {
	select {
	case <-p.Done:
		return false
	default:
		return true
	}
}

// State describes how the process ended.
func (p *Proc) State() string {
	if p.Alive() {
		return "runs"
	}
	return p.cmd.ProcessState.String()
}

// LogText returns what the process has written so far.
func (p *Proc) LogText() string {
	text, _ := os.ReadFile(p.logPath)
	return string(text)
}

// GatewayCommand returns "run" of the deploy file.
func (r *Run) GatewayCommand() string {
	text, err := os.ReadFile(filepath.Join(r.Root, "deploy", "balancer.toml"))
	r.Check(err, "deploy file")
	for line := range strings.SplitSeq(string(text), "\n") {
		if key, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(key) == "run" {
			return strings.Trim(strings.TrimSpace(value), `"`)
		}
	}
	r.Finish(NotRun, "the deploy file has no run")
	return ""
}

// WriteJSON writes a value to a file of the run's folder, in place of the one that is there, and
// returns its path.
func (r *Run) WriteJSON(name string, value any) string {
	text, err := json.MarshalIndent(value, "", " ")
	r.Check(err, name)
	path := filepath.Join(r.Temp, name)
	r.Check(os.WriteFile(path+".new", text, 0o600), name)
	r.Check(os.Rename(path+".new", path), name)
	return path
}

// FreeAddress returns an address of the loopback interface that nobody listens on.
func (r *Run) FreeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.Check(err, "free port")
	defer listener.Close()
	return listener.Addr().String()
}

// Listen listens on a free address.
func (r *Run) Listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.Check(err, "listen")
	return listener
}

// ReadExample reads an example configuration of the project.
func (r *Run) ReadExample(name string) map[string]any {
	text, err := os.ReadFile(filepath.Join(r.Root, "docs", "examples", name))
	r.Check(err, name)
	var config map[string]any
	r.Check(json.Unmarshal(text, &config), name)
	return config
}

// WaitFor waits until a condition holds, and ends the run with NotRun if it does not in time.
func (r *Run) WaitFor(what string, timeout time.Duration, condition func() bool) {
	for end := time.Now().Add(timeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			r.Finish(NotRun, "%s: not within %v", what, timeout)
		}
	}
}
