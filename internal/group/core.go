// Package group replicates a ledger, and optionally a registry's list of backends, among a
// group of members by raft (go.etcd.io/raft/v3). It adds to the library the storage on
// internal/wal, the state machine, the transport over HTTP and the client. Messages, statuses
// and metrics call raft's leader the writer.
package group

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// DurableLog is the durable storage of a member; *wal.Log implements it.
type DurableLog interface {
	// Append appends records durably and returns the sequence of the first.
	Append(records [][]byte) (first uint64, err error)
	// SnapshotDue reports whether a snapshot should be written.
	SnapshotDue() bool
	// LastSequence returns the sequence of the last record.
	LastSequence() uint64
	// Snapshot replaces the records up to the sequence by a snapshot.
	Snapshot(sequence uint64, records func(emit func(record []byte) error) error) error
}

// StateMachine is the replicated state. Its methods are called in the order of the log.
type StateMachine interface {
	// Apply applies a committed entry and returns its result.
	Apply(index uint64, data []byte) any
	// Add adds or replaces a member.
	Add(number uint64, member Member)
	// Remove removes a member.
	Remove(number uint64)
	// Save returns a snapshot as lines.
	Save() [][]byte
	// Restore replaces the state by a snapshot that Save returned.
	Restore(lines [][]byte) error
}

// Settings of raft. A follower starts an election after electionTicks to twice that many ticks
// without a message of the leader.
const (
	electionTicks       = 10
	heartbeatTicks      = 2
	maxMessageBytes     = 256 << 10 // bytes of the entries in one message
	maxInflightMessages = 64        // unacknowledged messages to one member
	maxInflightBytes    = 4 << 20   // bytes of unacknowledged messages to one member
	maxUncommittedBytes = 8 << 20   // bytes of uncommitted entries; further proposals are dropped
	retainedEntries     = 5000      // entries kept before a snapshot, for members that lag
	syncBatchBytes      = 512 << 10 // approximate bytes of records per sync
)

// Kinds of records in the durable log, by their first byte.
const (
	kindIdentity    = 'i' // identity, written once
	kindSnapshot    = 's' // raftpb.SnapshotMetadata; replaces all earlier entries and state lines
	kindStateLine   = 'm' // a line of the state machine at that snapshot
	kindEntry       = 'e' // raftpb.Entry; replaces earlier entries from its index on
	kindHardState   = 'h' // raftpb.HardState
	kindIncarnation = 'l' // incarnation of this member, or the latest known one of another
	kindTermination = 'x' // reason why this member has terminated for good
)

// incarnation identifies one start of a member's process.
type incarnation struct {
	Member  uint64 `json:"member"`
	Number  uint64 `json:"life"`
	Process string `json:"process"` // random; tells a repeated join request from that of another process
}

// identity names the member and the group that a folder belongs to.
type identity struct {
	Group  string
	Member uint64
}

func (i identity) String() string { return fmt.Sprintf("member %d of group %q", i.Member, i.Group) }

// recoveredState is the state read from the durable log at a start.
type recoveredState struct {
	nonEmpty      bool
	identity      string
	snapshotMeta  *raftpb.SnapshotMetadata
	snapshotLines [][]byte
	entries       []*raftpb.Entry
	hardState     *raftpb.HardState
	incarnations  map[uint64]incarnation
	termination   string
}

// addRecord processes the next record of the log.
func (r *recoveredState) addRecord(record []byte) error {
	if len(record) == 0 {
		return errors.New("group: empty record")
	}
	r.nonEmpty = true
	body := append([]byte(nil), record[1:]...)
	switch record[0] {
	case kindIdentity:
		r.identity = string(body)
	case kindSnapshot:
		r.snapshotMeta, r.snapshotLines, r.entries = &raftpb.SnapshotMetadata{}, nil, nil
		return proto.Unmarshal(body, r.snapshotMeta)
	case kindStateLine:
		r.snapshotLines = append(r.snapshotLines, body)
	case kindEntry:
		entry := &raftpb.Entry{}
		if err := proto.Unmarshal(body, entry); err != nil {
			return err
		}
		if len(r.entries) > 0 {
			first := r.entries[0].GetIndex()
			if entry.GetIndex() < first || entry.GetIndex() > first+uint64(len(r.entries)) {
				return fmt.Errorf("group: entry %d does not continue the entries from %d to %d", entry.GetIndex(), first, first+uint64(len(r.entries))-1)
			}
			r.entries = r.entries[:entry.GetIndex()-first]
		}
		r.entries = append(r.entries, entry)
	case kindHardState:
		r.hardState = &raftpb.HardState{}
		return proto.Unmarshal(body, r.hardState)
	case kindIncarnation:
		var started incarnation
		if err := json.Unmarshal(body, &started); err != nil {
			return err
		}
		if r.incarnations == nil {
			r.incarnations = map[uint64]incarnation{}
		}
		if started.Number >= r.incarnations[started.Member].Number {
			r.incarnations[started.Member] = started
		}
	case kindTermination:
		r.termination = string(body)
	default:
		return fmt.Errorf("group: unknown kind of record %q", record[0])
	}
	return nil
}

