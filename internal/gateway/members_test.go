package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// membersText is a configuration of one of two gateways that tell each other who is
// present.
func membersText(listen string, peers ...string) string {
	quoted, _ := json.Marshal(peers)
	text := configText("127.0.0.1:1", strings.Replace(testSettings, "{", `{"familyInfo": {"inboxPerS": 60},`, 1))
	return strings.Replace(text, `"seed"`, `"membership": true, "peer_listen": "`+listen+`", "peers": `+string(quoted)+`, "seed"`, 1)
}

func TestMembersConfig(t *testing.T) {
	c, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil || c.Members.Membership {
		t.Fatalf("absent is off: %+v, %v", c.Members, err)
	}
	if a, err := newMembers(&c, nil); a != nil || err != nil {
		t.Errorf("off: %v, %v", a, err)
	}
	off := httptest.NewRecorder()
	membersHandler(nil)(off, nil)
	if off.Code != 404 {
		t.Errorf("off: status %d", off.Code)
	}
	var peers []string
	for n := range c.Fleet {
		peers = append(peers, net.JoinHostPort("127.0.0.1", string(rune('1'+n))))
	}
	good := membersText("127.0.0.1:1", peers...)
	if c, err := parseConfig([]byte(good)); err != nil || !c.Members.Membership {
		t.Fatalf("%+v, %v", c.Members, err)
	}
	for _, bad := range []string{membersText("nowhere", peers...), membersText("127.0.0.1:1", peers[1:]...), membersText("127.0.0.1:1", append([]string{"x"}, peers[1:]...)...),
		strings.Replace(good, `"inboxPerS": 60`, `"inboxPerS": 20`, 1)} {
		if _, err := parseConfig([]byte(bad)); err == nil {
			t.Errorf("taken: %s", bad)
		}
	}
	next, _ := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	on, _ := parseConfig([]byte(good))
	if err := next.lacks(&on); err == nil {
		t.Error("a reload turns it on")
	}
}

// A gateway that takes part tells operators whom it holds for present, and the
// module hears of it.
func TestMembersView(t *testing.T) {
	c, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	probe, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := probe.LocalAddr().String()
	probe.Close()
	c.Rank, c.Fleet = 0, 1
	c.Members = membersConfig{true, address, []string{address}, 60}
	l := &Loop{inbox: make(chan any, inboxSize), stopped: make(chan struct{})}
	a, err := newMembers(&c, l)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); a.Run(ctx) }()
	select {
	case m := <-l.inbox:
		if _, ok := m.(told); !ok {
			t.Errorf("%T", m)
		}
	case <-time.After(patience):
		t.Fatal("the module hears nothing")
	}
	w := httptest.NewRecorder()
	membersHandler(a)(w, nil)
	var v MembersView
	if err := json.Unmarshal(w.Body.Bytes(), &v); err != nil || len(v.Members) != 1 || v.Members[0].State != "alive" || !v.On {
		t.Errorf("%s, %v", w.Body, err)
	}
	var figures strings.Builder
	writeMembers(&figures, a)
	if !strings.Contains(figures.String(), "app.members.alive:1|g\n") {
		t.Error(figures.String())
	}
	stop()
	<-ended
}
