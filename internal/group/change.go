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

// HTTP paths of the operators' membership calls.
const (
	MembersPath  = "/group/members"
	TransferPath = "/group/transfer"
)

const (
	// maxPromotionLag is the maximum number of entries that a learner lacks when it is promoted.
	maxPromotionLag = 100
	transferTimeout = 2 * time.Second
	activityTimeout = time.Second // ten heartbeat intervals
)

// RefusedError explains why the group rejected a membership change or a message. Nothing has
// been changed.
type RefusedError struct{ Text string }

func (e *RefusedError) Error() string { return e.Text }

// refusedf returns a RefusedError with a formatted text.
func refusedf(format string, args ...any) error { return &RefusedError{fmt.Sprintf(format, args...)} }

// checkCanChange returns an error if this member is not the leader or if another membership
// change is in progress.
func (g *Group) checkCanChange() error {
	switch {
	case g.role != raft.StateLeader:
		return g.notLeader()
	case !g.leaderReady || g.pendingChange != 0:
		return fmt.Errorf("%w: another membership change is in progress", ErrBusy)
	}
	return nil
}

// notLeader returns the error of a call that only the leader can process.
func (g *Group) notLeader() error {
	if address := g.members.Members[g.leader].Address; address != "" {
		return &NotLeaderError{address}
	}
	return ErrNoLeader
}

// proposeChange proposes a configuration change of one member.
func (g *Group) proposeChange(kind raftpb.ConfChangeType, number uint64, member Member) (key uint64, err error) {
	key = g.nextKey()
	text, err := json.Marshal(memberChange{Key: key, Member: member})
	if err != nil {
		return 0, err
	}
	if err := g.core.raw.ProposeConfChange(&raftpb.ConfChange{Type: &kind, NodeId: &number, Context: text}); err != nil {
		if errors.Is(err, raft.ErrProposalDropped) {
			return 0, ErrBusy
		}
		return 0, err
	}
	g.pendingChange = key
	return key, nil
}

// changeMember commits the change that check returns. It returns nil at once if check reports
// that the group is already in that state.
func (g *Group) changeMember(ctx context.Context, check func() (exists bool, kind raftpb.ConfChangeType, number uint64, member Member, err error)) error {
	pending := &proposal{startedAt: time.Now(), result: make(chan ledger.Result, 1)}
	var key uint64
	var rejected error
	alreadyDone := false
	if err := g.call(ctx, func() {
		if rejected = g.checkCanChange(); rejected != nil {
			return
		}
		var kind raftpb.ConfChangeType
		var number uint64
		var member Member
		if alreadyDone, kind, number, member, rejected = check(); rejected != nil || alreadyDone {
			return
		}
		if key, rejected = g.proposeChange(kind, number, member); rejected == nil {
			g.proposals[key] = pending
		}
	}); err != nil || rejected != nil || alreadyDone {
		return cmp.Or(err, rejected)
	}
	var err error
	select {
	case <-pending.result:
		return nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-g.stopped:
		err = errStopped
	}
	g.post(func() { delete(g.proposals, key) })
	return fmt.Errorf("%w: %w", ErrUnknown, err)
}

// Add adds a member as a learner. The leader promotes it to a voter once it has caught up. The errors
// of Add, Remove and Transfer include *RefusedError, *NotLeaderError, ErrNoLeader, ErrBusy and
// ErrUnknown, after which the change may still be made.
func (g *Group) Add(ctx context.Context, number uint64, member Member) error {
	return g.changeMember(ctx, func() (bool, raftpb.ConfChangeType, uint64, Member, error) {
		kind := raftpb.ConfChangeType_ConfChangeAddLearnerNode
		exists, err := g.members.checkAdd(number, member)
		switch {
		case err != nil:
			err = refusedf("%v", err)
		case exists:
		case (member.RegistryAddress != "") != (g.config.List != nil):
			err = refusedf("the group has a list and the member no registry address, or the reverse")
		case len(g.core.confState.GetLearners()) > 0:
			err = refusedf("member %d is still a learner; add one member at a time", g.core.confState.GetLearners()[0])
		case len(g.core.confState.GetVoters()) >= MaxVoters:
			err = refusedf("the group has the maximum of %d voters; remove one first", MaxVoters)
		}
		return exists, kind, number, member, err
	})
}

