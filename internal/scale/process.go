package scale

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"dunlintray/internal/child"
)

// process is a child process of the run over all its restarts. It is killed at the end of the
// run, and by the operating system if the run dies.
type process struct {
	name    string
	role    string
	dir     string
	starter *child.Starter

	mu           sync.Mutex
	cmd          *exec.Cmd
	ended        chan struct{} // closed when the current life has ended
	earlierUsage ResourceUsage // of lives before the current one
	lastUsage    ResourceUsage // of the current life, when last read
	killed       bool          // the run ended the current life
}

func newProcess(name, role, dir string, starter *child.Starter) (*process, error) {
	p := &process{name: name, role: role, dir: filepath.Join(dir, name), starter: starter}
	return p, os.MkdirAll(p.dir, 0o700)
}

// start begins a new life. Standard error, and standard output if out is nil, are appended to
// the process's log. died is called if the process ends without kill.
func (p *process) start(cmd *exec.Cmd, out io.Writer, died func(*process, error)) error {
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if out != nil {
		cmd.Stdout = out
	}
	if err := p.starter.Start(cmd); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended, p.killed, p.lastUsage = cmd, ended, false, ResourceUsage{}
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		killed := p.killed
		p.earlierUsage.CPU += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		p.earlierUsage.ReadBytes, p.earlierUsage.WrittenBytes, p.earlierUsage.StoredBytes = p.earlierUsage.ReadBytes+p.lastUsage.ReadBytes, p.earlierUsage.WrittenBytes+p.lastUsage.WrittenBytes, p.earlierUsage.StoredBytes+p.lastUsage.StoredBytes
		p.lastUsage = ResourceUsage{}
		p.mu.Unlock()
		close(ended)
		if !killed {
			died(p, err)
		}
	}()
	return nil
}

func (p *process) logPath() string { return filepath.Join(p.dir, "log") }

// usage returns the usage of the process, over all its lives.
func (p *process) usage() ResourceUsage {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return ResourceUsage{}
	}
	select {
	case <-p.ended:
	default:
		if current, err := readUsage(strconv.Itoa(p.cmd.Process.Pid)); err == nil {
			p.lastUsage = current
		}
	}
	total := p.lastUsage
	total.CPU, total.ReadBytes, total.WrittenBytes, total.StoredBytes = total.CPU+p.earlierUsage.CPU, total.ReadBytes+p.earlierUsage.ReadBytes, total.WrittenBytes+p.earlierUsage.WrittenBytes, total.StoredBytes+p.earlierUsage.StoredBytes
	return total
}

// kill ends the current life and waits for its end.
func (p *process) kill() {
	p.usage()
	p.mu.Lock()
	ended := p.ended
	if ended == nil {
		p.mu.Unlock()
		return
	}
	p.killed = true
	select {
	case <-ended:
	default:
		p.cmd.Process.Signal(syscall.SIGKILL)
	}
	p.mu.Unlock()
	<-ended
}

// logTail returns the last lines of the process's log.
func (p *process) logTail() string {
	text, err := os.ReadFile(p.logPath())
	if err != nil {
		return err.Error()
	}
	const maxLines = 5
	all := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	return string(bytes.Join(all[max(0, len(all)-maxLines):], []byte("\n")))
}

// host is a process of hollow gateways or backends, and the run's end of the protocol with it.
type host struct {
	*process
	in      io.WriteCloser
	ready   chan struct{}
	samples chan *Sample
	views   chan []View
	latency chan *Latency
}

const reportTimeout = 60 * time.Second // includes a garbage collection, or a search through all changes

var errNoReport = errors.New("no report from the host process")

// startHost starts a host process and sends its configuration. changed is called with the
// changes that the process reports.
func startHost(proc *process, command []string, config HostConfig, changed func([]Change), died func(*process, error)) (*host, error) {
	started := &host{process: proc, ready: make(chan struct{}), samples: make(chan *Sample, 1), views: make(chan []View, 1), latency: make(chan *Latency, 1)}
	cmd := exec.Command(command[0], command[1:]...)
	var err error
	if started.in, err = cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, report, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	err = proc.start(cmd, report, died)
	report.Close()
	if err != nil {
		out.Close()
		return nil, err
	}
	go started.readReports(out, changed)
	return started, json.NewEncoder(started.in).Encode(config)
}

func (h *host) readReports(out io.ReadCloser, changed func([]Change)) {
	defer out.Close()
	lines := bufio.NewReaderSize(out, 1<<16)
	for {
		text, err := readLine(lines)
		var report Report
		if err != nil || json.Unmarshal(text, &report) != nil {
			return
		}
		switch {
		case report.Ready:
			close(h.ready)
		case report.Changes != nil:
			changed(report.Changes)
		case report.Sample != nil:
			h.samples <- report.Sample
		case report.Latency != nil:
			h.latency <- report.Latency
		default:
			h.views <- report.Views
		}
	}
}

func (h *host) send(c Command) error {
	if err := json.NewEncoder(h.in).Encode(c); err != nil {
		return fmt.Errorf("%s: %w; end of its log:\n%s", h.name, err, h.logTail())
	}
	return nil
}

// awaitReport returns the next report of a kind, or an error if the process ends or does not
// report within reportTimeout.
func awaitReport[T any](source *host, reports <-chan T) (T, error) {
	timer := time.NewTimer(reportTimeout)
	defer timer.Stop()
	select {
	case report := <-reports:
		return report, nil
	case <-source.ended:
	case <-timer.C:
	}
	var zero T
	return zero, fmt.Errorf("%s: %w; end of its log:\n%s", source.name, errNoReport, source.logTail())
}

func (h *host) readSample(collect bool) (*Sample, error) {
	if err := h.send(Command{Sample: &SampleRequest{Collect: collect}}); err != nil {
		return nil, err
	}
	return awaitReport(h, h.samples)
}

func (h *host) readViews() ([]View, error) {
	if err := h.send(Command{Views: true}); err != nil {
		return nil, err
	}
	return awaitReport(h, h.views)
}

// maxChangesPerLine limits the number of changes in one command.
const maxChangesPerLine = 10_000

func (h *host) readLatency(changes []Change) (*Latency, error) {
	for len(changes) > 0 {
		count := min(len(changes), maxChangesPerLine)
		if err := h.send(Command{Changes: changes[:count]}); err != nil {
			return nil, err
		}
		changes = changes[count:]
	}
	if err := h.send(Command{Latency: true}); err != nil {
		return nil, err
	}
	return awaitReport(h, h.latency)
}