// core is the deterministic part of a member, without clocks and sockets. It persists all
// state before the messages and results that depend on it are released.
type core struct {
	raw          *raft.RawNode
	identity     identity
	storage      *raft.MemoryStorage
	log          DurableLog
	stateMachine StateMachine
	confState    *raftpb.ConfState
	applied      uint64                 // index of the last applied entry
	incarnations map[uint64]incarnation // latest known incarnation by member, this one included
	err          error
}

// output holds the messages and results that processReady releases.
type output struct {
	send              []*raftpb.Message
	applied           []appliedEntry
	reads             []raft.ReadState
	installedSnapshot bool // a snapshot of the leader has been installed
}

// appliedEntry is a committed entry and the result of applying it.
type appliedEntry struct {
	index        uint64
	key          uint64 // of its proposal
	result       any
	isConfChange bool
}

// Errors of a member that must not run, or whose folder is incomplete.
var (
	// ErrTerminated says that the member has left its group for good.
	ErrTerminated     = errors.New("group: this member must not speak any more")
	errNoInitialState = errors.New("group: the folder has no initial snapshot or no hard state")
)

// newCore restores a member from its recovered state, or creates one. All members of a new group
// start from the same snapshot, which names the voters. A joining member starts empty and gets
// its state from the leader.
func newCore(owner identity, process string, voters []uint64, joining bool, log DurableLog, recovered *recoveredState, stateMachine StateMachine) (*core, error) {
	c := &core{identity: owner, storage: raft.NewMemoryStorage(), log: log, stateMachine: stateMachine, incarnations: map[uint64]incarnation{}}
	switch {
	case recovered.termination != "":
		return nil, fmt.Errorf("%w: %s", ErrTerminated, recovered.termination)
	case recovered.nonEmpty && recovered.identity != owner.String():
		return nil, fmt.Errorf("group: the folder is of %s, not of %s", recovered.identity, owner)
	case recovered.snapshotMeta == nil && len(recovered.entries) > 0 || recovered.snapshotMeta != nil && recovered.hardState == nil:
		return nil, errNoInitialState
	}
	maps.Copy(c.incarnations, recovered.incarnations)
	// The new incarnation is persisted before the first message of it is sent.
	c.incarnations[owner.Member] = incarnation{owner.Member, c.incarnations[owner.Member].Number + 1, process}
	records := [][]byte{c.incarnations[owner.Member].encode()}
	if !recovered.nonEmpty {
		records = append(records, tagged(kindIdentity, []byte(owner.String())))
		if !joining {
			one := uint64(1)
			recovered.snapshotMeta = &raftpb.SnapshotMetadata{Index: &one, Term: &one, ConfState: &raftpb.ConfState{Voters: voters}}
			recovered.hardState = &raftpb.HardState{Term: &one, Commit: &one}
			recovered.snapshotLines = stateMachine.Save()
			records = append(append(records, snapshotRecords(recovered.snapshotMeta, recovered.snapshotLines)...), tagged(kindHardState, mustMarshal(recovered.hardState)))
		}
	}
	if _, err := log.Append(records); err != nil {
		return nil, err
	}
	if recovered.snapshotMeta != nil {
		if err := c.storage.ApplySnapshot(&raftpb.Snapshot{Metadata: recovered.snapshotMeta, Data: joinLines(recovered.snapshotLines)}); err != nil {
			return nil, err
		}
		if err := stateMachine.Restore(recovered.snapshotLines); err != nil {
			return nil, err
		}
	}
	if recovered.hardState != nil { // a joining member may have persisted a term before its first snapshot
		if err := c.storage.SetHardState(recovered.hardState); err != nil {
			return nil, err
		}
	}
	if err := c.storage.Append(recovered.entries); err != nil {
		return nil, err
	}
	c.confState, c.applied = recovered.snapshotMeta.GetConfState(), recovered.snapshotMeta.GetIndex()
	var err error
	c.raw, err = raft.NewRawNode(&raft.Config{ID: owner.Member, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: c.storage, Applied: c.applied,
		MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: maxInflightMessages, MaxInflightBytes: maxInflightBytes, MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, Logger: raftLogger{}})
	return c, err
}

