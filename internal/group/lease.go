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
	sessions := g.state.Sessions()
	open := make(map[uint64]bool, len(sessions))
	for _, s := range sessions {
		open[s.ID] = true
	}
	maps.DeleteFunc(g.expiring, func(id uint64, _ bool) bool { return !open[id] })
	for _, id := range g.leases.Expired(g.now(), sessions) {
		if g.expiring[id] || len(g.expiring) >= maxExpiringSessions {
			continue
		}
		if err := g.propose(g.nextKey(), ledger.Command{Op: ledger.End, Session: id}); err != nil {
			return // retried after expireInterval
		}
		g.expiring[id] = true
		slog.Info("group: session lease expired", "session", id)
	}
}

// Renew restarts the lease of a session. The lease runs from the arrival of the call, so the
// holder may count from when it sent the call. It returns false if there is no such session.
func (g *Group) Renew(ctx context.Context, id uint64) (session ledger.Session, found bool, err error) {
	var receivedAt time.Duration
	var rejected error
	checkLeader := func() {
		if g.role != raft.StateLeader {
			rejected = g.notLeader()
		}
	}
	if err := g.call(ctx, func() { checkLeader(); receivedAt = g.now() }); err != nil || rejected != nil {
		return session, false, errors.Join(err, rejected)
	}
	if err := g.confirm(ctx); err != nil {
		return session, false, err
	}
	err = g.call(ctx, func() {
		if checkLeader(); rejected != nil {
			return
		}
		for _, candidate := range g.state.Sessions() {
			// A session whose end is proposed must not be renewed.
			if candidate.ID == id && !g.expiring[id] {
				session, found = candidate, true
				g.leases.Renew(receivedAt, session)
			}
		}
	})
	return session, found, errors.Join(err, rejected)
}
