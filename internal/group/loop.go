package group

import (
	"cmp"
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"dunlintray/internal/ledger"
)

// Run runs the member until ctx ends or its disk fails. When ctx ends, a leader transfers
// its role first.
func (g *Group) Run(ctx context.Context) error {
	defer close(g.stopped)
	defer g.log.Close()
	var wg sync.WaitGroup
	defer wg.Wait()
	inner, stop := context.WithCancel(context.WithoutCancel(ctx)) // messages of the shutdown still go out
	defer stop()
	g.startPeer = func(n uint64, at string) {
		carrying, end := context.WithCancel(inner)
		p := newPeer(g.config.Name, g.config.Self, n, at, func(result func()) { g.enqueue(carrying, result) })
		p.stop = end
		p.generation = g.members.Generation
		p.onUnreachable = func() { g.core.raw.ReportUnreachable(n) }
		p.onSnapshotStatus = func(status raft.SnapshotStatus) { g.core.raw.ReportSnapshot(n, status) }
		p.onRefused = func(why string) { g.core.terminate(why) }
		g.peers[n] = p
		wg.Go(func() { p.run(carrying) })
	}
	for _, n := range g.members.others(g.config.Self) {
		g.startPeer(n, g.members.Members[n].Address)
	}
	from, ask, need := g.newJoin()
	wg.Go(func() { g.handshake(inner, from, ask, need) })
	for _, former := range g.members.Former {
		wg.Go(func() { g.notifyFormer(inner, from, former.Address) })
	}
	if need == 0 {
		g.participating = true
		if err := g.core.raw.Campaign(); err != nil { // no other member has to welcome it
			return err
		}
	}
	tick, expire := time.NewTicker(Tick), time.NewTicker(expireInterval)
	defer tick.Stop()
	defer expire.Stop()
	for {
		if err := g.advance(); err != nil {
			slog.Error("group: this member ends", "error", err)
			return err
		}
		select {
		case <-ctx.Done():
			return g.transferLeadership()
		case <-tick.C:
			if g.participating {
				g.core.raw.Tick()
			}
		case <-expire.C:
			g.expire()
			g.promoteLearner()
		case call := <-g.calls:
			call()
			for range len(g.calls) { // a batch, so that one sync of the disk serves all
				(<-g.calls)()
			}
		}
	}
}

// handOver transfers leadership to the voter whose log is the most complete, so that the
// group need not wait for an election time-out.
func (g *Group) transferLeadership() error {
	if g.role != raft.StateLeader {
		return nil
	}
	next, furthest := uint64(0), uint64(0)
	for n, p := range g.core.raw.Status().Progress {
		if n != g.config.Self && !p.IsLearner && p.Match > furthest {
			next, furthest = n, p.Match
		}
	}
	if next == 0 {
		return nil
	}
	slog.Info("group: this member ends, and another is to write", "number", next)
	g.core.raw.TransferLeader(next)
	end := time.NewTimer(leaderTransferTimeout)
	defer end.Stop()
	for g.role == raft.StateLeader {
		if err := g.advance(); err != nil {
			return err
		}
		select {
		case <-end.C:
			return nil
		case call := <-g.calls:
			call()
		}
	}
	return nil
}

// now returns the time since the member was opened.
func (g *Group) now() time.Duration { return time.Since(g.openedAt) }

// turn processes what raft has made ready: it sends messages, applies committed entries
// and completes reads.
func (g *Group) advance() error {
	out, err := g.core.processReady()
	if err != nil {
		return err
	}
	for _, m := range out.send {
		if p := g.peers[m.GetTo()]; p != nil && !p.send(m) {
			g.core.raw.ReportUnreachable(m.GetTo())
			if m.GetType() == raftpb.MessageType_MsgSnap {
				g.core.raw.ReportSnapshot(m.GetTo(), raft.SnapshotFailure)
			}
		}
	}
	g.updateRole()
	if out.installedSnapshot {
		g.updatePeers()
	}
	for _, a := range out.applied {
		g.completeProposal(a)
	}
	for _, r := range out.reads {
		if len(r.RequestCtx) == keyBytes {
			if w := g.reads[binary.BigEndian.Uint64(r.RequestCtx)]; w != nil {
				w.index = max(r.Index, 1)
			}
		}
	}
	if g.role == raft.StateLeader && !g.leaderReady && g.core.applied >= g.termStart {
		g.leaderReady = true
		if g.config.List != nil {
			g.config.List.SetWriter(true, g.members.Members[g.config.Self].RegistryAddress)
		}
	}
	for key, w := range g.reads {
		if w.index > 0 && g.core.applied >= w.index {
			delete(g.reads, key)
			close(w.done)
		}
	}
	if len(out.applied) > 0 {
		close(g.entryApplied)
		g.entryApplied = make(chan struct{})
	}
	return nil
}

