// Package child starts processes that the system kills when the program that
// started them ends, however it ends.
package child

import (
	"os/exec"
	"runtime"
	"syscall"
)

// Starter starts processes, all from one thread: the system kills them when the
// thread that started them ends, so that none is left if this program is killed.
type Starter struct {
	calls chan func()
	done  chan struct{}
}

// NewStarter begins the thread.
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

// Start starts a command as a child of the thread, in a process group of its own: a
// Ctrl-C is for the program that started it alone.
func (s *Starter) Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	started := make(chan error, 1)
	s.calls <- func() { started <- cmd.Start() }
	return <-started
}

// Close ends the thread, and so all processes that still run.
func (s *Starter) Close() {
	close(s.calls)
	<-s.done
}
