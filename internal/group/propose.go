package group

import (
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"

	"dunlintray/internal/ledger"
)

// proposal is a call that waits for its entry to be applied.
type proposal struct {
	startedAt time.Time
	result    chan ledger.Result // buffered, so that the loop never blocks
}

// nextKey returns a number that no other proposal or read of this member has.
func (g *Group) nextKey() uint64 {
	g.keySequence++
	return g.keyBase + g.keySequence
}

// propose proposes a command of the ledger.
func (g *Group) propose(key uint64, command ledger.Command) error {
	text, err := json.Marshal(command)
	if err != nil {
		return err
	}
	return g.proposeEntry(key, payloadLedger, text)
}

// proposeEntry proposes an entry: the key, its kind and its body.
func (g *Group) proposeEntry(key uint64, kind byte, body []byte) error {
	err := g.core.raw.Propose(append(append(binary.BigEndian.AppendUint64(nil, key), kind), body...))
	if errors.Is(err, raft.ErrProposalDropped) {
		if g.proposalsRefused++; g.role == raft.StateLeader {
			return ErrBusy
		}
		return ErrNoLeader
	}
	return err
}

// Do commits a command and returns its result. After ErrUnknown the command may or may not
// be committed; after any other error it is not.
func (g *Group) Do(ctx context.Context, command ledger.Command) (ledger.Result, error) {
	if err := command.Check(g.config.Limits); err != nil {
		return ledger.Result{Code: ledger.Invalid, Text: err.Error()}, nil
	}
	var key uint64
	pending := &proposal{startedAt: time.Now(), result: make(chan ledger.Result, 1)}
	var proposeErr error
	err := g.call(ctx, func() {
		switch {
		case g.role != raft.StateLeader:
			proposeErr = g.notLeader()
		case len(g.proposals) >= maxPendingProposals:
			g.proposalsRefused++
			proposeErr = ErrBusy
		default:
			key = g.nextKey()
			if proposeErr = g.propose(key, command); proposeErr == nil {
				g.proposals[key] = pending
			}
		}
	})
	if err := cmp.Or(err, proposeErr); err != nil {
		return ledger.Result{}, err
	}
	select {
	case r := <-pending.result:
		return r, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-g.stopped:
		err = errStopped
	}
	g.post(func() { delete(g.proposals, key) })
	return ledger.Result{}, fmt.Errorf("%w: %w", ErrUnknown, err)
}

// Append commits records of the list; only the leader may. It waits until they have been applied
// here. If this member loses leadership first, it returns ErrUnknown, and the records may or may
// not be committed.
func (g *Group) Append(records [][]byte) error {
	pending := &proposal{startedAt: time.Now(), result: make(chan ledger.Result, 1)}
	var lost chan struct{}
	var proposeErr error
	if err := g.call(context.Background(), func() {
		lost = g.leadershipLost
		if !g.leaderReady {
			proposeErr = ErrNoLeader
			return
		}
		key := g.nextKey()
		if proposeErr = g.proposeEntry(key, payloadList, joinLines(records)); proposeErr == nil {
			g.proposals[key] = pending
		}
	}); err != nil || proposeErr != nil {
		return cmp.Or(err, proposeErr)
	}
	select {
	case r := <-pending.result:
		if r.Code != ledger.OK {
			return errors.New(r.Text)
		}
		return nil
	case <-lost:
		return ErrUnknown
	case <-g.stopped:
		return errStopped
	}
}