func (i incarnation) encode() []byte {
	text, err := json.Marshal(i)
	if err != nil {
		panic(err) // unreachable: all fields can be encoded
	}
	return tagged(kindIncarnation, text)
}

// saveIncarnation persists the incarnation of another member.
func (c *core) saveIncarnation(other incarnation) error {
	if c.incarnations[other.Member] == other {
		return nil
	}
	if _, err := c.log.Append([][]byte{other.encode()}); err != nil {
		c.err = fmt.Errorf("group: persist to the log: %w", err)
		return c.err
	}
	c.incarnations[other.Member] = other
	return nil
}

// terminate persists that this member has terminated for good, and stops it.
func (c *core) terminate(reason string) {
	if _, err := c.log.Append([][]byte{tagged(kindTermination, []byte(reason))}); err != nil {
		c.err = fmt.Errorf("group: persist to the log: %w", err)
		return
	}
	c.err = fmt.Errorf("%w: %s", ErrTerminated, reason)
}

// lastIndex returns the index of the last entry in the log.
func (c *core) lastIndex() uint64 {
	last, err := c.storage.LastIndex()
	if err != nil {
		panic(err) // unreachable: MemoryStorage returns no error
	}
	return last
}

// headRecords returns the records at the start of a snapshot on disk.
func (c *core) headRecords() [][]byte {
	records := [][]byte{tagged(kindIdentity, []byte(c.identity.String()))}
	for _, n := range slices.Sorted(maps.Keys(c.incarnations)) {
		records = append(records, c.incarnations[n].encode())
	}
	return records
}

// processReady processes all that raft has made ready: it persists entries and state, and then
// applies committed entries. A disk error stops the member, since it must not send messages
// about state that may be lost.
func (c *core) processReady() (out output, err error) {
	if c.err != nil {
		return out, c.err
	}
	for c.raw.HasReady() {
		rd := c.raw.Ready()
		if err := c.persist(rd); err != nil {
			c.err = fmt.Errorf("group: persist to the log: %w", err)
			return output{}, c.err
		}
		out.installedSnapshot = out.installedSnapshot || !raft.IsEmptySnap(rd.Snapshot)
		out.send = append(out.send, rd.Messages...)
		out.reads = append(out.reads, rd.ReadStates...)
		for _, e := range rd.CommittedEntries {
			if err := c.applyEntry(e, &out); err != nil {
				c.err = err
				return output{}, err
			}
		}
		c.raw.Advance(rd)
	}
	return out, c.compact()
}

// persist writes a Ready to the durable log, and then to raft's storage in memory.
func (c *core) persist(rd raft.Ready) error {
	var batch [][]byte
	size := 0
	flush := func() error {
		if len(batch) == 0 {
			return nil
		}
		_, err := c.log.Append(batch)
		batch, size = nil, 0
		return err
	}
	add := func(r []byte) error {
		if size += len(r); size > syncBatchBytes {
			if err := flush(); err != nil {
				return err
			}
		}
		batch = append(batch, r)
		return nil
	}
	hasSnapshot := !raft.IsEmptySnap(rd.Snapshot)
	if hasSnapshot {
		lines, err := splitLines(rd.Snapshot.GetData())
		if err != nil {
			return err
		}
		if err := c.stateMachine.Restore(lines); err != nil {
			return err
		}
		if err := c.installSnapshot(rd, lines); err != nil {
			return err
		}
	}
	for _, e := range rd.Entries {
		if err := add(tagged(kindEntry, mustMarshal(e))); err != nil {
			return err
		}
	}
	state, err := c.hardStateToPersist(rd)
	if err != nil {
		return err
	}
	if state != nil {
		batch = append(batch, tagged(kindHardState, mustMarshal(state)))
	}
	if err := flush(); err != nil {
		return err
	}
	if hasSnapshot {
		if err := c.storage.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
		c.applied, c.confState = rd.Snapshot.GetMetadata().GetIndex(), rd.Snapshot.GetMetadata().GetConfState()
	}
	if err := c.storage.Append(rd.Entries); err != nil {
		return err
	}
	if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
		return c.storage.SetHardState(rd.HardState)
	}
	return nil
}

