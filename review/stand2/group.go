package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// way is the way from one process to another. While it is cut nothing is said; when it heals, the
// connections of the cut are reset.
type way struct {
	address, target string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// newWay starts a proxy for a target.
func newWay(target string) (*way, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &way{address: listener.Addr().String(), target: target, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	return w, nil
}

// setCut cuts the way, or heals it.
func (w *way) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut && !cut {
		for conn := range w.conns {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
		clear(w.conns)
	}
	w.cut = cut
}

// isCut reports whether the way is cut.
func (w *way) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut
}

// keep remembers a connection, for a reset when the way heals.
func (w *way) keep(conn net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[conn] = true
}

// drop closes a connection, unless the way is cut: then nothing is said.
func (w *way) drop(conn net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.cut {
		conn.Close()
		delete(w.conns, conn)
	}
}

// serve passes on a connection.
func (w *way) serve(conn net.Conn) {
	if w.keep(conn); w.isCut() {
		return
	}
	target, err := net.DialTimeout("tcp", w.target, time.Second)
	if err != nil {
		w.drop(conn)
		return
	}
	w.keep(target)
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			for w.isCut() {
				time.Sleep(5 * time.Millisecond)
			}
			if n > 0 {
				if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
					err = writeErr
				}
			}
			if err != nil {
				w.drop(from)
				w.drop(to)
				return
			}
		}
	}
	go pass(target, conn)
	pass(conn, target)
}

// member is one service registry of a group.
type member struct {
	lab                      *lab
	number                   int
	lists, control, internal string // addresses
	config                   string // path
	to                       map[int]*way
	process                  *process
	starts                   int
}

// newGroup writes the configurations of three service registries that agree on the list. Each way from one
// to another has a proxy.
func (l *lab) newGroup() (map[int]*member, error) {
	members, lists := map[int]*member{}, object{}
	for n := 1; n <= 3; n++ {
		members[n] = &member{lab: l, number: n, lists: freeAddress(), control: freeAddress(), internal: freeAddress(), to: map[int]*way{},
			config: filepath.Join(l.dir, fmt.Sprintf("registry-%d.json", n))}
		lists[fmt.Sprint(n)] = members[n].lists
	}
	for n, m := range members {
		addresses := object{fmt.Sprint(n): m.internal}
		for other, o := range members {
			if other == n {
				continue
			}
			var err error
			if m.to[other], err = newWay(o.internal); err != nil {
				return nil, err
			}
			addresses[fmt.Sprint(other)] = m.to[other].address
		}
		text, _ := json.Marshal(object{"listen": m.lists, "control": m.control, "lease_ms": 10000,
			"group": object{"name": "campus", "self": n, "listen": m.internal, "members": addresses, "lists": lists,
				"data_dir": filepath.Join(l.dir, fmt.Sprintf("member-%d", n)), "data_mb": 64}})
		if err := os.WriteFile(m.config, text, 0o644); err != nil {
			return nil, err
		}
	}
	return members, nil
}

// start starts the process of the member as the README does.
func (m *member) start() error {
	m.starts++
	name := fmt.Sprintf("registry-%d-%d", m.number, m.starts)
	p := &process{command: exec.Command("/bin/sh", "-c", "exec bin/registry --config "+m.config), name: name, ended: make(chan struct{})}
	var err error
	if p.log, err = os.Create(filepath.Join(m.lab.dir, name+".log")); err != nil {
		return err
	}
	p.command.Dir, p.command.Stdout, p.command.Stderr = m.lab.root, p.log, p.log
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.command.Start(); err != nil {
		return err
	}
	m.lab.note("%s started, pid %d", name, p.command.Process.Pid)
	m.lab.mu.Lock()
	m.lab.processes = append(m.lab.processes, p)
	m.lab.mu.Unlock()
	go func() {
		p.command.Wait()
		m.lab.note("%s ended: %v", name, p.command.ProcessState)
		close(p.ended)
	}()
	m.process = p
	return nil
}

// lastLines returns the end of what the member's process has logged.
func (m *member) lastLines() string {
	text, _ := os.ReadFile(m.process.log.Name())
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	return string(bytes.Join(lines[max(len(lines)-3, 0):], []byte(" | ")))
}

// groupStatus is the part of a member's state that the case looks at.
type groupStatus struct {
	Writer    int   `json:"writer"`
	TakesPart bool  `json:"takesPart"`
	Applied   int64 `json:"applied"`
}

// status asks the member for its state.
func (m *member) status() (status groupStatus, err error) {
	a := get(m.internal, "/group/status", time.Second)
	if a.err != nil {
		return status, a.err
	}
	return status, json.Unmarshal(a.body, &status)
}

// register registers an instance at the members in turn, and returns the first answer with 200.
func register(members []*member, id string) (err error) {
	body, _ := json.Marshal(object{"hostPort": "127.0.0.1:9", "zone": "edificio-a", "machineType": "std-3c", "startedAtMs": 1764600000000})
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	err = errors.New("nobody was asked")
	for _, m := range members {
		request, _ := http.NewRequest(http.MethodPut, "http://"+m.lists+"/registry/instances/"+id, bytes.NewReader(body))
		var response *http.Response
		if response, err = client.Do(request); err != nil {
			continue
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
		err = fmt.Errorf("%d %s", response.StatusCode, bytes.TrimSpace(text))
	}
	return err
}
