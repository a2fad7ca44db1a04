package group

import (
	crand "crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dunlintray/internal/budget"
	"dunlintray/internal/ledger"
	"dunlintray/internal/wal"
)

// What is done to the folder of a member that is stopped.

// ListMaker is a list that a folder is read into, and that can begin a history that
// readers can't take for the one before.
type RecoverableList interface {
	List
	StartHistory() error
	AllBackendStates() []budget.BackendState
}

// Lost says from where on a group that was made of one member may have lost what it had
// agreed on, and had answered as done.
type RecoveryResult struct {
	Generation  Generation
	LastIndex   uint64 // the last that this member has
	Term        uint64
	CommitIndex uint64 // the last of which this member knew that it was agreed on
	Former      map[uint64]Member
}

// Recover makes the group of a member that is stopped a group of that member alone, with
// all that it has. That is for a majority that is lost for good: what the others had
// agreed on behind its last entry is lost, though it was answered. The others, if they
// come back, refuse for good.
func Recover(c Config, fs wal.FS, list RecoverableList) (lost RecoveryResult, err error) {
	if list != nil {
		c.List = list
	}
	log, r, err := openLog(c, fs)
	if err != nil {
		return lost, err
	}
	defer func() { err = errors.Join(err, log.Close()) }()
	who := identity{c.Name, c.Self}
	switch {
	case r.termination != "":
		return lost, fmt.Errorf("%w: %s", ErrTerminated, r.termination)
	case !r.nonEmpty || r.snapshotMeta == nil || r.hardState == nil:
		return lost, errNoInitialState
	case r.identity != who.String():
		return lost, fmt.Errorf("group: the folder is of %s, not of %s", r.identity, who)
	}
	b := newMemberTable(c.initialMembers())
	m := replicatedState{ledger.New(c.Limits), c.List, b}
	if err := m.Restore(r.snapshotLines); err != nil {
		return lost, err
	}
	// What is behind the last entry that is known to be agreed on may have been answered
	// too: this member can't tell.
	index, term := r.snapshotMeta.GetIndex(), max(r.snapshotMeta.GetTerm(), r.hardState.GetTerm())
	for _, e := range r.entries {
		index = e.GetIndex()
		switch {
		case e.GetType() == raftpb.EntryType_EntryConfChange:
			if err := replayConfChange(m, e); err != nil {
				return lost, err
			}
		case len(e.GetData()) > 0:
			m.Apply(index, e.GetData())
		}
	}
	self := b.Members[c.Self]
	if self.Address == "" {
		return lost, fmt.Errorf("group: member %d was taken out of the group", c.Self)
	}
	lost = RecoveryResult{Generation: Generation{b.Generation.Number + 1, randomName()}, LastIndex: index, Term: term, CommitIndex: max(r.snapshotMeta.GetIndex(), r.hardState.GetCommit()), Former: maps.Clone(b.Members)}
	delete(lost.Former, c.Self)
	b.fromConfig, b.Generation, b.Former, b.Members = false, lost.Generation, lost.Former, map[uint64]Member{c.Self: self}
	if list != nil {
		if err := list.StartHistory(); err != nil {
			return lost, err
		}
		m.observeBackends(index, list.AllBackendStates())
	}
	index++
	term++
	return lost, writeInitialSnapshot(log, who, r.incarnations, c.Self, index, term, m)
}

// Found begins a group of one with a list that was kept elsewhere, in an empty folder.
func Bootstrap(c Config, fs wal.FS, list RecoverableList) (err error) {
	if len(c.Members) != 1 {
		return fmt.Errorf("members: a group that takes over a list begins with one, not %d; others are added to it", len(c.Members))
	}
	c.List = list
	log, r, err := openLog(c, fs)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, log.Close()) }()
	if r.nonEmpty {
		return errors.New("group: the folder is not empty")
	}
	m := replicatedState{ledger.New(c.Limits), list, newMemberTable(c.initialMembers())}
	m.observeBackends(1, list.AllBackendStates())
	return writeInitialSnapshot(log, identity{c.Name, c.Self}, nil, c.Self, 1, 1, m)
}

// found writes a snapshot with which one member begins.
func writeInitialSnapshot(log *wal.Log, who identity, lives map[uint64]incarnation, self, index, term uint64, m replicatedState) error {
	meta := &raftpb.SnapshotMetadata{Index: &index, Term: &term, ConfState: &raftpb.ConfState{Voters: []uint64{self}}}
	state := tagged(kindHardState, mustMarshal(&raftpb.HardState{Term: &term, Commit: &index}))
	sequence, err := log.Append([][]byte{tagged(kindIdentity, []byte(who.String()))})
	if err != nil {
		return err
	}
	c := &core{identity: who, incarnations: lives}
	return log.Snapshot(sequence, func(emit func([]byte) error) error {
		return emitAll(emit, c.headRecords(), snapshotRecords(meta, m.Save()), [][]byte{state})
	})
}

func replayConfChange(m StateMachine, e *raftpb.Entry) error {
	cc := &raftpb.ConfChange{}
	if err := proto.Unmarshal(e.GetData(), cc); err != nil {
		return fmt.Errorf("group: entry %d: %w", e.GetIndex(), err)
	}
	_, err := applyMemberChange(m, e.GetIndex(), cc)
	return err
}

// open reads a member's folder.
func openLog(c Config, fs wal.FS) (*wal.Log, *recoveredState, error) {
	if err := c.Check(); err != nil {
		return nil, nil, fmt.Errorf("group: %w", err)
	}
	most := int64(c.DataMB) << 20
	r := &recoveredState{}
	log, err := wal.Open(fs, wal.Options{Kind: WALKind, SegmentBytes: max(minSegmentBytes, most/segmentsPerLog), MaxBytes: most},
		wal.Visitor{Snapshot: r.addRecord, Record: func(_ uint64, text []byte) error { return r.addRecord(text) }})
	return log, r, err
}

// founders are the members that the configuration names.
func (c *Config) initialMembers() map[uint64]Member {
	all := map[uint64]Member{}
	for n, at := range c.Members {
		all[n] = Member{Address: at, RegistryAddress: c.RegistryAddresses[n]}
	}
	return all
}

// name is one that nobody else draws.
func randomName() string {
	var b [keyBytes]byte
	crand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Numbers are a book's, sorted.
func MemberNumbers(members map[uint64]Member) []uint64 { return slices.Sorted(maps.Keys(members)) }