// hardStateToPersist returns the hard state that has to be persisted with a Ready, or nil.
//
// The commit index need not be persisted, except for configuration changes. A member that loses
// several of them in a restart counts the votes of removed members: it waits for them for ever,
// or finds a majority that does not intersect with that of the other members.
func (c *core) hardStateToPersist(rd raft.Ready) (*raftpb.HardState, error) {
	hasConfChange := slices.ContainsFunc(rd.CommittedEntries, func(e *raftpb.Entry) bool {
		return e.GetType() == raftpb.EntryType_EntryConfChange
	})
	hasState := rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState)
	switch {
	case hasState && (hasConfChange || rd.MustSync):
		return rd.HardState, nil
	case hasConfChange: // committed by an earlier Ready
		state, _, err := c.storage.InitialState()
		return state, err
	}
	return nil, nil
}

// installSnapshot replaces the content of the durable log by a snapshot that the leader sent,
// in one atomic step.
func (c *core) installSnapshot(rd raft.Ready, lines [][]byte) error {
	state, _, err := c.storage.InitialState()
	if err != nil {
		return err
	}
	if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
		state = rd.HardState
	}
	// The snapshot replaces the log up to this record.
	sequence, err := c.log.Append([][]byte{tagged(kindHardState, mustMarshal(state))})
	if err != nil {
		return err
	}
	return c.log.Snapshot(sequence, func(emit func([]byte) error) error {
		return emitAll(emit, c.headRecords(), snapshotRecords(rd.Snapshot.GetMetadata(), lines), [][]byte{tagged(kindHardState, mustMarshal(state))})
	})
}

