package group

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"dunlintray/internal/ledger"
)

// Paths by which operators change a group.
const (
	MembersPath  = "/group/members"
	TransferPath = "/group/transfer"
)

const (
	// nearLag is by how many entries a learner may lag when it becomes a voter.
	maxPromotionLag = 100
	transferTimeout = 2 * time.Second
	activityTimeout = time.Second // an answer to each heartbeat comes ten times as often
)

// Refusal is why the group's members stay as they are.
type RefusedError struct{ Text string }

func (e *RefusedError) Error() string { return e.Text }

func refusedf(format string, args ...any) error { return &RefusedError{fmt.Sprintf(format, args...)} }

// mayChange says why members can't be changed now, or why this member can't do it.
func (g *Group) checkCanChange() error {
	switch {
	case g.role != raft.StateLeader:
		return g.notLeader()
	case !g.leaderReady || g.pendingChange != 0:
		return fmt.Errorf("%w: another change of the members is under way", ErrBusy)
	}
	return nil
}

func (g *Group) notLeader() error {
	if at := g.members.Members[g.leader].Address; at != "" {
		return &NotLeaderError{at}
	}
	return ErrNoLeader
}

// proposeChange proposes a change of one member.
func (g *Group) proposeChange(kind raftpb.ConfChangeType, n uint64, at Member) (key uint64, err error) {
	key = g.nextKey()
	text, err := json.Marshal(memberChange{Key: key, Member: at})
	if err != nil {
		return 0, err
	}
	if err := g.core.raw.ProposeConfChange(&raftpb.ConfChange{Type: &kind, NodeId: &n, Context: text}); err != nil {
		if errors.Is(err, raft.ErrProposalDropped) {
			return 0, ErrBusy
		}
		return 0, err
	}
	g.pendingChange = key
	return key, nil
}

// change has the group agree on what check wants, unless that says that it is so already.
func (g *Group) changeMember(ctx context.Context, check func() (there bool, kind raftpb.ConfChangeType, n uint64, at Member, err error)) error {
	w := &proposal{startedAt: time.Now(), result: make(chan ledger.Result, 1)}
	var key uint64
	var not error
	done := false
	if err := g.call(ctx, func() {
		if not = g.checkCanChange(); not != nil {
			return
		}
		var kind raftpb.ConfChangeType
		var n uint64
		var at Member
		if done, kind, n, at, not = check(); not != nil || done {
			return
		}
		if key, not = g.proposeChange(kind, n, at); not == nil {
			g.proposals[key] = w
		}
	}); err != nil || not != nil || done {
		return cmp.Or(err, not)
	}
	var err error
	select {
	case <-w.result:
		return nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-g.stopped:
		err = errStopped
	}
	g.post(func() { delete(g.proposals, key) })
	return fmt.Errorf("%w: %w", ErrUnknown, err)
}

// Add takes a member in. It is filled as a learner, and becomes a voter by itself.
func (g *Group) Add(ctx context.Context, n uint64, at Member) error {
	return g.changeMember(ctx, func() (bool, raftpb.ConfChangeType, uint64, Member, error) {
		kind := raftpb.ConfChangeType_ConfChangeAddLearnerNode
		there, err := g.members.checkAdd(n, at)
		switch {
		case err != nil:
			err = refusedf("%v", err)
		case there:
		case (at.RegistryAddress != "") != (g.config.List != nil):
			err = refusedf("the group has a list and the member none, or the other way round")
		case len(g.core.confState.GetLearners()) > 0:
			err = refusedf("member %d is being filled; one at a time", g.core.confState.GetLearners()[0])
		case len(g.core.confState.GetVoters()) >= MaxVoters:
			err = refusedf("the group has %d voters; remove one first", MaxVoters)
		}
		return there, kind, n, at, err
	})
}

