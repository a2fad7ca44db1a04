package standins

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Member is one service registry of a group.
type Member struct {
	Number  int
	Listen  string // for readers and backends
	Control string
	Address string // for members and clients of the group, without a proxy
	Process *Proc

	run    *Run
	config string
	to     map[int]*Proxy // ways to the other members
}

// Group is a group of three service registries that agree on the list. Each way from one to another has a
// proxy.
type Group struct {
	Members map[int]*Member
	run     *Run
}

// registryCommand starts a service registry as README does.
const registryCommand = "exec bin/registry --config "

// NewGroup starts the group.
func (r *Run) NewGroup(leaseMs int) *Group {
	g := &Group{Members: map[int]*Member{}, run: r}
	lists := map[string]string{}
	for n := 1; n <= 3; n++ {
		m := &Member{Number: n, Listen: r.FreeAddress(), Control: r.FreeAddress(), Address: r.FreeAddress(), run: r, to: map[int]*Proxy{}}
		g.Members[n] = m
		lists[fmt.Sprint(n)] = m.Listen
	}
	for n, m := range g.Members {
		members := map[string]string{fmt.Sprint(n): m.Address}
		for other, o := range g.Members {
			if other != n {
				m.to[other] = r.Proxy(o.Address)
				members[fmt.Sprint(other)] = m.to[other].Address
			}
		}
		dir := filepath.Join(r.Temp, fmt.Sprintf("member%d", n))
		m.config = r.WriteJSON(fmt.Sprintf("registry%d.json", n), map[string]any{"listen": m.Listen, "control": m.Control, "lease_ms": leaseMs,
			"group": map[string]any{"name": "campus", "self": n, "listen": m.Address, "members": members, "lists": lists, "data_dir": dir, "data_mb": 64}})
		m.Start()
	}
	return g
}

// Start starts the member's process.
func (m *Member) Start() {
	m.Process = m.run.Launch(fmt.Sprintf("registry-%d", m.Number), registryCommand+m.config)
}

// Dir returns the member's folder.
func (m *Member) Dir() string { return filepath.Join(m.run.Temp, fmt.Sprintf("member%d", m.Number)) }

// Cut cuts all ways between two members, both ways, or heals them.
func (g *Group) Cut(a, b int, cut bool) {
	g.run.Log("way between members %d and %d: cut %t", a, b, cut)
	g.Members[a].to[b].SetCut(cut)
	g.Members[b].to[a].SetCut(cut)
}

// Status is the part of a member's state that the cases look at.
type Status struct {
	Writer    int   `json:"writer"`
	TakesPart bool  `json:"takesPart"`
	Applied   int64 `json:"applied"`
	Term      int64 `json:"term"`
}

// Status asks a member for its state.
func (m *Member) Status() (status Status, err error) {
	text, _, err := Call(http.MethodGet, "http://"+m.Address+"/group/status", nil, time.Second)
	if err == nil {
		err = json.Unmarshal(text, &status)
	}
	return status, err
}

// Writer returns the member that says that it is the writer, or nil.
func (g *Group) Writer() *Member {
	for n := 1; n <= 3; n++ {
		if status, err := g.Members[n].Status(); err == nil && status.Writer == n {
			return g.Members[n]
		}
	}
	return nil
}

// Lists returns the addresses of all members for readers.
func (g *Group) Lists() []string {
	return []string{g.Members[1].Listen, g.Members[2].Listen, g.Members[3].Listen}
}

// Call makes an HTTP call with a JSON body. An error names the status if that is not 200. It follows the
// redirects of a member that does not write.
func Call(method, address string, body any, timeout time.Duration) (text []byte, status int, err error) {
	var request io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, 0, err
		}
		request = bytes.NewReader(encoded)
	}
	req, err := http.NewRequest(method, address, request)
	if err != nil {
		return nil, 0, err
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	text, err = io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	}
	return text, resp.StatusCode, err
}

// Write makes a call about an instance at the given service registries in turn until one answers with 200
// or the time is over.
func (r *Run) Write(lists []string, method, path string, body any, within time.Duration) error {
	var err error
	for end := time.Now().Add(within); ; {
		for _, address := range lists {
			var text []byte
			if text, _, err = Call(method, "http://"+address+"/registry/instances"+path, body, 2*time.Second); err == nil {
				r.Log("%s %s at %s: 200 %s", method, path, address, bytes.TrimSpace(text))
				return nil
			}
			r.Log("%s %s at %s: %v", method, path, address, err)
			if time.Now().After(end) {
				return err
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Register registers a backend and renews its lease until the returned function is called.
func (r *Run) Register(lists []string, instance Instance, leaseMs int) (stop func()) {
	body := map[string]any{"hostPort": instance.HostPort, "zone": instance.Zone, "machineType": instance.MachineType, "cell": instance.Cell, "startedAtMs": instance.StartedAtMs}
	path := "/" + url.PathEscape(instance.ID)
	r.Check(r.Write(lists, http.MethodPut, path, body, 10*time.Second), "register "+instance.ID)
	done := make(chan struct{})
	go func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(time.Duration(leaseMs) * time.Millisecond / 3):
			}
			for k := range lists {
				if _, _, err := Call(http.MethodPost, "http://"+lists[(n+k)%len(lists)]+"/registry/instances"+path+"/renew", map[string]any{"startedAtMs": instance.StartedAtMs}, time.Second); err == nil {
					break
				}
			}
		}
	}()
	return func() { close(done) }
}

// Counter reads one metric of a service registry or gateway, -1 if it is not there.
func Counter(control, name string) int {
	text, _, err := Call(http.MethodGet, "http://"+control+"/control/counters", nil, time.Second)
	if err != nil {
		return -1
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			var value int
			if _, err := fmt.Sscanf(rest, "%d|", &value); err == nil {
				return value
			}
		}
	}
	return -1
}

// Remove removes a file of the run's folder, such as a member's that is started anew.
func (r *Run) Remove(path string) { r.Check(os.RemoveAll(path), "remove") }

// StartOf returns the start of an instance as a service registry lists it.
func StartOf(address, id string) (startedAtMs int64, found bool) {
	text, _, err := Call(http.MethodGet, "http://"+address+"/registry/instances", nil, 2*time.Second)
	var listing struct{ Instances []Instance }
	if err != nil || json.Unmarshal(text, &listing) != nil {
		return 0, false
	}
	for _, instance := range listing.Instances {
		if instance.ID == id {
			return instance.StartedAtMs, true
		}
	}
	return 0, false
}
