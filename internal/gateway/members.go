package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"dunlintray/internal/membership"
	"dunlintray/rules"
)

// membershipInboxFraction is the part of the datagrams that a gateway takes in which membership
// may have.
const membershipInboxFraction = 0.5

// membershipConfig is what a gateway is told of the others.
type membershipConfig struct {
	Enabled        bool   // take part
	PeerListen     string // where datagrams come in
	Peers          []string
	InboxPerSecond float64 // that a gateway takes in; of the settings
}

// agentConfig finds the addresses that a gateway could not take part with.
func (c *Config) agentConfig() (membership.AgentConfig, error) {
	a := membership.AgentConfig{Self: c.Rank, InPerS: c.Members.InboxPerSecond * membershipInboxFraction}
	var err error
	if a.Listen, err = netip.ParseAddrPort(c.Members.PeerListen); err != nil {
		return a, fmt.Errorf("peer_listen: %w", err)
	}
	for n, text := range c.Members.Peers {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return a, fmt.Errorf("peers[%d]: %w", n, err)
		}
		a.Peers = append(a.Peers, address)
	}
	switch {
	case len(a.Peers) != c.Fleet:
		return a, fmt.Errorf("peers: %d addresses of %d gateways", len(a.Peers), c.Fleet)
	case a.InPerS < minMembershipRate:
		return a, fmt.Errorf("settings: inboxPerS of %g leaves %g datagrams a second for membership, under %d", c.Members.InboxPerSecond, a.InPerS, minMembershipRate)
	}
	return a, nil
}

// minMembershipRate is what a member takes in when half of what is sent is lost.
const minMembershipRate = 12

// newMembership returns the agent that tells the module who is present; nil where
// membership is not asked for.
func newMembership(c *Config, l *Loop) (*membership.Agent, error) {
	if !c.Members.Enabled {
		return nil, nil
	}
	a, err := c.agentConfig()
	if err != nil {
		return nil, err
	}
	a.Start = time.Now()
	return membership.NewAgent(a, rand.New(rand.NewPCG(c.Seed, uint64(c.Rank))), func(present []bool) {
		l.post(moduleEvent{rules.Members{Present: present}})
	})
}

// errMembershipOff answers operators of a gateway that takes no part.
var errMembershipOff = errors.New("membership is off")

// Member is one line of what operators are told of the others.
type Member struct {
	Number      int    `json:"number"`
	State       string `json:"state"`
	Incarnation uint32 `json:"incarnation"`
	StartedAtMs int64  `json:"startedAtMs"`
	ForMs       int64  `json:"forMs"` // in this state
}

// MembersView is what operators are told.
type MembersView struct {
	Self       int      `json:"self"`
	On         bool     `json:"on"`
	Superseded bool     `json:"superseded"`
	Digest     string   `json:"digest"`
	Same       int      `json:"same"`  // members whose view is this one
	Heard      int      `json:"heard"` // of so many that are present and have told theirs
	State      string   `json:"state"` // whole, divided or alone
	StateForMs int64    `json:"stateForMs"`
	Why        string   `json:"why"`
	Members    []Member `json:"members"`
}

func membersHandler(s *connectivity) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if s == nil {
			http.Error(w, errMembershipOff.Error(), http.StatusNotFound)
			return
		}
		v := s.agent.View()
		state, since, why := s.state(time.Now())
		out := MembersView{Self: v.Self, On: v.On, Superseded: v.Superseded, Digest: fmt.Sprintf("%016x", v.Digest), Same: v.Same, Heard: v.Of,
			State: state.String(), StateForMs: since.Milliseconds(), Why: why}
		for _, m := range v.Members {
			out.Members = append(out.Members, Member{m.Number, m.State.String(), m.Incarnation, m.Start, (v.Now - m.Since).Milliseconds()})
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(out)
	}
}

// writeMembershipMetrics puts the figures out.
func writeMembershipMetrics(w io.Writer, s *connectivity) {
	if s == nil {
		return
	}
	v := s.agent.View()
	state, since, _ := s.state(time.Now())
	states := map[membership.State]int64{}
	for _, m := range v.Members {
		states[m.State]++
	}
	st := v.Stats
	superseded := int64(0)
	if v.Superseded {
		superseded = 1
	}
	for _, l := range []struct {
		name string
		n    int64
		kind string
	}{{"alive", states[membership.Alive], "g"}, {"suspect", states[membership.Suspect], "g"}, {"dead", states[membership.Dead], "g"}, {"left", states[membership.Left], "g"},
		{"unknown", states[membership.Unknown], "g"}, {"differing", int64(st.Differing), "g"}, {"health", int64(st.Health), "g"}, {"sent", st.Sent, "c"}, {"sent_bytes", st.SentBytes, "c"},
		{"received", st.Received, "c"}, {"dropped", st.Dropped, "c"}, {"garbled", st.Garbled, "c"}, {"stale", st.Stale, "c"}, {"refuted", st.Refuted, "c"},
		{"suspected", st.Suspected, "c"}, {"declared", st.Declared, "c"}, {"superseded", superseded, "g"}, {"standing", int64(state), "g"}, {"standing_ms", since.Milliseconds(), "g"}} {
		fmt.Fprintf(w, "app.members.%s:%d|%s\n", l.name, l.n, l.kind)
	}
}
