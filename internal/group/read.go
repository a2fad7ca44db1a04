package group

import (
	"context"
	"encoding/binary"
	"time"

	"dunlintray/internal/ledger"
)

// pendingRead is a linearizable read: it waits until a quorum has confirmed the leader, and until
// this member has applied the entries that were committed by then.
type pendingRead struct {
	index uint64 // entries up to here must be applied; 0: not confirmed yet
	done  chan struct{}
}

// Age returns the time since the leader's last message, or a negative time if there was none.
func (g *Group) Age() (age time.Duration) {
	age = -1
	g.call(context.Background(), func() {
		if !g.leaderSeen.IsZero() {
			age = time.Since(g.leaderSeen)
		}
	})
	return age
}

// Read calls view with the ledger. A current read is linearizable: it sees all that was
// committed before the call. Another read sees what this member has applied.
func (g *Group) Read(ctx context.Context, current bool, view func(*ledger.State)) error {
	if current {
		if err := g.confirm(ctx); err != nil {
			return err
		}
	}
	return g.call(ctx, func() { view(g.state) })
}

// confirm waits until a quorum has confirmed the leader and this member has applied all
// that was committed when confirm was called.
func (g *Group) confirm(ctx context.Context) error {
	pending := &pendingRead{done: make(chan struct{})}
	var key uint64
	var readErr error
	if err := g.call(ctx, func() {
		switch {
		case g.leader == 0:
			readErr = ErrNoLeader
		case len(g.reads) >= maxPendingProposals:
			readErr = ErrBusy
		default:
			key = g.nextKey()
			g.reads[key] = pending
			g.core.raw.ReadIndex(binary.BigEndian.AppendUint64(nil, key))
		}
	}); err != nil {
		return err
	}
	if readErr != nil {
		return readErr
	}
	select {
	case <-pending.done:
		return nil
	case <-ctx.Done():
		g.post(func() { delete(g.reads, key) })
		return ErrNoLeader
	case <-g.stopped:
		return errStopped
	}
}

// Changes waits until a record under a prefix has changed after the index since, or until
// ctx ends. If the history does not go back that far, it returns all records and sets
// complete. The first result is the index to continue from.
func (g *Group) Changes(ctx context.Context, since uint64, prefix string) (index uint64, complete bool, changes []ledger.Change, err error) {
	for {
		var applied chan struct{}
		err := g.call(ctx, func() {
			index, applied = g.state.Index(), g.entryApplied
			var known bool
			if changes, known = g.state.Since(since, prefix); !known {
				complete = true
				for _, r := range g.state.List(prefix) {
					changes = append(changes, ledger.Change{Record: r})
				}
			}
		})
		if err != nil || complete || len(changes) > 0 {
			return index, complete, changes, err
		}
		select {
		case <-applied:
		case <-ctx.Done():
			return index, false, nil, nil
		case <-g.stopped:
			return 0, false, nil, errStopped
		}
	}
}
