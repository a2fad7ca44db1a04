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

// processes are list services, each in a process of its own, with their configurations in
// a folder.
type processes struct {
	t    *testing.T
	dir  string
	cmds []*exec.Cmd // nil: it does not run
}

func newProcesses(t *testing.T, n int) processes {
	return processes{t: t, dir: t.TempDir(), cmds: make([]*exec.Cmd, n)}
}

func (p *processes) config(n int) string { return filepath.Join(p.dir, fmt.Sprint(n, ".json")) }

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

// start runs a list service with the configuration that was written for it.
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

// kill ends a process, which must not have ended before.
func (p *processes) kill(n int) {
	if p.cmds[n] == nil {
		return
	}
	p.cmds[n].Process.Kill()
	p.cmds[n].Wait()
	if status, ok := p.cmds[n].ProcessState.Sys().(syscall.WaitStatus); !ok || !status.Signaled() {
		p.t.Errorf("process %d had ended: %v", n+1, p.cmds[n].ProcessState)
	}
	p.cmds[n] = nil
}

func (p *processes) killAll() {
	for n := range p.cmds {
		p.kill(n)
	}
}

// end tells a process to end, and waits until it has.
func (p *processes) end(n int) {
	p.signal(n, syscall.SIGTERM)
	if err := p.cmds[n].Wait(); err != nil {
		p.t.Errorf("process %d ended with %v", n+1, err)
	}
	p.cmds[n] = nil
}

func (p *processes) signal(n int, s syscall.Signal) {
	if err := p.cmds[n].Process.Signal(s); err != nil {
		p.t.Error(err)
	}
}
