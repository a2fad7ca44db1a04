// Package child starts processes that the system kills when the program that started them ends,
// however it ends.
package child

import (
	"os/exec"
	"runtime"
	"syscall"
)

// Starter starts processes from one thread, since the system kills them when the thread that
// started them ends. It is safe for concurrent use until Close.
type Starter struct {
	calls chan func()
	done  chan struct{}
}

// NewStarter returns a Starter with a running thread. The caller must Close it.
func NewStarter() *Starter {
	s := &Starter{calls: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread()
		for call := range s.calls {
			call()
		}
		close(s.done)
	}()
	return s
}

// Start starts a command, as exec.Cmd.Start does. The process has its own process group, so that a
// Ctrl-C in the terminal does not reach it. Start overwrites cmd.SysProcAttr.
func (s *Starter) Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	started := make(chan error, 1)
	s.calls <- func() { started <- cmd.Start() }
	return <-started
}

// Close ends the thread, and so kills all processes that still run.
func (s *Starter) Close() {
	close(s.calls)
	<-s.done
}
