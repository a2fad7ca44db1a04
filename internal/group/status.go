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
	Group         string            `json:"group"`
	Self          uint64            `json:"self"`
	Term          uint64            `json:"term"`
	Writer        uint64            `json:"writer"` // the leader; 0: none is known
	Address       string            `json:"address,omitempty"`
	TakesPart     bool              `json:"takesPart"` // it may vote: enough others have welcomed it since its start
	Life          uint64            `json:"life"`      // number of starts of its process
	Generation    Generation        `json:"generation,omitzero"`
	Members       map[uint64]Member `json:"members"`
	Voters        []uint64          `json:"voters"`
	Learners      []uint64          `json:"learners,omitempty"`
	Answering     []uint64          `json:"answering"` // members heard in the last second, this one included
	Applied       uint64            `json:"applied"`
	Committed     uint64            `json:"committed"`
	Lag           map[uint64]uint64 `json:"lag,omitempty"` // entries that each member lacks; known to the leader alone
	Elections     int64             `json:"elections"`     // elections that this member began because it had not heard the leader
	Handed        int64             `json:"handed"`        // elections that it began because the leader transferred its role
	Won           int64             `json:"won"`           // elections
	Refused       int64             `json:"refused"`       // proposals
	Dropped       int64             `json:"dropped"`       // messages to peers, for a full queue
	Ledger        ledger.Stats      `json:"ledger"`
	CommitP50Us   int64             `json:"commitP50Us"` // from a call to its answer, for proposals of this member
	CommitP99Us   int64             `json:"commitP99Us"`
	CommitMostUs  int64             `json:"commitMostUs"`
	LogBytes      int64             `json:"logBytes"`
	SnapshotBytes int64             `json:"snapshotBytes"`
}

// Standing returns the role of the member in the group.
func (s *Status) Standing() string {
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
func (g *Group) Status(ctx context.Context) (s Status, err error) {
	err = g.call(ctx, func() {
		st := g.core.raw.Status()
		s = Status{Group: g.c.Name, Self: g.c.Self, Term: st.GetTerm(), Writer: st.Lead, Address: g.book.Members[st.Lead].Address, TakesPart: g.takesPart, Life: g.core.lives[g.c.Self].Life,
			Generation: g.book.Generation, Members: maps.Clone(g.book.Members), Voters: g.core.conf.GetVoters(), Learners: g.core.conf.GetLearners(), Applied: g.core.applied, Committed: st.GetCommit(),
			Elections: g.elections, Handed: g.handed, Won: g.won, Refused: g.refused, Ledger: g.state.Stats(),
			CommitP50Us: g.commits.ValueAtQuantile(50), CommitP99Us: g.commits.ValueAtQuantile(99), CommitMostUs: g.commits.Max()}
		for _, n := range slices.Sorted(maps.Keys(g.book.Members)) {
			if g.answers(n) {
				s.Answering = append(s.Answering, n)
			}
		}
		if st.RaftState == raft.StateLeader {
			s.Lag = map[uint64]uint64{}
			last, _ := g.core.mem.LastIndex() // of a memory storage, which can't fail
			for n, p := range st.Progress {
				s.Lag[n] = last - min(last, p.Match)
			}
		}
		for _, p := range g.peers {
			s.Dropped += p.dropped.Load()
		}
		log := g.log.Stats()
		s.LogBytes, s.SnapshotBytes = log.Bytes, log.SnapshotBytes
	})
	return s, err
}
