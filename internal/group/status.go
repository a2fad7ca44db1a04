package group

import (
	"context"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"

	"dunlintray/internal/ledger"
)

// Status is the state of a member, as operators see it.
type Status struct {
	Group             string            `json:"group"`
	Self              uint64            `json:"self"`
	Term              uint64            `json:"term"`
	Writer            uint64            `json:"writer"` // the leader; 0: none is known
	Address           string            `json:"address,omitempty"`
	TakesPart         bool              `json:"takesPart"` // it may vote: enough others have welcomed it since its start
	Incarnation       uint64            `json:"life"`      // number of starts of its process
	Generation        Generation        `json:"generation,omitzero"`
	Members           map[uint64]Member `json:"members"`
	Voters            []uint64          `json:"voters"`
	Learners          []uint64          `json:"learners,omitempty"`
	Answering         []uint64          `json:"answering"` // members with a message in the last second, this one included
	Applied           uint64            `json:"applied"`
	Committed         uint64            `json:"committed"`
	Lag               map[uint64]uint64 `json:"lag,omitempty"` // entries that each member lacks; known to the leader alone
	Elections         int64             `json:"elections"`     // elections that this member started for lack of heartbeats
	TransfersReceived int64             `json:"handed"`        // elections that it started because the leader transferred its role
	ElectionsWon      int64             `json:"won"`
	ProposalsRefused  int64             `json:"refused"`
	MessagesDropped   int64             `json:"dropped"` // because of a full queue to a peer
	Ledger            ledger.Stats      `json:"ledger"`
	CommitP50Us       int64             `json:"commitP50Us"` // from a call to its result, for proposals of this member
	CommitP99Us       int64             `json:"commitP99Us"`
	CommitMaxUs       int64             `json:"commitMostUs"`
	LogBytes          int64             `json:"logBytes"`
	SnapshotBytes     int64             `json:"snapshotBytes"`
}

// Role returns the role of the member in the group, for display.
func (s *Status) Role() string {
	switch {
	case len(s.Members) == 0:
		return "of an earlier build"
	case !s.TakesPart:
		return "waiting"
	case slices.Contains(s.Voters, s.Self):
		return "voter"
	case slices.Contains(s.Learners, s.Self):
		return "learner"
	}
	return "not added"
}

// Status returns the state of the member.
func (g *Group) Status(ctx context.Context) (status Status, err error) {
	err = g.call(ctx, func() {
		raftStatus := g.core.raw.Status()
		status = Status{Group: g.config.Name, Self: g.config.Self, Term: raftStatus.GetTerm(), Writer: raftStatus.Lead, Address: g.members.Members[raftStatus.Lead].Address, TakesPart: g.participating, Incarnation: g.core.incarnations[g.config.Self].Number,
			Generation: g.members.Generation, Members: maps.Clone(g.members.Members), Voters: g.core.confState.GetVoters(), Learners: g.core.confState.GetLearners(), Applied: g.core.applied, Committed: raftStatus.GetCommit(),
			Elections: g.elections, TransfersReceived: g.transfersReceived, ElectionsWon: g.electionsWon, ProposalsRefused: g.proposalsRefused, Ledger: g.state.Stats(),
			CommitP50Us: g.commitLatency.ValueAtQuantile(50), CommitP99Us: g.commitLatency.ValueAtQuantile(99), CommitMaxUs: g.commitLatency.Max()}
		for _, n := range slices.Sorted(maps.Keys(g.members.Members)) {
			if g.recentlyActive(n) {
				status.Answering = append(status.Answering, n)
			}
		}
		if raftStatus.RaftState == raft.StateLeader {
			status.Lag = map[uint64]uint64{}
			last, _ := g.core.storage.LastIndex() // MemoryStorage returns no error
			for n, p := range raftStatus.Progress {
				status.Lag[n] = last - min(last, p.Match)
			}
		}
		for _, p := range g.peers {
			status.MessagesDropped += p.dropped.Load()
		}
		log := g.log.Stats()
		status.LogBytes, status.SnapshotBytes = log.Bytes, log.SnapshotBytes
	})
	return status, err
}
