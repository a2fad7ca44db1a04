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

// waiter is a call that waits for its proposal to be applied.
type waiter struct {
	began time.Time
	done  chan ledger.Result // buffered, so that the loop never blocks
}

// key returns a number that no other proposal or read of this member has.
func (g *Group) key() uint64 {
	g.sequence++
	return g.random + g.sequence
}

// propose proposes a command of the ledger.
func (g *Group) propose(key uint64, c ledger.Command) error {
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return g.proposeEntry(key, forLedger, text)
}

// proposeEntry proposes an entry: the key, its kind and its body.
func (g *Group) proposeEntry(key uint64, kind byte, body []byte) error {
	err := g.core.raw.Propose(append(append(binary.BigEndian.AppendUint64(nil, key), kind), body...))
	if errors.Is(err, raft.ErrProposalDropped) {
		if g.refused++; g.role == raft.StateLeader {
			return ErrBusy
		}
		return ErrNoWriter
	}
	return err
}

// Do commits a command and returns its result. After ErrUnknown the command may or may not
// be committed; after any other error it is not.
func (g *Group) Do(ctx context.Context, c ledger.Command) (ledger.Result, error) {
	if err := c.Check(g.c.Limits); err != nil {
		return ledger.Result{Code: ledger.Invalid, Text: err.Error()}, nil
	}
	var key uint64
	w := &waiter{began: time.Now(), done: make(chan ledger.Result, 1)}
	var proposed error
	err := g.call(ctx, func() {
		switch {
		case g.role != raft.StateLeader:
			proposed = g.notWriter()
		case len(g.waiting) >= mostWaiting:
			g.refused++
			proposed = ErrBusy
		default:
			key = g.key()
			if proposed = g.propose(key, c); proposed == nil {
				g.waiting[key] = w
			}
		}
	})
	if err := cmp.Or(err, proposed); err != nil {
		return ledger.Result{}, err
	}
	select {
	case r := <-w.done:
		return r, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-g.ended:
		err = errEnded
	}
	g.post(func() { delete(g.waiting, key) })
	return ledger.Result{}, fmt.Errorf("%w: %w", ErrUnknown, err)
}

// Append commits records of the list; only the writer may. It waits until they have been
// applied here, or until this member is no longer the writer: then it returns ErrUnknown,
// and the records may or may not be committed.
func (g *Group) Append(records [][]byte) error {
	w := &waiter{began: time.Now(), done: make(chan ledger.Result, 1)}
	var lost chan struct{}
	var proposed error
	if err := g.call(context.Background(), func() {
		lost = g.lost
		if !g.writes {
			proposed = ErrNoWriter
			return
		}
		key := g.key()
		if proposed = g.proposeEntry(key, forList, join(records)); proposed == nil {
			g.waiting[key] = w
		}
	}); err != nil || proposed != nil {
		return cmp.Or(err, proposed)
	}
	select {
	case r := <-w.done:
		if r.Code != ledger.OK {
			return errors.New(r.Text)
		}
		return nil
	case <-lost:
		return ErrUnknown
	case <-g.ended:
		return errEnded
	}
}
