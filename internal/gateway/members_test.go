package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"dunlintray/internal/membership"
	"dunlintray/internal/testnet"
	"dunlintray/rules"
)

// membershipConfigText is a configuration of one of two gateways that tell each other who is
// present.
func membershipConfigText(listen string, peers ...string) string {
	quoted, _ := json.Marshal(peers)
	text := configText("127.0.0.1:1", strings.Replace(testSettings, "{", `{"familyInfo": {"inboxPerS": 60},`, 1))
	return strings.Replace(text, `"seed"`, `"membership": true, "peer_listen": "`+listen+`", "peers": `+string(quoted)+`, "seed"`, 1)
}

func TestMembershipConfigIsValidated(t *testing.T) {
	c, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil || c.Members.Enabled {
		t.Fatalf("absent is off: %+v, %v", c.Members, err)
	}
	if a, err := newMembership(&c, nil); a != nil || err != nil {
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
	good := membershipConfigText("127.0.0.1:1", peers...)
	if c, err := parseConfig([]byte(good)); err != nil || !c.Members.Enabled {
		t.Fatalf("%+v, %v", c.Members, err)
	}
	for _, bad := range []string{membershipConfigText("nowhere", peers...), membershipConfigText("127.0.0.1:1", peers[1:]...), membershipConfigText("127.0.0.1:1", append([]string{"x"}, peers[1:]...)...),
		strings.Replace(good, `"inboxPerS": 60`, `"inboxPerS": 20`, 1)} {
		if _, err := parseConfig([]byte(bad)); err == nil {
			t.Errorf("taken: %s", bad)
		}
	}
	next, _ := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	on, _ := parseConfig([]byte(good))
	if err := next.checkReload(&on); err == nil {
		t.Error("a reload turns it on")
	}
}

// How a gateway stands follows from its members, its list services and the counter,
// and says so after a while.
func TestPartitionStateFollowsContacts(t *testing.T) {
	began := time.Now()
	var members []netip.AddrPort
	for n := range 3 {
		members = append(members, netip.MustParseAddrPort(fmt.Sprint("127.0.0.1:", 7000+n)))
	}
	a, err := membership.NewAgent(membership.AgentConfig{Self: 0, Listen: members[0], Peers: members, InPerS: 50, Start: began}, rand.New(rand.NewPCG(1, 1)), func([]bool) {})
	if err != nil {
		t.Fatal(err)
	}
	age, counter := time.Second, &counterContact{}
	s := newConnectivity(a, func() time.Duration { return age }, counter, began)
	s.view = func() membership.View {
		v := membership.View{Self: 0, On: true, Members: make([]membership.Member, 3)}
		for n := range v.Members {
			v.Members[n] = membership.Member{Number: n, State: membership.Dead}
		}
		return v
	}
	at, answers := began, false
	stands := func() string {
		for range 20 { // of half a second each
			at = at.Add(observeInterval)
			counter.lastCall.Store(at.UnixNano())
			if answers {
				counter.lastAnswer.Store(at.UnixNano())
			}
			s.observe(at)
		}
		state, _, why := s.state(at)
		return state.String() + ": " + why
	}
	for _, step := range []struct {
		change func()
		want   string
	}{
		{func() {}, "divided: reaches none of 2 other gateways; the counter is silent"},
		{func() { age = -1 }, "alone: reaches no other gateway, no list service and no counter"},
		{func() { answers = true }, "divided: reaches none of 2"},
		{func() { age, answers = registrySilenceLimit+1, false }, "alone: "},
		{func() {
			age = 0
			s.view = func() membership.View {
				return membership.View{Self: 0, On: true, Members: []membership.Member{{Number: 0, State: membership.Alive}, {Number: 1, State: membership.Alive}, {Number: 2, State: membership.Left}}}
			}
		}, "whole: reaches 1 of 1"},
		{func() {
			s.view = func() membership.View {
				return membership.View{Self: 0, On: true, Members: []membership.Member{{Number: 0, State: membership.Alive}, {Number: 1, State: membership.Suspect}, {Number: 2, State: membership.Left}}}
			}
		}, "divided: reaches none of 2"},
		{func() {
			s.view = func() membership.View { return membership.View{Self: 0, Members: make([]membership.Member, 3)} }
		}, "divided: "}, // another process has its place, and it looks no more
	} {
		step.change()
		if got := stands(); !strings.HasPrefix(got, step.want) {
			t.Errorf("%s; want %s", got, step.want)
		}
	}
	(*counterContact)(nil).recordCall(rules.Served) // nobody watches
	counter = &counterContact{}
	if counter.recordCall(rules.TimedOut); counter.lastAnswer.Load() >= counter.lastCall.Load() {
		t.Error("a call that timed out counts as answered")
	}
	if counter.recordCall(rules.Served); counter.lastAnswer.Load() != counter.lastCall.Load() {
		t.Error("a call that was answered does not count")
	}
}

// A gateway that takes part tells operators whom it holds for present, and the
// module hears of it.
func TestMembershipReachesOperatorsAndModule(t *testing.T) {
	c, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	address := testnet.UDP(t)
	c.Rank, c.Fleet = 0, 1
	c.Members = membershipConfig{true, address, []string{address}, 60}
	l := &Loop{inbox: make(chan any, inboxSize), stopped: make(chan struct{})}
	a, err := newMembership(&c, l)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); a.Run(ctx) }()
	select {
	case m := <-l.inbox:
		if _, ok := m.(moduleEvent); !ok {
			t.Errorf("%T", m)
		}
	case <-time.After(testTimeout):
		t.Fatal("the module hears nothing")
	}
	w := httptest.NewRecorder()
	stands := newConnectivity(a, nil, &counterContact{}, time.Now())
	membersHandler(stands)(w, nil)
	var v MembersView
	if err := json.Unmarshal(w.Body.Bytes(), &v); err != nil || len(v.Members) != 1 || v.Members[0].State != "alive" || !v.On || v.State != "whole" || v.Why == "" {
		t.Errorf("%s, %v", w.Body, err)
	}
	var figures strings.Builder
	writeMembershipMetrics(&figures, stands)
	if !strings.Contains(figures.String(), "app.members.alive:1|g\n") || !strings.Contains(figures.String(), "app.members.standing:0|g\n") {
		t.Error(figures.String())
	}
	stop()
	<-ended
}
