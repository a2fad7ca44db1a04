// Two-writers loses the writer of a list twice. Each time a follower is promoted as the on-call page
// says; the second old writer comes back.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"review/standins"
)

const (
	leaseMs = 3000

	// An old writer that comes back is told within a second; twice that is left to a busy machine.
	toldWithin = 3 * time.Second
	watched    = 20 * time.Second // from its return on
)

var run = standins.Start()

// service is one service registry.
type service struct {
	name, listen, control string
	process               *standins.Proc
}

func newService(name string) *service {
	return &service{name: name, listen: run.FreeAddress(), control: run.FreeAddress()}
}

// configure writes the file of the service as README has it; writer is empty for the writer.
func (s *service) configure(writer string, peers ...string) string {
	config := map[string]any{"listen": s.listen, "control": s.control, "data_dir": run.Temp + "/data-" + s.name, "lease_ms": leaseMs}
	if writer != "" {
		config["writer"] = writer
	} else {
		config["peers"] = peers
	}
	return run.WriteJSON(s.name+".json", config)
}

func (s *service) start() {
	s.process = run.Launch(s.name, "exec bin/registry --config "+run.Temp+"/"+s.name+".json")
}

// position is a service's answer to /control/where.
type position struct {
	History  string
	Epoch    int
	Writer   string
	FencedBy string
}

func (s *service) where() (at position, err error) {
	text, _, err := standins.Call(http.MethodGet, "http://"+s.control+"/control/where", nil, time.Second)
	if err == nil {
		err = json.Unmarshal(text, &at)
	}
	return at, err
}

// promote runs the operators' command.
func (s *service) promote() {
	command := exec.Command("/bin/sh", "-c", "exec bin/registry promote "+s.control)
	command.Dir = run.Root
	text, err := command.CombinedOutput()
	run.Say("registry promote %s: %s", s.name, bytes.TrimSpace(text))
	run.Check(err, "promote")
}

// write makes a call about an instance at this service alone, without following redirects.
func (s *service) write(method, path string, body any) (status int, text string) {
	encoded, _ := json.Marshal(body)
	req, err := http.NewRequest(method, "http://"+s.listen+"/registry/instances/"+path, bytes.NewReader(encoded))
	run.Check(err, "write")
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	answer := make([]byte, 300)
	n, _ := resp.Body.Read(answer)
	text = strings.TrimSpace(string(answer[:n]))
	run.Log("%s %s at %s: %d %s", method, path, s.name, resp.StatusCode, text)
	return resp.StatusCode, text
}

// lists tells whether the service lists an instance.
func (s *service) lists(id string) bool {
	_, found := standins.StartOf(s.listen, id)
	return found
}

// listsSoon is lists for a service that copies another: it may take a moment on a busy machine.
func (s *service) listsSoon(id string) bool {
	for end := time.Now().Add(toldWithin / 2); !run.Trouble && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if s.lists(id) {
			return true
		}
	}
	return s.lists(id)
}

func main() {
	w1, f1, f2 := newService("first"), newService("second"), newService("third")
	w1.configure("", f1.listen, f2.listen)
	f1.configure(w1.listen)
	f2.configure(w1.listen)
	for _, s := range []*service{w1, f1, f2} {
		s.start()
	}
	for _, s := range []*service{w1, f1, f2} {
		run.WaitFor(s.name+" tells the list", 20*time.Second, func() bool {
			_, _, err := standins.Call(http.MethodGet, "http://"+s.control+"/control/ready", nil, time.Second)
			return err == nil
		})
	}
	var writer atomic.Pointer[string] // that the backends name
	writer.Store(&w1.listen)
	started := time.Now().Add(-time.Hour).UnixMilli()
	for n := range 4 {
		go backend(fmt.Sprintf("s-%02d", n), started, &writer)
	}
	run.WaitFor("all backends are listed", 10*time.Second, func() bool { return f2.lists("s-00") && f2.lists("s-03") })

	run.Say("the writer (first) is lost for good")
	w1.process.Kill()
	f1.promote()
	writer.Store(&f1.listen)
	f2.configure(f1.listen)
	f2.process.Signal(syscall.SIGHUP)
	run.Say("backends and third name second as the writer; SIGHUP to third")
	run.WaitFor("third follows second", 10*time.Second, func() bool {
		a, errA := f1.where()
		b, errB := f2.where()
		return errA == nil && errB == nil && a.History == b.History && b.Writer == f1.listen
	})
	time.Sleep(time.Second)

	if run.Trouble {
		run.Say("the writer (second) is lost")
		f1.process.Kill()
		f2.promote()
		writer.Store(&f2.listen)
		time.Sleep(5 * time.Second)
		run.Say("second comes back")
		f1.start()
	}
	returned := run.Now()
	var stale, refused, accepted, missing int
	var last time.Duration
	for n := 0; run.Now() < returned+watched; n++ {
		// A backend that still names second registers there.
		id := fmt.Sprintf("late-%02d", n)
		status, _ := f1.write(http.MethodPut, id, body(id, started))
		behind := run.Now() - returned
		if status != http.StatusOK {
			refused++
		} else if !run.Trouble || behind > toldWithin {
			accepted++
			last = behind
			if run.Trouble {
				stale++
			}
		}
		if at, err := f1.where(); err == nil {
			run.Log("second: history %s, epoch %d, fenced by %q", at.History, at.Epoch, at.FencedBy)
		}
		if at, err := f2.where(); err == nil {
			run.Log("third: history %s, epoch %d, copies %q", at.History, at.Epoch, at.Writer)
		}
		time.Sleep(time.Second)
		if status == http.StatusOK && (!run.Trouble || behind > toldWithin) && !f2.listsSoon(id) {
			missing++
		}
	}
	status, _ := f2.write(http.MethodPut, "last", body("last", started))
	run.Say("second answered %d of its writes with 200 when it should have heard (the last %v behind its return), and refused %d; of %d writes answered with 200 third does not list %d; a write at third: %d",
		stale, last.Round(time.Millisecond), refused, accepted, missing, status)
	switch {
	case run.Trouble && status != http.StatusOK, !run.Trouble && (accepted == 0 || status != http.StatusTemporaryRedirect):
		run.Finish(standins.NotRun, "the services did not take the calls as expected")
	case stale > 0:
		run.Finish(standins.Broken, "two processes write the list: second accepted %d writes up to %v behind its return, and third, its successor, has %d of them", stale, last.Round(time.Millisecond), accepted-missing)
	case missing > 0:
		run.Finish(standins.Broken, "%d accepted writes are not on the list", missing)
	}
	run.Finish(standins.Held, "one process writes the list")
}

func body(id string, started int64) map[string]any {
	return map[string]any{"hostPort": "127.0.0.1:9", "zone": standins.Zones[0], "machineType": standins.MachineType, "startedAtMs": started}
}

// backend registers at the writer that it names, and renews its lease.
func backend(id string, started int64, writer *atomic.Pointer[string]) {
	for {
		address := "http://" + *writer.Load() + "/registry/instances/" + id
		if _, status, _ := standins.Call(http.MethodPost, address+"/renew", map[string]any{"startedAtMs": started}, time.Second); status == http.StatusNotFound {
			_, status, err := standins.Call(http.MethodPut, address, body(id, started), 2*time.Second)
			run.Log("%s registers: %d %v", id, status, err)
		}
		time.Sleep(leaseMs / 3 * time.Millisecond)
	}
}
