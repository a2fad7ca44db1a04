// Package group is a group of list services that agree on a ledger by raft
// (go.etcd.io/raft/v3). The algorithm is the library's; here are the storage on
// internal/wal, the state machine, the transport over HTTP, and the calls. core is
// without clocks and sockets; Group runs it.
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

// Disk is where a member keeps what has to last; *wal.Log is one.
type DurableLog interface {
	Append(records [][]byte) (first uint64, err error)
	SnapshotDue() bool
	LastSequence() uint64
	Snapshot(sequence uint64, records func(emit func(record []byte) error) error) error
}

// Machine is what the members agree on the state of.
type StateMachine interface {
	Apply(index uint64, data []byte) any
	Add(number uint64, at Member)
	Remove(number uint64)
	Save() [][]byte
	Restore(lines [][]byte) error
}

// Of raft. A tick is Tick long; an election begins after electionTicks to twice that
// without a word of the writer.
const (
	electionTicks       = 10
	heartbeatTicks      = 2
	maxMessageBytes     = 256 << 10 // bytes of entries in one
	maxInflightMessages = 64        // messages to one member that are not answered yet
	maxInflightBytes    = 4 << 20   // bytes of them
	maxUncommittedBytes = 8 << 20   // bytes of entries that wait to be agreed on; more are refused
	retainedEntries     = 5000      // behind a snapshot, for members that lag
	syncBatchBytes      = 512 << 10 // bytes of records that one sync is for, about
)

// Kinds of records on disk, by their first byte.
const (
	kindIdentity    = 'i' // group name and member, once
	kindSnapshot    = 's' // raftpb.SnapshotMetadata; what stands before it is over
	kindStateLine   = 'm' // a line of the machine as of that snapshot
	kindEntry       = 'e' // raftpb.Entry; what stands at its index and behind it is over
	kindHardState   = 'h' // raftpb.HardState
	kindIncarnation = 'l' // life: of this member, or the highest that another has told
	kindTermination = 'x' // why this member must not speak any more
)

// life counts the starts of a member's process.
type incarnation struct {
	Member  uint64 `json:"member"`
	Number  uint64 `json:"life"`
	Process string `json:"process"` // a random name: one process sends its join request more than once
}

// identity is what a member is, for good.
type identity struct {
	Group  string
	Member uint64
}

func (i identity) String() string { return fmt.Sprintf("member %d of group %q", i.Member, i.Group) }

// recovered is what was found on disk.
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

// record takes one in, in the order in which they were written.
func (r *recoveredState) addRecord(text []byte) error {
	if len(text) == 0 {
		return errors.New("an empty record")
	}
	r.nonEmpty = true
	body := append([]byte(nil), text[1:]...)
	switch text[0] {
	case kindIdentity:
		r.identity = string(body)
	case kindSnapshot:
		r.snapshotMeta, r.snapshotLines, r.entries = &raftpb.SnapshotMetadata{}, nil, nil
		return proto.Unmarshal(body, r.snapshotMeta)
	case kindStateLine:
		r.snapshotLines = append(r.snapshotLines, body)
	case kindEntry:
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(body, e); err != nil {
			return err
		}
		if len(r.entries) > 0 {
			first := r.entries[0].GetIndex()
			if e.GetIndex() < first || e.GetIndex() > first+uint64(len(r.entries)) {
				return fmt.Errorf("entry %d among those from %d to %d", e.GetIndex(), first, first+uint64(len(r.entries))-1)
			}
			r.entries = r.entries[:e.GetIndex()-first]
		}
		r.entries = append(r.entries, e)
	case kindHardState:
		r.hardState = &raftpb.HardState{}
		return proto.Unmarshal(body, r.hardState)
	case kindIncarnation:
		var l incarnation
		if err := json.Unmarshal(body, &l); err != nil {
			return err
		}
		if r.incarnations == nil {
			r.incarnations = map[uint64]incarnation{}
		}
		if l.Number >= r.incarnations[l.Member].Number {
			r.incarnations[l.Member] = l
		}
	case kindTermination:
		r.termination = string(body)
	default:
		return fmt.Errorf("a record of kind %q", text[0])
	}
	return nil
}