// stood handles a change of the leader or of this member's role.
func (g *Group) updateRole() {
	st := g.core.raw.BasicStatus()
	if st.Lead == g.leader && st.RaftState == g.role {
		return
	}
	before := g.role
	g.leader, g.role = st.Lead, st.RaftState
	if g.role != raft.StateLeader && g.config.List != nil {
		g.config.List.SetWriter(false, g.members.Members[g.leader].RegistryAddress)
	}
	if before == raft.StateLeader && g.role != raft.StateLeader {
		g.leaderReady, g.pendingChange = false, 0
		close(g.leadershipLost)
		g.leadershipLost = make(chan struct{})
	}
	switch {
	case g.role == raft.StateLeader:
		g.electionsWon++
		g.termStart, _ = g.core.storage.LastIndex() // of a memory storage, which can't fail; the first entry of the term is in it
		// The former leader may have renewed any session a moment ago.
		g.leases.Reset(g.now(), g.state.Sessions())
		clear(g.expiring)
		slog.Info("group: this member is the writer", "term", st.GetTerm())
	case g.role == raft.StateCandidate && before == raft.StateFollower:
		g.transfersReceived++ // without a transfer it would be a pre-candidate first
		slog.Info("group: the writer hands over to this member", "term", st.GetTerm())
	case g.role == raft.StatePreCandidate || g.role == raft.StateCandidate:
		if before == raft.StateFollower || before == raft.StateLeader {
			g.elections++
			slog.Info("group: no word of the writer; this member asks to be it", "term", st.GetTerm())
		}
	case before == raft.StateLeader:
		slog.Warn("group: this member is the writer no more", "term", st.GetTerm(), "writer", g.leader)
	case g.leader != 0:
		slog.Info("group: the writer", "number", g.leader, "term", st.GetTerm())
	}
}

// applied completes the call that waits for an entry which has been applied.
func (g *Group) completeProposal(a appliedEntry) {
	result, _ := a.result.(ledger.Result)
	if a.isConfChange {
		if g.pendingChange == a.key {
			g.pendingChange = 0
		}
		g.updatePeers()
	}
	if w := g.proposals[a.key]; w != nil {
		delete(g.proposals, a.key)
		g.commitLatency.RecordValue(min(time.Since(w.startedAt).Microseconds(), maxCommitMicroseconds))
		w.result <- result
	}
}

// receive processes messages of another member. The error tells a member that is not part
// of this group, or no longer, why.
func (g *Group) receive(ctx context.Context, from uint64, generation Generation, text []byte) error {
	var not error
	err := g.call(ctx, func() {
		switch own := g.members.Generation; {
		case !g.participating:
			not = ErrBusy
			return
		case generation.Number > own.Number:
			g.core.terminate(supersededReason(generation))
			not = errStopped
			return
		case generation.Number < own.Number:
			not = refusedf("%s", supersededReason(own))
			return
		case generation != own:
			not = ErrBusy
			return
		case g.members.wasRemoved(from):
			not = refusedf("member %d was taken out of the group", from)
			return
		}
		var all []*raftpb.Message
		if all, not = decodeMessages(text, g.config.Self, g.members.Members); not != nil {
			return
		}
		term := g.core.raw.BasicStatus().GetTerm()
		for _, m := range all {
			if g.lastReceived[m.GetFrom()] = time.Now(); m.GetFrom() == g.leader {
				g.leaderSeen = time.Now()
			}
			if last := g.core.lastIndex(); m.GetType() == raftpb.MessageType_MsgHeartbeat && m.GetTerm() >= term && m.GetCommit() > last {
				g.core.terminate(fmt.Sprintf("it has entries up to %d, and has promised the writer those up to %d: its folder is an older one. %s", last, m.GetCommit(), replaceAdvice))
				not = errStopped
				return
			}
			g.core.raw.Step(m) // raft refuses messages of other terms, which is no error
		}
	})
	return cmp.Or(err, not)
}

// post queues a function for the loop. It returns ErrBusy if the queue is full.
func (g *Group) post(do func()) error {
	select {
	case g.calls <- do:
		return nil
	case <-g.stopped:
		return errStopped
	default:
		return ErrBusy
	}
}

// call runs a function in the loop and waits for it. If it returns an error, the function
// has not run and never will.
func (g *Group) call(ctx context.Context, do func()) (err error) {
	var begun atomic.Bool // set by whoever comes first: the loop, or this call giving up
	done := make(chan struct{})
	if err := g.post(func() {
		if begun.CompareAndSwap(false, true) {
			do()
			close(done)
		}
	}); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-g.stopped:
		err = errStopped
	}
	if begun.CompareAndSwap(false, true) {
		return err
	}
	<-done
	return nil
}
