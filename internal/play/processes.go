package play

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"dunlintray/internal/child"
	"dunlintray/internal/results"
)

// process is one of the fleet's, over all its lives.
type process struct {
	name    string
	program string
	args    []string
	dir     string // its configuration, its log and its TMPDIR
	use     results.Gateway

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{} // closed when the present life has ended
	exit  error
}

// start begins a life of the process; exited is called when it has ended.
func (p *process) start(s *child.Starter, config []byte, exited func(how string)) error {
	path := filepath.Join(p.dir, "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return err
	}
	tmp := filepath.Join(p.dir, "tmp")
	os.RemoveAll(tmp)
	if err := os.Mkdir(tmp, 0o700); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.program, append(p.args, "--config", path)...)
	cmd.Env = append(os.Environ(), "TMPDIR="+tmp, "EDGE_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := s.Start(cmd); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.use.Starts++
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.exit = err
		p.use.CPUSeconds += (cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()).Seconds()
		if use, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			p.use.PeakMemoryMB = max(p.use.PeakMemoryMB, float64(use.Maxrss)/1024)
		}
		p.mu.Unlock()
		close(ended)
		exited(cmd.ProcessState.String())
	}()
	return nil
}

// signal sends a signal to the present life, if there is one.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		select {
		case <-p.ended:
		default:
			p.cmd.Process.Signal(sig)
		}
	}
}

// end waits for the present life to end, and kills it after the wait. It says
// whether it had to.
func (p *process) end(wait time.Duration) (killed bool) {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return false
	}
	select {
	case <-ended:
		return false
	case <-time.After(wait):
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-ended
	return true
}

// lastWords are the end of what the process wrote.
func (p *process) lastWords() string {
	text, err := os.ReadFile(filepath.Join(p.dir, "log"))
	if err != nil {
		return err.Error()
	}
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-5):], []byte("\n")))
}

const (
	readyWait = 30 * time.Second
	readyPace = 20 * time.Millisecond
)

// awaitReady waits until an address answers yes, or the process has ended.
func awaitReady(ctx context.Context, client *http.Client, p *process, url string) error {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	end := time.Now().Add(readyWait)
	for time.Now().Before(end) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		resp, err := client.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ended:
			return fmt.Errorf("%s ended at its start; it said:\n%s", p.name, p.lastWords())
		case <-time.After(readyPace):
		}
	}
	return fmt.Errorf("%s is not ready after %v; it said:\n%s", p.name, readyWait, p.lastWords())
}

// place is where everything of one run is: a part of the loopback network that no
// other run uses, and ports below those that the system gives out.
type place struct{ net int }

func (p place) in(block, n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", p.net, block+n/200, 1+n%200, port)
}

// claim is held for as long as a run lasts; who has it has the place.
func (p place) claim() string { return p.in(255, 0, 8080) }

func (p place) gateway(n int) string              { return p.in(16, n, 8081) }
func (p place) control(n int) string              { return p.in(16, n, 8082) }
func (p place) registry(n int) string             { return p.in(1, n, 8500) }
func (p place) registryGroup(n int) string        { return p.in(1, n, 8502) }
func (p place) registryControl(n int) string      { return p.in(1, n, 8501) }
func (p place) peer(n int) string                 { return p.in(16, n, 7946) }
func (p place) relay(n int) string                { return p.in(8, n, 7946) }
func (p place) wire(n int) string                 { return p.in(4, 0, 10000+n) }
func (p place) counter(gateway int) string        { return p.in(2, 0, 10000+gateway) }
func (p place) agent(gateway, service int) string { return p.in(3, service, 10000+gateway) }
func (p place) backend(gateway, n int) string     { return p.in(64, n, 10000+gateway) }

// places to try, and the loopback networks among which they are.
const (
	placesTried        = 20
	firstNet, pastLast = 16, 250
	gatewaysInPlace    = 1000
	errTaken           = "the addresses of %d runs in 127.0.0.0/8 are taken; the last: %w"
)

// findPlace claims addresses of which the processes' are free. Those that this
// program listens on itself it takes later, or fails.
func findPlace(gateways, services int, random func(int) int) (place, net.Listener, error) {
	var last error
	for range placesTried {
		p := place{firstNet + random(pastLast-firstNet)}
		var addresses []string
		for n := range gateways {
			addresses = append(addresses, p.gateway(n), p.control(n))
		}
		for n := range services {
			addresses = append(addresses, p.registry(n), p.registryControl(n), p.registryGroup(n))
		}
		var claim net.Listener
		if claim, last = net.Listen("tcp", p.claim()); last == nil {
			if last = free(addresses); last == nil {
				return p, claim, nil
			}
			claim.Close()
		}
		if !errors.Is(last, syscall.EADDRINUSE) {
			return place{}, nil, last
		}
	}
	return place{}, nil, fmt.Errorf("the addresses of %d runs in 127.0.0.0/8 are taken; the last: %w", placesTried, last)
}

func free(addresses []string) error {
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return err
		}
		l.Close()
	}
	return nil
}