// core is one member: messages, ticks and proposals in; messages, what was agreed on
// and what may be read out. Nothing leaves it that the disk does not hold.
type core struct {
	raw          *raft.RawNode
	identity     identity
	storage      *raft.MemoryStorage
	log          DurableLog
	stateMachine StateMachine
	confState    *raftpb.ConfState
	applied      uint64
	incarnations map[uint64]incarnation // the last of each member that has told its own, and this one's
	err          error
}

// output is what a step leads to.
type output struct {
	send              []*raftpb.Message
	applied           []appliedEntry
	reads             []raft.ReadState
	installedSnapshot bool // a snapshot of another member's was taken in
}

// applied is an entry that was agreed on, and what the machine made of it.
type appliedEntry struct {
	index        uint64
	key          uint64 // of its proposal
	result       any
	isConfChange bool // the members
}

// Errors of a folder that must not be used as it is.
var (
	ErrTerminated     = errors.New("group: this member must not speak any more")
	errNoInitialState = errors.New("group: the folder has no beginning")
)

// newCore goes on from what was found on disk, or begins: all members of a new group
// begin with the same voters, as if they had come by a snapshot. One that joins begins
// with nothing, and gets all of it from the writer.
func newCore(who identity, process string, voters []uint64, joins bool, disk DurableLog, r *recoveredState, machine StateMachine) (*core, error) {
	c := &core{identity: who, storage: raft.NewMemoryStorage(), log: disk, stateMachine: machine, incarnations: map[uint64]incarnation{}}
	switch {
	case r.termination != "":
		return nil, fmt.Errorf("%w: %s", ErrTerminated, r.termination)
	case r.nonEmpty && r.identity != who.String():
		return nil, fmt.Errorf("group: the folder is of %s, not of %s", r.identity, who)
	case r.snapshotMeta == nil && len(r.entries) > 0 || r.snapshotMeta != nil && r.hardState == nil:
		return nil, errNoInitialState
	}
	maps.Copy(c.incarnations, r.incarnations)
	// It lasts before anything is said in it.
	c.incarnations[who.Member] = incarnation{who.Member, c.incarnations[who.Member].Number + 1, process}
	records := [][]byte{c.incarnations[who.Member].encode()}
	if !r.nonEmpty {
		records = append(records, tagged(kindIdentity, []byte(who.String())))
		if !joins {
			one := uint64(1)
			r.snapshotMeta = &raftpb.SnapshotMetadata{Index: &one, Term: &one, ConfState: &raftpb.ConfState{Voters: voters}}
			r.hardState = &raftpb.HardState{Term: &one, Commit: &one}
			r.snapshotLines = machine.Save()
			records = append(append(records, snapshotRecords(r.snapshotMeta, r.snapshotLines)...), tagged(kindHardState, mustMarshal(r.hardState)))
		}
	}
	if _, err := disk.Append(records); err != nil {
		return nil, err
	}
	if r.snapshotMeta != nil {
		if err := c.storage.ApplySnapshot(&raftpb.Snapshot{Metadata: r.snapshotMeta, Data: joinLines(r.snapshotLines)}); err != nil {
			return nil, err
		}
		if err := machine.Restore(r.snapshotLines); err != nil {
			return nil, err
		}
	}
	if r.hardState != nil { // one that joins may have heard of a term before it had anything
		if err := c.storage.SetHardState(r.hardState); err != nil {
			return nil, err
		}
	}
	if err := c.storage.Append(r.entries); err != nil {
		return nil, err
	}
	c.confState, c.applied = r.snapshotMeta.GetConfState(), r.snapshotMeta.GetIndex()
	var err error
	c.raw, err = raft.NewRawNode(&raft.Config{ID: who.Member, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: c.storage, Applied: c.applied,
		MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: maxInflightMessages, MaxInflightBytes: maxInflightBytes, MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, Logger: raftLogger{}})
	return c, err
}

func (l incarnation) encode() []byte {
	text, err := json.Marshal(l)
	if err != nil {
		panic(err) // of plain fields
	}
	return tagged(kindIncarnation, text)
}

