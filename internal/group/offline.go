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

// Operations on the folder of a stopped member.

// RecoverableList is a list that can be restored from a folder and start a new history, which
// readers don't confuse with the previous one.
type RecoverableList interface {
	List
	// StartHistory replaces the identifier of the list's history.
	StartHistory() error
	// AllBackendStates returns the states of all backends in the list.
	AllBackendStates() []budget.BackendState
}

// RecoveryResult describes a group recovered from one member. Committed entries after LastIndex
// are lost, although their callers have received results.
type RecoveryResult struct {
	Generation  Generation
	LastIndex   uint64 // of the last entry that the member has
	Term        uint64
	CommitIndex uint64 // of the last entry that the member knew to be committed
	Former      map[uint64]Member
}

// Recover turns a stopped member into a group of its own, with all entries that it has. It is
// meant for the permanent loss of a majority: entries that the others committed after its last
// one are lost, although their callers have received results. The other members terminate for
// good if they come back.
func Recover(config Config, fs wal.FS, list RecoverableList) (result RecoveryResult, err error) {
	if list != nil {
		config.List = list
	}
	log, recovered, err := openLog(config, fs)
	if err != nil {
		return result, err
	}
	defer func() { err = errors.Join(err, log.Close()) }()
	owner := identity{config.Name, config.Self}
	switch {
	case recovered.termination != "":
		return result, fmt.Errorf("%w: %s", ErrTerminated, recovered.termination)
	case !recovered.nonEmpty || recovered.snapshotMeta == nil || recovered.hardState == nil:
		return result, errNoInitialState
	case recovered.identity != owner.String():
		return result, fmt.Errorf("group: the folder is of %s, not of %s", recovered.identity, owner)
	}
	members := newMemberTable(config.initialMembers())
	state := replicatedState{ledger.New(config.Limits), config.List, members}
	if err := state.Restore(recovered.snapshotLines); err != nil {
		return result, err
	}
	// Entries after the known commit index may have been committed too, so all are applied.
	index, term := recovered.snapshotMeta.GetIndex(), max(recovered.snapshotMeta.GetTerm(), recovered.hardState.GetTerm())
	for _, entry := range recovered.entries {
		index = entry.GetIndex()
		switch {
		case entry.GetType() == raftpb.EntryType_EntryConfChange:
			if err := replayConfChange(state, entry); err != nil {
				return result, err
			}
		case len(entry.GetData()) > 0:
			state.Apply(index, entry.GetData())
		}
	}
	self := members.Members[config.Self]
	if self.Address == "" {
		return result, fmt.Errorf("group: member %d was removed from the group", config.Self)
	}
	result = RecoveryResult{Generation: Generation{members.Generation.Number + 1, randomName()}, LastIndex: index, Term: term, CommitIndex: max(recovered.snapshotMeta.GetIndex(), recovered.hardState.GetCommit()), Former: maps.Clone(members.Members)}
	delete(result.Former, config.Self)
	members.fromConfig, members.Generation, members.Former, members.Members = false, result.Generation, result.Former, map[uint64]Member{config.Self: self}
	if list != nil {
		if err := list.StartHistory(); err != nil {
			return result, err
		}
		state.observeBackends(index, list.AllBackendStates())
	}
	index++
	term++
	return result, writeInitialSnapshot(log, owner, recovered.incarnations, config.Self, index, term, state)
}

// Bootstrap creates a group of one member in an empty folder, with the content of the list.
func Bootstrap(config Config, fs wal.FS, list RecoverableList) (err error) {
	if len(config.Members) != 1 {
		return fmt.Errorf("members: a group that takes over a list starts with 1 member, not %d; add others later", len(config.Members))
	}
	config.List = list
	log, recovered, err := openLog(config, fs)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, log.Close()) }()
	if recovered.nonEmpty {
		return errors.New("group: the folder is not empty")
	}
	state := replicatedState{ledger.New(config.Limits), list, newMemberTable(config.initialMembers())}
	state.observeBackends(1, list.AllBackendStates())
	return writeInitialSnapshot(log, identity{config.Name, config.Self}, nil, config.Self, 1, 1, state)
}

// writeInitialSnapshot writes the snapshot that a group of one member starts from.
func writeInitialSnapshot(log *wal.Log, owner identity, incarnations map[uint64]incarnation, self, index, term uint64, initial replicatedState) error {
	meta := &raftpb.SnapshotMetadata{Index: &index, Term: &term, ConfState: &raftpb.ConfState{Voters: []uint64{self}}}
	hardState := tagged(kindHardState, mustMarshal(&raftpb.HardState{Term: &term, Commit: &index}))
	sequence, err := log.Append([][]byte{tagged(kindIdentity, []byte(owner.String()))})
	if err != nil {
		return err
	}
	c := &core{identity: owner, incarnations: incarnations}
	return log.Snapshot(sequence, func(emit func([]byte) error) error {
		return emitAll(emit, c.headRecords(), snapshotRecords(meta, initial.Save()), [][]byte{hardState})
	})
}

// replayConfChange applies a configuration change to the state machine alone.
func replayConfChange(stateMachine StateMachine, entry *raftpb.Entry) error {
	change := &raftpb.ConfChange{}
	if err := proto.Unmarshal(entry.GetData(), change); err != nil {
		return fmt.Errorf("group: entry %d: %w", entry.GetIndex(), err)
	}
	_, err := applyMemberChange(stateMachine, entry.GetIndex(), change)
	return err
}

// openLog opens the log in a member's folder and reads its records.
func openLog(config Config, fs wal.FS) (*wal.Log, *recoveredState, error) {
	if err := config.Check(); err != nil {
		return nil, nil, fmt.Errorf("group: %w", err)
	}
	maxBytes := int64(config.DataMB) << 20
	recovered := &recoveredState{}
	log, err := wal.Open(fs, wal.Options{Kind: WALKind, SegmentBytes: max(minSegmentBytes, maxBytes/segmentsPerLog), MaxBytes: maxBytes},
		wal.Visitor{Snapshot: recovered.addRecord, Record: func(_ uint64, text []byte) error { return recovered.addRecord(text) }})
	return log, recovered, err
}

// initialMembers returns the members that the configuration names.
func (c *Config) initialMembers() map[uint64]Member {
	members := map[uint64]Member{}
	for n, address := range c.Members {
		members[n] = Member{Address: address, RegistryAddress: c.RegistryAddresses[n]}
	}
	return members
}

// randomName returns a random name that is unique for practical purposes.
func randomName() string {
	var b [keyBytes]byte
	crand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// MemberNumbers returns the sorted numbers of the members.
func MemberNumbers(members map[uint64]Member) []uint64 { return slices.Sorted(maps.Keys(members)) }