// emitAll emits the records of each batch in order.
func emitAll(emit func([]byte) error, batches ...[][]byte) error {
	for _, records := range batches {
		for _, r := range records {
			if err := emit(r); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *core) applyEntry(entry *raftpb.Entry, out *output) error {
	c.applied = entry.GetIndex()
	switch entry.GetType() {
	case raftpb.EntryType_EntryNormal:
	case raftpb.EntryType_EntryConfChange:
		return c.applyConfChange(entry, out)
	default:
		return fmt.Errorf("group: entry %d is a joint configuration change, which is not supported", entry.GetIndex())
	}
	if len(entry.GetData()) > 0 { // the first entry of a new leader is empty
		applied := appliedEntry{index: entry.GetIndex(), result: c.stateMachine.Apply(entry.GetIndex(), entry.GetData())}
		if len(entry.GetData()) >= keyBytes {
			applied.key = binary.BigEndian.Uint64(entry.GetData())
		}
		out.applied = append(out.applied, applied)
	}
	return nil
}

// applyConfChange applies a committed configuration change.
func (c *core) applyConfChange(entry *raftpb.Entry, out *output) error {
	change := &raftpb.ConfChange{}
	if err := proto.Unmarshal(entry.GetData(), change); err != nil {
		return fmt.Errorf("group: entry %d: %w", entry.GetIndex(), err)
	}
	member, err := applyMemberChange(c.stateMachine, entry.GetIndex(), change)
	if err != nil {
		return err
	}
	c.confState = c.raw.ApplyConfChange(change)
	out.applied = append(out.applied, appliedEntry{index: entry.GetIndex(), key: member.Key, isConfChange: true})
	// Snapshots sent from now on must include the new member, or a joining member would reject
	// them.
	if _, err := c.storage.CreateSnapshot(c.applied, c.confState, joinLines(c.stateMachine.Save())); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		return err
	}
	return nil
}

// applyMemberChange applies a configuration change to the state machine.
func applyMemberChange(stateMachine StateMachine, index uint64, confChange *raftpb.ConfChange) (change memberChange, err error) {
	if err := json.Unmarshal(confChange.GetContext(), &change); err != nil {
		return change, fmt.Errorf("group: entry %d: %w", index, err)
	}
	switch confChange.GetType() {
	case raftpb.ConfChangeType_ConfChangeAddLearnerNode:
		stateMachine.Add(confChange.GetNodeId(), change.Member)
	case raftpb.ConfChangeType_ConfChangeRemoveNode:
		stateMachine.Remove(confChange.GetNodeId())
	}
	return change, nil
}

// compact replaces the log by a snapshot when one is due. It logs a failure to write it, and the
// next call retries.
func (c *core) compact() error {
	if !c.log.SnapshotDue() {
		return nil
	}
	lines := c.stateMachine.Save()
	snapshot, err := c.storage.CreateSnapshot(c.applied, c.confState, joinLines(lines))
	if errors.Is(err, raft.ErrSnapOutOfDate) {
		return nil
	}
	if err != nil {
		return err
	}
	last, err := c.storage.LastIndex()
	if err != nil {
		return err
	}
	entries, err := c.storage.Entries(c.applied+1, last+1, ^uint64(0))
	if err != nil && !errors.Is(err, raft.ErrCompacted) && !errors.Is(err, raft.ErrUnavailable) {
		return err
	}
	state, _, err := c.storage.InitialState()
	if err != nil {
		return err
	}
	err = c.log.Snapshot(c.log.LastSequence(), func(emit func([]byte) error) error {
		tail := [][]byte{tagged(kindHardState, mustMarshal(state))}
		for _, e := range entries {
			tail = append(tail, tagged(kindEntry, mustMarshal(e)))
		}
		return emitAll(emit, c.headRecords(), snapshotRecords(snapshot.GetMetadata(), lines), tail)
	})
	if err != nil {
		slog.Error("group: writing a snapshot failed", "error", err)
		return nil
	}
	if first, err := c.storage.FirstIndex(); err == nil && c.applied > retainedEntries && c.applied-retainedEntries > first {
		return c.storage.Compact(c.applied - retainedEntries)
	}
	return nil
}

// tagged returns a record: the byte of its kind, followed by the body.
func tagged(kind byte, body []byte) []byte { return append([]byte{kind}, body...) }

func mustMarshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err) // unreachable: the message was built here or decoded before
	}
	return b
}

// snapshotRecords returns the log records of a snapshot.
func snapshotRecords(meta *raftpb.SnapshotMetadata, lines [][]byte) [][]byte {
	records := [][]byte{tagged(kindSnapshot, mustMarshal(meta))}
	for _, l := range lines {
		records = append(records, tagged(kindStateLine, l))
	}
	return records
}

// joinLines encodes lines as one byte string, each after its length; splitLines reverses it.
func joinLines(lines [][]byte) (data []byte) {
	for _, l := range lines {
		data = append(binary.AppendUvarint(data, uint64(len(l))), l...)
	}
	return data
}

func splitLines(data []byte) (lines [][]byte, err error) {
	for len(data) > 0 {
		length, prefix := binary.Uvarint(data)
		if prefix <= 0 || length > uint64(len(data)-prefix) {
			return nil, errors.New("group: encoded lines are truncated")
		}
		lines = append(lines, data[prefix:prefix+int(length)])
		data = data[prefix+int(length):]
	}
	return lines, nil
}

// raftLogger passes raft's errors to slog and drops its other messages, as Group logs changes of
// its role itself.
type raftLogger struct{}

func (raftLogger) Debug(...any)                     {}
func (raftLogger) Debugf(string, ...any)            {}
func (raftLogger) Info(...any)                      {}
func (raftLogger) Infof(string, ...any)             {}
func (raftLogger) Warning(v ...any)                 {}
func (raftLogger) Warningf(format string, v ...any) {}
func (raftLogger) Error(v ...any)                   { slog.Error("raft", "text", fmt.Sprint(v...)) }
func (raftLogger) Errorf(format string, v ...any) {
	slog.Error("raft", "text", fmt.Sprintf(format, v...))
}
func (raftLogger) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (raftLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (raftLogger) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (raftLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
