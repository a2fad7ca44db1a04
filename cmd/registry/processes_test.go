package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
)

// processes are service registries, each in its own process, with their configurations in one
// folder.
type processes struct {
	t    *testing.T
	dir  string
	cmds []*exec.Cmd // nil: not running
}

func newProcesses(t *testing.T, n int) processes {
	return processes{t: t, dir: t.TempDir(), cmds: make([]*exec.Cmd, n)}
}

// config returns the path of a process's configuration.
func (p *processes) config(n int) string { return filepath.Join(p.dir, fmt.Sprint(n, ".json")) }

// write writes the configuration of a process.
func (p *processes) write(n int, config map[string]any) {
	p.t.Helper()
	text, err := json.Marshal(config)
	if err != nil {
		p.t.Fatal(err)
	}
	if err := os.WriteFile(p.config(n), text, 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// start starts a service registry with the configuration that write has written.
func (p *processes) start(n int) {
	p.t.Helper()
	cmd := exec.Command(os.Args[0], "--config", p.config(n), "--log-level", "error")
	cmd.Env = append(os.Environ(), "REGISTRY_AS_COMMAND=1", "GORACE=halt_on_error=1")
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.cmds[n] = cmd
}

// kill kills a process, if it is running. It is an error if the process has already exited.
func (p *processes) kill(n int) {
	if p.cmds[n] == nil {
		return
	}
	p.cmds[n].Process.Kill()
	p.cmds[n].Wait()
	if status, ok := p.cmds[n].ProcessState.Sys().(syscall.WaitStatus); !ok || !status.Signaled() {
		p.t.Errorf("process %d exited before it was killed: %v", n+1, p.cmds[n].ProcessState)
	}
	p.cmds[n] = nil
}

func (p *processes) killAll() {
	for n := range p.cmds {
		p.kill(n)
	}
}

// terminate sends SIGTERM to a process and waits until it has exited without an error.
func (p *processes) terminate(n int) {
	p.signal(n, syscall.SIGTERM)
	if err := p.cmds[n].Wait(); err != nil {
		p.t.Errorf("process %d exited with %v", n+1, err)
	}
	p.cmds[n] = nil
}

func (p *processes) signal(n int, s syscall.Signal) {
	if err := p.cmds[n].Process.Signal(s); err != nil {
		p.t.Error(err)
	}
}
