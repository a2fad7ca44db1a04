package group

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"time"

	"go.etcd.io/raft/v3"

	"dunlintray/internal/ledger"
)

// expire proposes the end of sessions whose lease has run out, if this member is the leader.
func (g *Group) expire() {
	if g.role != raft.StateLeader {
		return
	}
	open := g.state.Sessions()
	still := make(map[uint64]bool, len(open))
	for _, s := range open {
		still[s.ID] = true
	}
	maps.DeleteFunc(g.expiring, func(id uint64, _ bool) bool { return !still[id] })
	for _, id := range g.leases.Expired(g.now(), open) {
		if g.expiring[id] || len(g.expiring) >= maxExpiringSessions {
			continue
		}
		if err := g.propose(g.nextKey(), ledger.Command{Op: ledger.End, Session: id}); err != nil {
			return // the next round tries again
		}
		g.expiring[id] = true
		slog.Info("group: a session's time is over", "session", id)
	}
}

// Renew restarts the lease of a session, counted from the arrival of the call, so that the
// holder may count from when it sent it. It returns false if there is no such session.
func (g *Group) Renew(ctx context.Context, id uint64) (s ledger.Session, there bool, err error) {
	var come time.Duration
	var not error
	writer := func() {
		if g.role != raft.StateLeader {
			not = g.notLeader()
		}
	}
	if err := g.call(ctx, func() { writer(); come = g.now() }); err != nil || not != nil {
		return s, false, errors.Join(err, not)
	}
	if err := g.confirm(ctx); err != nil {
		return s, false, err
	}
	err = g.call(ctx, func() {
		if writer(); not != nil {
			return
		}
		for _, open := range g.state.Sessions() {
			// A session whose end is proposed must not be renewed.
			if open.ID == id && !g.expiring[id] {
				s, there = open, true
				g.leases.Renew(come, s)
			}
		}
	})
	return s, there, errors.Join(err, not)
}