// Remove removes a member for good. It returns a *RefusedError for the leader, and if fewer than a
// majority of the remaining voters are active.
func (g *Group) Remove(ctx context.Context, number uint64) error {
	return g.changeMember(ctx, func() (bool, raftpb.ConfChangeType, uint64, Member, error) {
		kind := raftpb.ConfChangeType_ConfChangeRemoveNode
		if g.members.wasRemoved(number) {
			return true, kind, number, Member{}, nil
		}
		var remaining []uint64
		active := 0
		for _, voter := range g.core.confState.GetVoters() {
			if voter == number {
				continue
			}
			remaining = append(remaining, voter)
			if g.recentlyActive(voter) {
				active++
			}
		}
		switch {
		case g.members.Members[number].Address == "":
			return false, kind, number, Member{}, refusedf("there is no member %d", number)
		case number == g.config.Self:
			return false, kind, number, Member{}, refusedf("member %d is the writer; have another write first", number)
		case active < quorum(remaining):
			return false, kind, number, Member{}, refusedf("without member %d only %d of %d voters answer, which are too few", number, active, len(remaining))
		}
		return false, kind, number, Member{}, nil
	})
}

// Transfer transfers leadership to another voter and waits until this member is no longer the
// leader.
func (g *Group) Transfer(ctx context.Context, to uint64) error {
	var lost chan struct{}
	var rejected error
	if err := g.call(ctx, func() {
		switch {
		case g.role != raft.StateLeader && g.leader == to:
		case g.role != raft.StateLeader:
			rejected = g.notLeader()
		case to == g.config.Self:
		case !slices.Contains(g.core.confState.GetVoters(), to):
			rejected = refusedf("member %d is no voter", to)
		case !g.recentlyActive(to):
			rejected = refusedf("no message from member %d within %v", to, activityTimeout)
		default:
			lost = g.leadershipLost
			g.core.raw.TransferLeader(to)
		}
	}); err != nil || rejected != nil || lost == nil {
		return cmp.Or(err, rejected)
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	select {
	case <-lost:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: member %d did not become the writer within %v", ErrUnknown, to, transferTimeout)
	case <-g.stopped:
		return errStopped
	}
}

// promoteLearner proposes to make a learner a voter once it has caught up.
func (g *Group) promoteLearner() {
	if g.checkCanChange() != nil {
		return
	}
	for _, number := range g.core.confState.GetLearners() {
		progress := g.core.raw.Status().Progress[number]
		if !g.recentlyActive(number) || progress.Match+maxPromotionLag < g.core.lastIndex() {
			continue
		}
		if _, err := g.proposeChange(raftpb.ConfChangeType_ConfChangeAddNode, number, Member{}); err == nil {
			slog.Info("group: promoting a learner that has caught up", "member", number, "entries", progress.Match)
		}
		return
	}
}

// updatePeers starts and stops peers to match the member table. It runs after each applied
// configuration change, including those replayed after a restart.
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
		g.core.terminate(fmt.Sprintf("member %d was removed from the group", g.config.Self))
	}
	if g.config.List != nil && g.role != raft.StateLeader {
		g.config.List.SetWriter(false, g.members.Members[g.leader].RegistryAddress)
	}
}

// recentlyActive reports whether a message of the member arrived within activityTimeout.
func (g *Group) recentlyActive(number uint64) bool {
	return number == g.config.Self || time.Since(g.lastReceived[number]) < activityTimeout
}

// addRequest is the body of the call that adds a member.
type addRequest struct {
	Number uint64 `json:"number"`
	Member
}

// handleMembers is the HTTP handler of the operators' membership calls.
func (g *Group) handleMembers(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), transferTimeout+callTimeout)
	defer cancel()
	var number uint64
	var err error
	if r.Method == http.MethodPut {
		var request addRequest
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&request); err != nil || request.Number == 0 || request.Address == "" {
			http.Error(w, fmt.Sprintf("invalid member: a number from 1 and an address are required: %v",
				cmp.Or(err, fmt.Errorf("got number %d and address %.80q", request.Number, request.Address))), http.StatusBadRequest)
			return
		}
		err = g.Add(ctx, request.Number, request.Member)
	} else {
		if number, err = strconv.ParseUint(r.PathValue("number"), 10, 64); err != nil || number == 0 {
			http.Error(w, fmt.Sprintf("invalid member number %.40q", r.PathValue("number")), http.StatusBadRequest)
			return
		}
		if r.Method == http.MethodDelete {
			err = g.Remove(ctx, number)
		} else {
			err = g.Transfer(ctx, number)
		}
	}
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		http.Error(w, refused.Text, http.StatusConflict)
	case err != nil:
		g.writeError(w, r, err)
	default:
		writeJSON(w, struct{}{})
	}
}
