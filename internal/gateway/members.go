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

// membershipInboxFraction is the fraction of a gateway's incoming datagrams that membership may use.
const membershipInboxFraction = 0.5

// membershipConfig configures the membership protocol between the gateways of a fleet.
type membershipConfig struct {
	Enabled        bool
	PeerListen     string   // UDP address for incoming datagrams
	Peers          []string // UDP addresses of all gateways, in the order of their ranks
	InboxPerSecond float64  // datagrams that a gateway can receive, from the settings
}

// agentConfig returns the configuration of the membership agent, or an error for an invalid
// address, a wrong number of peers or a datagram rate that is too low.
func (c *Config) agentConfig() (membership.AgentConfig, error) {
	agent := membership.AgentConfig{Self: c.Rank, MaxReceiveRate: c.Members.InboxPerSecond * membershipInboxFraction}
	var err error
	if agent.Listen, err = netip.ParseAddrPort(c.Members.PeerListen); err != nil {
		return agent, fmt.Errorf("peer_listen: %w", err)
	}
	for n, text := range c.Members.Peers {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return agent, fmt.Errorf("peers[%d]: %w", n, err)
		}
		agent.Peers = append(agent.Peers, address)
	}
	switch {
	case len(agent.Peers) != c.Fleet:
		return agent, fmt.Errorf("peers: %d addresses for a fleet of %d gateways", len(agent.Peers), c.Fleet)
	case agent.MaxReceiveRate < minMembershipRate:
		return agent, fmt.Errorf("settings: inboxPerS of %g leaves %g datagrams a second for membership, under %d", c.Members.InboxPerSecond, agent.MaxReceiveRate, minMembershipRate)
	}
	return agent, nil
}

// minMembershipRate is how many datagrams a second a member receives when half of them are lost.
const minMembershipRate = 12

// newMembership returns the agent that notifies the module which gateways are present, or nil if
// membership is off.
func newMembership(config *Config, loop *Loop) (*membership.Agent, error) {
	if !config.Members.Enabled {
		return nil, nil
	}
	agent, err := config.agentConfig()
	if err != nil {
		return nil, err
	}
	agent.Start = time.Now()
	return membership.NewAgent(agent, rand.New(rand.NewPCG(config.Seed, uint64(config.Rank))), func(present []bool) {
		loop.post(moduleEvent{rules.Members{Present: present}})
	})
}

// errMembershipOff answers a call for the members of a gateway without membership.
var errMembershipOff = errors.New("membership is off")

// Member is one gateway of a MembersView.
type Member struct {
	Number      int    `json:"number"` // rank in the fleet
	State       string `json:"state"`
	Incarnation uint32 `json:"incarnation"`
	StartedAtMs int64  `json:"startedAtMs"` // start of its process, in milliseconds of Unix time
	StateForMs  int64  `json:"forMs"`       // milliseconds in this state
}

// MembersView is the answer to GET /control/members: the gateways as this one sees them.
type MembersView struct {
	Self          int      `json:"self"`       // number of this gateway
	On            bool     `json:"on"`         // this process takes part in the membership
	Superseded    bool     `json:"superseded"` // a later process has this gateway's number
	Digest        string   `json:"digest"`     // hash of the view, in hexadecimal
	AgreeingViews int      `json:"same"`       // received views that equal this one
	ReceivedViews int      `json:"heard"`      // views received from present members
	State         string   `json:"state"`      // partition state: whole, divided or alone
	StateForMs    int64    `json:"stateForMs"` // milliseconds in this state
	Reason        string   `json:"why"`        // of the state
	Members       []Member `json:"members"`
}

// membersHandler serves a MembersView to operators, or status 404 if c is nil.
func membersHandler(c *connectivity) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if c == nil {
			http.Error(w, errMembershipOff.Error(), http.StatusNotFound)
			return
		}
		view := c.agent.View()
		state, stateAge, reason := c.state(time.Now())
		answer := MembersView{Self: view.Self, On: view.Active, Superseded: view.Superseded, Digest: fmt.Sprintf("%016x", view.Digest), AgreeingViews: view.Agreeing, ReceivedViews: view.Reporting,
			State: state.String(), StateForMs: stateAge.Milliseconds(), Reason: reason}
		for _, member := range view.Members {
			answer.Members = append(answer.Members, Member{member.Number, member.State.String(), member.Incarnation, member.Start, (view.Now - member.Since).Milliseconds()})
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(answer)
	}
}

// writeMembershipMetrics writes the metrics of membership, one per line, and nothing if c is nil.
func writeMembershipMetrics(w io.Writer, c *connectivity) {
	if c == nil {
		return
	}
	view := c.agent.View()
	state, stateAge, _ := c.state(time.Now())
	states := map[membership.State]int64{}
	for _, member := range view.Members {
		states[member.State]++
	}
	stats := view.Stats
	superseded := int64(0)
	if view.Superseded {
		superseded = 1
	}
	for _, metric := range []struct {
		name  string
		value int64
		kind  string
	}{{"alive", states[membership.Alive], "g"}, {"suspect", states[membership.Suspect], "g"}, {"dead", states[membership.Dead], "g"}, {"left", states[membership.Left], "g"},
		{"unknown", states[membership.Unknown], "g"}, {"differing", int64(stats.Differing), "g"}, {"health", int64(stats.Health), "g"}, {"sent", stats.Sent, "c"}, {"sent_bytes", stats.SentBytes, "c"},
		{"received", stats.Received, "c"}, {"dropped", stats.Dropped, "c"}, {"garbled", stats.Malformed, "c"}, {"stale", stats.Stale, "c"}, {"refuted", stats.Refuted, "c"},
		{"suspected", stats.Suspected, "c"}, {"declared", stats.DeclaredDead, "c"}, {"superseded", superseded, "g"}, {"standing", int64(state), "g"}, {"standing_ms", stateAge.Milliseconds(), "g"}} {
		fmt.Fprintf(w, "app.members.%s:%d|%s\n", metric.name, metric.value, metric.kind)
	}
}