// Remove takes a member out, for good, unless those left that answer are too few.
func (g *Group) Remove(ctx context.Context, n uint64) error {
	return g.changeMember(ctx, func() (bool, raftpb.ConfChangeType, uint64, Member, error) {
		kind := raftpb.ConfChangeType_ConfChangeRemoveNode
		if g.members.wasRemoved(n) {
			return true, kind, n, Member{}, nil
		}
		var left []uint64
		answering := 0
		for _, v := range g.core.confState.GetVoters() {
			if v == n {
				continue
			}
			left = append(left, v)
			if g.recentlyActive(v) {
				answering++
			}
		}
		switch {
		case g.members.Members[n].Address == "":
			return false, kind, n, Member{}, refusedf("there is no member %d", n)
		case n == g.config.Self:
			return false, kind, n, Member{}, refusedf("member %d is the writer; have another write first", n)
		case answering < quorum(left):
			return false, kind, n, Member{}, refusedf("without member %d only %d of %d voters answer, which are too few", n, answering, len(left))
		}
		return false, kind, n, Member{}, nil
	})
}

// Transfer has another member write, and waits until this one does not.
func (g *Group) Transfer(ctx context.Context, to uint64) error {
	var lost chan struct{}
	var not error
	if err := g.call(ctx, func() {
		switch {
		case g.role != raft.StateLeader && g.leader == to:
		case g.role != raft.StateLeader:
			not = g.notLeader()
		case to == g.config.Self:
		case !slices.Contains(g.core.confState.GetVoters(), to):
			not = refusedf("member %d is no voter", to)
		case !g.recentlyActive(to):
			not = refusedf("member %d does not answer", to)
		default:
			lost = g.leadershipLost
			g.core.raw.TransferLeader(to)
		}
	}); err != nil || not != nil || lost == nil {
		return cmp.Or(err, not)
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	select {
	case <-lost:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: member %d did not begin to write", ErrUnknown, to)
	case <-g.stopped:
		return errStopped
	}
}

// promote makes a learner that has caught up a voter.
func (g *Group) promoteLearner() {
	if g.checkCanChange() != nil {
		return
	}
	for _, n := range g.core.confState.GetLearners() {
		p := g.core.raw.Status().Progress[n]
		if !g.recentlyActive(n) || p.Match+maxPromotionLag < g.core.lastIndex() {
			continue
		}
		if _, err := g.proposeChange(raftpb.ConfChangeType_ConfChangeAddNode, n, Member{}); err == nil {
			slog.Info("group: a learner has caught up and becomes a voter", "member", n, "entries", p.Match)
		}
		return
	}
}

// follow has peers be those of the book, after a change of the members that was agreed
// on, also one of long ago that a process applies again.
func (g *Group) updatePeers() {
	for n, p := range g.peers {
		if g.members.Members[n].Address != p.address || g.members.Generation != p.generation {
			p.stop()
			delete(g.peers, n)
		}
	}
	for _, n := range g.members.others(g.config.Self) {
		if g.peers[n] == nil {
			g.startPeer(n, g.members.Members[n].Address)
		}
	}
	if g.members.wasRemoved(g.config.Self) {
		g.core.terminate(fmt.Sprintf("member %d was taken out of the group", g.config.Self))
	}
	if g.config.List != nil && g.role != raft.StateLeader {
		g.config.List.SetWriter(false, g.members.Members[g.leader].RegistryAddress)
	}
}

// answers says whether a member was heard lately.
func (g *Group) recentlyActive(n uint64) bool {
	return n == g.config.Self || time.Since(g.lastReceived[n]) < activityTimeout
}

// adding is the call that adds a member.
type addRequest struct {
	Number uint64 `json:"number"`
	Member
}

// changeMembers answers operators.
func (g *Group) handleMembers(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), transferTimeout+callTimeout)
	defer cancel()
	var n uint64
	var err error
	if r.Method == http.MethodPut {
		var a addRequest
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(&a); err != nil || a.Number == 0 || a.Address == "" {
			http.Error(w, fmt.Sprintf("a member has a number from 1 and an address: %v", err), http.StatusBadRequest)
			return
		}
		err = g.Add(ctx, a.Number, a.Member)
	} else {
		if n, err = strconv.ParseUint(r.PathValue("number"), 10, 64); err != nil || n == 0 {
			http.Error(w, fmt.Sprintf("%.40q is no member's number", r.PathValue("number")), http.StatusBadRequest)
			return
		}
		if r.Method == http.MethodDelete {
			err = g.Remove(ctx, n)
		} else {
			err = g.Transfer(ctx, n)
		}
	}
	var no *RefusedError
	switch {
	case errors.As(err, &no):
		http.Error(w, no.Text, http.StatusConflict)
	case err != nil:
		g.writeError(w, r, err)
	default:
		writeJSON(w, struct{}{})
	}
}