// remember makes last that another member has begun a life.
func (c *core) saveIncarnation(l incarnation) error {
	if c.incarnations[l.Member] == l {
		return nil
	}
	if _, err := c.log.Append([][]byte{l.encode()}); err != nil {
		c.err = fmt.Errorf("group: the disk: %w", err)
		return c.err
	}
	c.incarnations[l.Member] = l
	return nil
}

// end makes last that this member must not speak any more, and ends it.
func (c *core) terminate(why string) {
	if _, err := c.log.Append([][]byte{tagged(kindTermination, []byte(why))}); err != nil {
		c.err = fmt.Errorf("group: the disk: %w", err)
		return
	}
	c.err = fmt.Errorf("%w: %s", ErrTerminated, why)
}

// last is the last entry that this member has.
func (c *core) lastIndex() uint64 {
	last, err := c.storage.LastIndex()
	if err != nil {
		panic(err) // of memory
	}
	return last
}

// head is what a snapshot on disk begins with.
func (c *core) headRecords() [][]byte {
	records := [][]byte{tagged(kindIdentity, []byte(c.identity.String()))}
	for _, n := range slices.Sorted(maps.Keys(c.incarnations)) {
		records = append(records, c.incarnations[n].encode())
	}
	return records
}

// ready carries out what the algorithm wants: what has to last first, then all else.
// A disk that fails ends the member: it must not say what it may not remember.
func (c *core) processReady() (out output, err error) {
	if c.err != nil {
		return out, c.err
	}
	for c.raw.HasReady() {
		rd := c.raw.Ready()
		if err := c.persist(rd); err != nil {
			c.err = fmt.Errorf("group: the disk: %w", err)
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

// keep makes what is new last, and then known to the algorithm's storage.
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
	whole := !raft.IsEmptySnap(rd.Snapshot)
	if whole {
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
	if whole {
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

// lasting is the state that has to last with a step, or nil.
//
// Danger: what is agreed on need not be known again after a restart, but for changes of
// the members. One that has forgotten several of them counts those that were taken out,
// which say no more: it waits for their votes for ever, or finds a majority among them
// that has nothing in common with that of the others.
func (c *core) hardStateToPersist(rd raft.Ready) (*raftpb.HardState, error) {
	changes := slices.ContainsFunc(rd.CommittedEntries, func(e *raftpb.Entry) bool {
		return e.GetType() == raftpb.EntryType_EntryConfChange
	})
	given := rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState)
	switch {
	case given && (changes || rd.MustSync):
		return rd.HardState, nil
	case changes: // they were agreed on in a step before
		state, _, err := c.storage.InitialState()
		return state, err
	}
	return nil, nil
}

// install puts a snapshot that another member has sent in place of all that is on disk:
// half of one is none.
func (c *core) installSnapshot(rd raft.Ready, lines [][]byte) error {
	state, _, err := c.storage.InitialState()
	if err != nil {
		return err
	}
	if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
		state = rd.HardState
	}
	// Its place in the log is that of a record of its own.
	sequence, err := c.log.Append([][]byte{tagged(kindHardState, mustMarshal(state))})
	if err != nil {
		return err
	}
	return c.log.Snapshot(sequence, func(emit func([]byte) error) error {
		return emitAll(emit, c.headRecords(), snapshotRecords(rd.Snapshot.GetMetadata(), lines), [][]byte{tagged(kindHardState, mustMarshal(state))})
	})
}

func emitAll(emit func([]byte) error, parts ...[][]byte) error {
	for _, records := range parts {
		for _, r := range records {
			if err := emit(r); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *core) applyEntry(e *raftpb.Entry, out *output) error {
	c.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryType_EntryNormal:
	case raftpb.EntryType_EntryConfChange:
		return c.applyConfChange(e, out)
	default:
		return fmt.Errorf("group: entry %d changes several members at once, which this program does not do", e.GetIndex())
	}
	if len(e.GetData()) > 0 { // a new writer's first entry has none
		a := appliedEntry{index: e.GetIndex(), result: c.stateMachine.Apply(e.GetIndex(), e.GetData())}
		if len(e.GetData()) >= keyBytes {
			a.key = binary.BigEndian.Uint64(e.GetData())
		}
		out.applied = append(out.applied, a)
	}
	return nil
}

// applyChange changes the members.
func (c *core) applyConfChange(e *raftpb.Entry, out *output) error {
	cc := &raftpb.ConfChange{}
	if err := proto.Unmarshal(e.GetData(), cc); err != nil {
		return fmt.Errorf("group: entry %d: %w", e.GetIndex(), err)
	}
	with, err := applyMemberChange(c.stateMachine, e.GetIndex(), cc)
	if err != nil {
		return err
	}
	c.confState = c.raw.ApplyConfChange(cc)
	out.applied = append(out.applied, appliedEntry{index: e.GetIndex(), key: with.Key, isConfChange: true})
	// What is sent as a snapshot from now on has to name the members as they are, or one
	// that joins takes it for another's.
	if _, err := c.storage.CreateSnapshot(c.applied, c.confState, joinLines(c.stateMachine.Save())); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		return err
	}
	return nil
}

// changeMachine takes a change of the members into the machine.
func applyMemberChange(m StateMachine, index uint64, cc *raftpb.ConfChange) (with memberChange, err error) {
	if err := json.Unmarshal(cc.GetContext(), &with); err != nil {
		return with, fmt.Errorf("group: entry %d: %w", index, err)
	}
	switch cc.GetType() {
	case raftpb.ConfChangeType_ConfChangeAddLearnerNode:
		m.Add(cc.GetNodeId(), with.Member)
	case raftpb.ConfChangeType_ConfChangeRemoveNode:
		m.Remove(cc.GetNodeId())
	}
	return with, nil
}

// compact puts a snapshot in place of the log when it has grown. One that fails is
// tried again when more has been written.
func (c *core) compact() error {
	if !c.log.SnapshotDue() {
		return nil
	}
	lines := c.stateMachine.Save()
	snap, err := c.storage.CreateSnapshot(c.applied, c.confState, joinLines(lines))
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
		return emitAll(emit, c.headRecords(), snapshotRecords(snap.GetMetadata(), lines), tail)
	})
	if err != nil {
		slog.Error("group: no snapshot was kept", "error", err)
		return nil
	}
	if first, err := c.storage.FirstIndex(); err == nil && c.applied > retainedEntries && c.applied-retainedEntries > first {
		return c.storage.Compact(c.applied - retainedEntries)
	}
	return nil
}

func tagged(kind byte, body []byte) []byte { return append([]byte{kind}, body...) }

func mustMarshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err) // of messages that were made here, or read
	}
	return b
}

