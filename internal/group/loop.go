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
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx)) // messages are still sent during the shutdown
	defer stop()
	g.startPeer = func(number uint64, address string) {
		peerCtx, stopPeer := context.WithCancel(runCtx)
		p := newPeer(g.config.Name, g.config.Self, number, address, func(report func()) { g.enqueue(peerCtx, report) })
		p.stop = stopPeer
		p.generation = g.members.Generation
		p.onUnreachable = func() { g.core.raw.ReportUnreachable(number) }
		p.onSnapshotStatus = func(status raft.SnapshotStatus) { g.core.raw.ReportSnapshot(number, status) }
		p.onRefused = func(reason string) { g.core.terminate(reason) }
		g.peers[number] = p
		wg.Go(func() { p.run(peerCtx) })
	}
	for _, n := range g.members.others(g.config.Self) {
		g.startPeer(n, g.members.Members[n].Address)
	}
	request := g.newJoinRequest()
	addresses, required := g.joinTargets()
	wg.Go(func() { g.handshake(runCtx, addresses, required) })
	for _, former := range g.members.Former {
		wg.Go(func() { g.notifyFormer(runCtx, request, former.Address) })
	}
	if required == 0 {
		g.participating = true
		if err := g.core.raw.Campaign(); err != nil { // no other member has to welcome this one
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
			for range len(g.calls) { // one sync of the disk serves the whole batch
				(<-g.calls)()
			}
		}
	}
}

// transferLeadership transfers leadership to the voter with the most complete log, so that the
// group need not wait for an election timeout.
func (g *Group) transferLeadership() error {
	if g.role != raft.StateLeader {
		return nil
	}
	target, highestMatch := uint64(0), uint64(0)
	for n, p := range g.core.raw.Status().Progress {
		if n != g.config.Self && !p.IsLearner && p.Match > highestMatch {
			target, highestMatch = n, p.Match
		}
	}
	if target == 0 {
		return nil
	}
	slog.Info("group: this member ends, and another is to write", "number", target)
	g.core.raw.TransferLeader(target)
	timeout := time.NewTimer(leaderTransferTimeout)
	defer timeout.Stop()
	for g.role == raft.StateLeader {
		if err := g.advance(); err != nil {
			return err
		}
		select {
		case <-timeout.C:
			return nil
		case call := <-g.calls:
			call()
		}
	}
	return nil
}

// now returns the time since the member was opened.
func (g *Group) now() time.Duration { return time.Since(g.openedAt) }

// advance sends the messages that raft has made ready, and completes proposals and reads.
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
			if pending := g.reads[binary.BigEndian.Uint64(r.RequestCtx)]; pending != nil {
				pending.index = max(r.Index, 1)
			}
		}
	}
	if g.role == raft.StateLeader && !g.leaderReady && g.core.applied >= g.termStart {
		g.leaderReady = true
		if g.config.List != nil {
			g.config.List.SetWriter(true, g.members.Members[g.config.Self].RegistryAddress)
		}
	}
	for key, pending := range g.reads {
		if pending.index > 0 && g.core.applied >= pending.index {
			delete(g.reads, key)
			close(pending.done)
		}
	}
	if len(out.applied) > 0 {
		close(g.entryApplied)
		g.entryApplied = make(chan struct{})
	}
	return nil
}

// updateRole handles a change of the leader or of this member's role.
func (g *Group) updateRole() {
	status := g.core.raw.BasicStatus()
	if status.Lead == g.leader && status.RaftState == g.role {
		return
	}
	previousRole := g.role
	g.leader, g.role = status.Lead, status.RaftState
	if g.role != raft.StateLeader && g.config.List != nil {
		g.config.List.SetWriter(false, g.members.Members[g.leader].RegistryAddress)
	}
	if previousRole == raft.StateLeader && g.role != raft.StateLeader {
		g.leaderReady, g.pendingChange = false, 0
		close(g.leadershipLost)
		g.leadershipLost = make(chan struct{})
	}
	switch {
	case g.role == raft.StateLeader:
		g.electionsWon++
		g.termStart, _ = g.core.storage.LastIndex() // MemoryStorage returns no error; the last entry is the first of the new term
		// The former leader may have renewed any session just now.
		g.leases.Reset(g.now(), g.state.Sessions())
		clear(g.expiring)
		slog.Info("group: this member is the writer", "term", status.GetTerm())
	case g.role == raft.StateCandidate && previousRole == raft.StateFollower:
		g.transfersReceived++ // without a transfer it would be a pre-candidate first
		slog.Info("group: the writer transfers its role to this member", "term", status.GetTerm())
	case g.role == raft.StatePreCandidate || g.role == raft.StateCandidate:
		if previousRole == raft.StateFollower || previousRole == raft.StateLeader {
			g.elections++
			slog.Info("group: no heartbeat from the writer; starting an election", "term", status.GetTerm())
		}
	case previousRole == raft.StateLeader:
		slog.Warn("group: this member is no longer the writer", "term", status.GetTerm(), "writer", g.leader)
	case g.leader != 0:
		slog.Info("group: writer changed", "number", g.leader, "term", status.GetTerm())
	}
}

// completeProposal completes the call whose entry has been applied.
func (g *Group) completeProposal(entry appliedEntry) {
	result, _ := entry.result.(ledger.Result)
	if entry.isConfChange {
		if g.pendingChange == entry.key {
			g.pendingChange = 0
		}
		g.updatePeers()
	}
	if pending := g.proposals[entry.key]; pending != nil {
		delete(g.proposals, entry.key)
		g.commitLatency.RecordValue(min(time.Since(pending.startedAt).Microseconds(), maxCommitMicroseconds))
		pending.result <- result
	}
}

// receive processes messages of another member. It returns a RefusedError if the sender does not
// belong to the group any more.
func (g *Group) receive(ctx context.Context, sender uint64, generation Generation, data []byte) error {
	var rejected error
	err := g.call(ctx, func() {
		switch current := g.members.Generation; {
		case !g.participating:
			rejected = ErrBusy
			return
		case generation.Number > current.Number:
			g.core.terminate(supersededReason(generation))
			rejected = errStopped
			return
		case generation.Number < current.Number:
			rejected = refusedf("%s", supersededReason(current))
			return
		case generation != current:
			rejected = ErrBusy
			return
		case g.members.wasRemoved(sender):
			rejected = refusedf("member %d was removed from the group", sender)
			return
		}
		var messages []*raftpb.Message
		if messages, rejected = decodeMessages(data, g.config.Self, g.members.Members); rejected != nil {
			return
		}
		term := g.core.raw.BasicStatus().GetTerm()
		for _, message := range messages {
			if g.lastReceived[message.GetFrom()] = time.Now(); message.GetFrom() == g.leader {
				g.leaderSeen = time.Now()
			}
			if last := g.core.lastIndex(); message.GetType() == raftpb.MessageType_MsgHeartbeat && message.GetTerm() >= term && message.GetCommit() > last {
				g.core.terminate(fmt.Sprintf("this member has entries up to %d and has acknowledged those up to %d: its folder is an older one. %s", last, message.GetCommit(), replaceAdvice))
				rejected = errStopped
				return
			}
			g.core.raw.Step(message) // Step rejects messages of other terms, which is expected
		}
	})
	return cmp.Or(err, rejected)
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
	var claimed atomic.Bool // by the loop, or by this call when it gives up
	done := make(chan struct{})
	if err := g.post(func() {
		if claimed.CompareAndSwap(false, true) {
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
	if claimed.CompareAndSwap(false, true) {
		return err
	}
	<-done
	return nil
}
