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

// membershipConfigText returns the text of a configuration with membership on.
func membershipConfigText(listen string, peers ...string) string {
	quoted, _ := json.Marshal(peers)
	text := configText("127.0.0.1:1", strings.Replace(testSettings, "{", `{"familyInfo": {"inboxPerS": 60},`, 1))
	return strings.Replace(text, `"seed"`, `"membership": true, "peer_listen": "`+listen+`", "peers": `+string(quoted)+`, "seed"`, 1)
}

// Membership must be off by default, a bad address or rate must be rejected, and a reload must not turn
// it on.
func TestMembershipConfigIsValidated(t *testing.T) {
	config, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil || config.Members.Enabled {
		t.Fatalf("membership is on by default: %+v, %v", config.Members, err)
	}
	if agent, err := newMembership(&config, nil); agent != nil || err != nil {
		t.Errorf("off: %v, %v", agent, err)
	}
	recorder := httptest.NewRecorder()
	membersHandler(nil)(recorder, nil)
	if recorder.Code != 404 {
		t.Errorf("off: status %d", recorder.Code)
	}
	var peers []string
	for index := range config.Fleet {
		peers = append(peers, net.JoinHostPort("127.0.0.1", string(rune('1'+index))))
	}
	valid := membershipConfigText("127.0.0.1:1", peers...)
	if config, err := parseConfig([]byte(valid)); err != nil || !config.Members.Enabled {
		t.Fatalf("%+v, %v", config.Members, err)
	}
	for _, invalid := range []string{membershipConfigText("nowhere", peers...), membershipConfigText("127.0.0.1:1", peers[1:]...), membershipConfigText("127.0.0.1:1", append([]string{"x"}, peers[1:]...)...),
		strings.Replace(valid, `"inboxPerS": 60`, `"inboxPerS": 20`, 1)} {
		if _, err := parseConfig([]byte(invalid)); err == nil {
			t.Errorf("accepted: %s", invalid)
		}
	}
	withoutMembership, _ := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	withMembership, _ := parseConfig([]byte(valid))
	if err := withoutMembership.checkReload(&withMembership); err == nil {
		t.Error("a reload turns membership on")
	}
}

// The partition state must follow from the contacts with members, service registries and the counter,
// after some time in which they stay the same.
func TestPartitionStateFollowsContacts(t *testing.T) {
	start := time.Now()
	var members []netip.AddrPort
	for number := range 3 {
		members = append(members, netip.MustParseAddrPort(fmt.Sprint("127.0.0.1:", 7000+number)))
	}
	agent, err := membership.NewAgent(membership.AgentConfig{Self: 0, Listen: members[0], Peers: members, MaxReceiveRate: 50, Start: start}, rand.New(rand.NewPCG(1, 1)), func([]bool) {})
	if err != nil {
		t.Fatal(err)
	}
	age, counter := time.Second, &counterContact{}
	connectivity := newConnectivity(agent, func() time.Duration { return age }, counter, start)
	connectivity.view = func() membership.View {
		view := membership.View{Self: 0, Active: true, Members: make([]membership.Member, 3)}
		for number := range view.Members {
			view.Members[number] = membership.Member{Number: number, State: membership.Dead}
		}
		return view
	}
	now, answered := start, false
	stateAfterSteps := func() string {
		for range 20 { // observeInterval each
			now = now.Add(observeInterval)
			counter.lastCall.Store(now.UnixNano())
			if answered {
				counter.lastAnswer.Store(now.UnixNano())
			}
			connectivity.observe(now)
		}
		state, _, reason := connectivity.state(now)
		return state.String() + ": " + reason
	}
	for _, step := range []struct {
		change func()
		want   string
	}{
		{func() {}, "divided: reaches none of 2 other gateways; the counter is silent"},
		{func() { age = -1 }, "alone: reaches no other gateway, no list service and no counter"},
		{func() { answered = true }, "divided: reaches none of 2"},
		{func() { age, answered = registrySilenceLimit+1, false }, "alone: "},
		{func() {
			age = 0
			connectivity.view = func() membership.View {
				return membership.View{Self: 0, Active: true, Members: []membership.Member{{Number: 0, State: membership.Alive}, {Number: 1, State: membership.Alive}, {Number: 2, State: membership.Left}}}
			}
		}, "whole: reaches 1 of 1"},
		{func() {
			connectivity.view = func() membership.View {
				return membership.View{Self: 0, Active: true, Members: []membership.Member{{Number: 0, State: membership.Alive}, {Number: 1, State: membership.Suspect}, {Number: 2, State: membership.Left}}}
			}
		}, "divided: reaches none of 2"},
		{func() {
			connectivity.view = func() membership.View { return membership.View{Self: 0, Members: make([]membership.Member, 3)} }
		}, "divided: "}, // a sibling process takes part instead, and the state stays
	} {
		step.change()
		if got := stateAfterSteps(); !strings.HasPrefix(got, step.want) {
			t.Errorf("%s; want %s", got, step.want)
		}
	}
	(*counterContact)(nil).recordCall(rules.Served) // must not panic
	counter = &counterContact{}
	if counter.recordCall(rules.TimedOut); counter.lastAnswer.Load() >= counter.lastCall.Load() {
		t.Error("a call that timed out counts as answered")
	}
	if counter.recordCall(rules.Served); counter.lastAnswer.Load() != counter.lastCall.Load() {
		t.Error("an answered call does not count as answered")
	}
}

// A gateway with membership must show the members to operators and pass the present ones to the
// module.
func TestMembershipReachesOperatorsAndModule(t *testing.T) {
	config, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	address := testnet.UDP(t)
	config.Rank, config.Fleet = 0, 1
	config.Members = membershipConfig{true, address, []string{address}, 60}
	loop := &Loop{inbox: make(chan any, inboxSize), stopped: make(chan struct{})}
	agent, err := newMembership(&config, loop)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); agent.Run(ctx) }()
	select {
	case message := <-loop.inbox:
		if _, ok := message.(moduleEvent); !ok {
			t.Errorf("%T", message)
		}
	case <-time.After(testTimeout):
		t.Fatalf("no event for the module within %v", testTimeout)
	}
	recorder := httptest.NewRecorder()
	connectivity := newConnectivity(agent, nil, &counterContact{}, time.Now())
	membersHandler(connectivity)(recorder, nil)
	var view MembersView
	if err := json.Unmarshal(recorder.Body.Bytes(), &view); err != nil || len(view.Members) != 1 || view.Members[0].State != "alive" || !view.On || view.State != "whole" || view.Reason == "" {
		t.Errorf("%s, %v", recorder.Body, err)
	}
	var metrics strings.Builder
	writeMembershipMetrics(&metrics, connectivity)
	if !strings.Contains(metrics.String(), "app.members.alive:1|g\n") || !strings.Contains(metrics.String(), "app.members.standing:0|g\n") {
		t.Error(metrics.String())
	}
	stop()
	<-ended
}