func snapshotRecords(meta *raftpb.SnapshotMetadata, lines [][]byte) [][]byte {
	records := [][]byte{tagged(kindSnapshot, mustMarshal(meta))}
	for _, l := range lines {
		records = append(records, tagged(kindStateLine, l))
	}
	return records
}

// join and split make one text of lines, and lines of it.
func joinLines(lines [][]byte) (text []byte) {
	for _, l := range lines {
		text = append(binary.AppendUvarint(text, uint64(len(l))), l...)
	}
	return text
}

func splitLines(text []byte) (lines [][]byte, err error) {
	for len(text) > 0 {
		n, used := binary.Uvarint(text)
		if used <= 0 || n > uint64(len(text)-used) {
			return nil, errors.New("group: a text of lines is cut short")
		}
		lines = append(lines, text[used:used+int(n)])
		text = text[used+int(n):]
	}
	return lines, nil
}

// quiet is the algorithm's log: what matters of it is told by Group.
type raftLogger struct{}

func (raftLogger) Debug(...any)                {}
func (raftLogger) Debugf(string, ...any)       {}
func (raftLogger) Info(...any)                 {}
func (raftLogger) Infof(string, ...any)        {}
func (raftLogger) Warning(v ...any)            {}
func (raftLogger) Warningf(f string, v ...any) {}
func (raftLogger) Error(v ...any)              { slog.Error("raft", "text", fmt.Sprint(v...)) }
func (raftLogger) Errorf(f string, v ...any)   { slog.Error("raft", "text", fmt.Sprintf(f, v...)) }
func (raftLogger) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (raftLogger) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (raftLogger) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (raftLogger) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
