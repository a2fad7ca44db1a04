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

// process is a process of the fleet across its restarts.
type process struct {
	name    string
	program string
	args    []string
	dir     string // for its configuration, log and TMPDIR
	usage   results.Gateway

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{} // closed when the current process has exited
	exit  error
}

// start starts the process. It calls exited with the exit status when the process has exited.
func (p *process) start(starter *child.Starter, config []byte, exited func(how string)) error {
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
	if err := starter.Start(cmd); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.usage.Starts++
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.exit = err
		p.usage.CPUSeconds += (cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()).Seconds()
		if rusage, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			p.usage.PeakMemoryMB = max(p.usage.PeakMemoryMB, float64(rusage.Maxrss)/1024)
		}
		p.mu.Unlock()
		close(ended)
		exited(cmd.ProcessState.String())
	}()
	return nil
}

// signal sends a signal to the current process, if it runs.
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

// awaitExit waits for the current process to exit, and kills it after the wait. It reports whether
// it had to.
func (p *process) awaitExit(wait time.Duration) (killed bool) {
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

// logTail returns the last lines of the process's log.
func (p *process) logTail() string {
	text, err := os.ReadFile(filepath.Join(p.dir, "log"))
	if err != nil {
		return err.Error()
	}
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-5):], []byte("\n")))
}

const (
	readyTimeout      = 30 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// awaitReady waits until url answers with status 200. It returns an error if the process exits, ctx
// ends or the timeout passes before.
func awaitReady(ctx context.Context, client *http.Client, p *process, url string) error {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	end := time.Now().Add(readyTimeout)
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
			return fmt.Errorf("%s ended at its start; it said:\n%s", p.name, p.logTail())
		case <-time.After(readyPollInterval):
		}
	}
	return fmt.Errorf("%s is not ready after %v; it said:\n%s", p.name, readyTimeout, p.logTail())
}

// addressPlan assigns the addresses of a run: those of a network 127.x that no other run on this
// machine uses, with ports below the ephemeral range.
type addressPlan struct{ network int }

// address returns the address with a port on the host with number n in a block of the network.
func (p addressPlan) address(block, n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", p.network, block+n/200, 1+n%200, port)
}

// claim returns the address on which a run listens to reserve its network.
func (p addressPlan) claim() string { return p.address(255, 0, 8080) }

func (p addressPlan) gateway(n int) string         { return p.address(16, n, 8081) }
func (p addressPlan) control(n int) string         { return p.address(16, n, 8082) }
func (p addressPlan) registry(n int) string        { return p.address(1, n, 8500) }
func (p addressPlan) registryGroup(n int) string   { return p.address(1, n, 8502) }
func (p addressPlan) registryControl(n int) string { return p.address(1, n, 8501) }
func (p addressPlan) peer(n int) string            { return p.address(16, n, 7946) }
func (p addressPlan) datagramRelay(n int) string   { return p.address(8, n, 7946) }
func (p addressPlan) linkRelay(n int) string       { return p.address(4, 0, 10000+n) }
func (p addressPlan) counter(gateway int) string   { return p.address(2, 0, 10000+gateway) }
func (p addressPlan) discoveryProxy(gateway, service int) string {
	return p.address(3, service, 10000+gateway)
}
func (p addressPlan) backend(gateway, n int) string { return p.address(64, n, 10000+gateway) }

// The loopback networks among which a run chooses, and how many it tries.
const (
	maxNetworksTried         = 20
	firstNetwork, endNetwork = 16, 250
	maxGatewaysPerNetwork    = 1000
	noFreeNetworkFormat      = "the addresses of %d runs in 127.0.0.0/8 are taken; the last: %w"
)

// claimNetwork reserves a network in which the addresses of the processes are free. The caller
// closes the returned listener to release it. Addresses of the emulator itself are not checked.
func claimNetwork(gateways, services int, random func(int) int) (addressPlan, net.Listener, error) {
	var lastErr error
	for range maxNetworksTried {
		plan := addressPlan{firstNetwork + random(endNetwork-firstNetwork)}
		var addresses []string
		for n := range gateways {
			addresses = append(addresses, plan.gateway(n), plan.control(n))
		}
		for n := range services {
			addresses = append(addresses, plan.registry(n), plan.registryControl(n), plan.registryGroup(n))
		}
		var claim net.Listener
		if claim, lastErr = net.Listen("tcp", plan.claim()); lastErr == nil {
			if lastErr = checkFree(addresses); lastErr == nil {
				return plan, claim, nil
			}
			claim.Close()
		}
		if !errors.Is(lastErr, syscall.EADDRINUSE) {
			return addressPlan{}, nil, lastErr
		}
	}
	return addressPlan{}, nil, fmt.Errorf("the addresses of %d runs in 127.0.0.0/8 are taken; the last: %w", maxNetworksTried, lastErr)
}

// checkFree returns an error if one of the addresses can't be listened on.
func checkFree(addresses []string) error {
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return err
		}
		l.Close()
	}
	return nil
}
