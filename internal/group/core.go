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
type Disk interface {
	Append(records [][]byte) (first uint64, err error)
	Due() bool
	Last() uint64
	Snapshot(sequence uint64, records func(emit func(record []byte) error) error) error
}

// Machine is what the members agree on the state of.
type Machine interface {
	Apply(index uint64, data []byte) any
	Add(number uint64, at Member)
	Remove(number uint64)
	Save() [][]byte
	Restore(lines [][]byte) error
}

// Of raft. A tick is Tick long; an election begins after electionTicks to twice that
// without a word of the writer.
const (
	electionTicks   = 10
	heartbeatTicks  = 2
	mostMessage     = 256 << 10 // bytes of entries in one
	mostInflight    = 64        // messages to one member that are not answered yet
	mostInflightMem = 4 << 20   // bytes of them
	mostUncommitted = 8 << 20   // bytes of entries that wait to be agreed on; more are refused
	keptEntries     = 5000      // behind a snapshot, for members that lag
	mostRecords     = 512 << 10 // bytes of records that one sync is for, about
)

// Kinds of records on disk, by their first byte.
const (
	ofIdentity = 'i' // group name and member, once
	ofSnapshot = 's' // raftpb.SnapshotMetadata; what stands before it is over
	ofMachine  = 'm' // a line of the machine as of that snapshot
	ofEntry    = 'e' // raftpb.Entry; what stands at its index and behind it is over
	ofState    = 'h' // raftpb.HardState
	ofLife     = 'l' // life: of this member, or the highest that another has told
	ofEnd      = 'x' // why this member must not speak any more
)

// life counts the starts of a member's process.
type life struct {
	Member  uint64 `json:"member"`
	Life    uint64 `json:"life"`
	Process string `json:"process"` // a random name: one process sends its join request more than once
}

// identity is what a member is, for good.
type identity struct {
	Group string
	Self  uint64
}

func (i identity) String() string { return fmt.Sprintf("member %d of group %q", i.Self, i.Group) }

// recovered is what was found on disk.
type recovered struct {
	any      bool
	identity string
	meta     *raftpb.SnapshotMetadata
	lines    [][]byte
	entries  []*raftpb.Entry
	state    *raftpb.HardState
	lives    map[uint64]life
	end      string
}

// record takes one in, in the order in which they were written.
func (r *recovered) record(text []byte) error {
	if len(text) == 0 {
		return errors.New("an empty record")
	}
	r.any = true
	body := append([]byte(nil), text[1:]...)
	switch text[0] {
	case ofIdentity:
		r.identity = string(body)
	case ofSnapshot:
		r.meta, r.lines, r.entries = &raftpb.SnapshotMetadata{}, nil, nil
		return proto.Unmarshal(body, r.meta)
	case ofMachine:
		r.lines = append(r.lines, body)
	case ofEntry:
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
	case ofState:
		r.state = &raftpb.HardState{}
		return proto.Unmarshal(body, r.state)
	case ofLife:
		var l life
		if err := json.Unmarshal(body, &l); err != nil {
			return err
		}
		if r.lives == nil {
			r.lives = map[uint64]life{}
		}
		if l.Life >= r.lives[l.Member].Life {
			r.lives[l.Member] = l
		}
	case ofEnd:
		r.end = string(body)
	default:
		return fmt.Errorf("a record of kind %q", text[0])
	}
	return nil
}

// core is one member: messages, ticks and proposals in; messages, what was agreed on
// and what may be read out. Nothing leaves it that the disk does not hold.
type core struct {
	raw     *raft.RawNode
	who     identity
	mem     *raft.MemoryStorage
	disk    Disk
	machine Machine
	conf    *raftpb.ConfState
	applied uint64
	lives   map[uint64]life // the last of each member that has told its own, and this one's
	failed  error
}

// output is what a step leads to.
type output struct {
	send    []*raftpb.Message
	applied []applied
	reads   []raft.ReadState
	whole   bool // a snapshot of another member's was taken in
}

// applied is an entry that was agreed on, and what the machine made of it.
type applied struct {
	index   uint64
	key     uint64 // of its proposal
	result  any
	changes bool // the members
}

// Errors of a folder that must not be used as it is.
var (
	ErrEnded = errors.New("group: this member must not speak any more")
	errEmpty = errors.New("group: the folder has no beginning")
)

// newCore goes on from what was found on disk, or begins: all members of a new group
// begin with the same voters, as if they had come by a snapshot. One that joins begins
// with nothing, and gets all of it from the writer.
func newCore(who identity, process string, voters []uint64, joins bool, disk Disk, r *recovered, machine Machine) (*core, error) {
	c := &core{who: who, mem: raft.NewMemoryStorage(), disk: disk, machine: machine, lives: map[uint64]life{}}
	switch {
	case r.end != "":
		return nil, fmt.Errorf("%w: %s", ErrEnded, r.end)
	case r.any && r.identity != who.String():
		return nil, fmt.Errorf("group: the folder is of %s, not of %s", r.identity, who)
	case r.meta == nil && len(r.entries) > 0 || r.meta != nil && r.state == nil:
		return nil, errEmpty
	}
	maps.Copy(c.lives, r.lives)
	// It lasts before anything is said in it.
	c.lives[who.Self] = life{who.Self, c.lives[who.Self].Life + 1, process}
	records := [][]byte{c.lives[who.Self].record()}
	if !r.any {
		records = append(records, tagged(ofIdentity, []byte(who.String())))
		if !joins {
			one := uint64(1)
			r.meta = &raftpb.SnapshotMetadata{Index: &one, Term: &one, ConfState: &raftpb.ConfState{Voters: voters}}
			r.state = &raftpb.HardState{Term: &one, Commit: &one}
			r.lines = machine.Save()
			records = append(append(records, snapshotRecords(r.meta, r.lines)...), tagged(ofState, marshal(r.state)))
		}
	}
	if _, err := disk.Append(records); err != nil {
		return nil, err
	}
	if r.meta != nil {
		if err := c.mem.ApplySnapshot(&raftpb.Snapshot{Metadata: r.meta, Data: join(r.lines)}); err != nil {
			return nil, err
		}
		if err := machine.Restore(r.lines); err != nil {
			return nil, err
		}
	}
	if r.state != nil { // one that joins may have heard of a term before it had anything
		if err := c.mem.SetHardState(r.state); err != nil {
			return nil, err
		}
	}
	if err := c.mem.Append(r.entries); err != nil {
		return nil, err
	}
	c.conf, c.applied = r.meta.GetConfState(), r.meta.GetIndex()
	var err error
	c.raw, err = raft.NewRawNode(&raft.Config{ID: who.Self, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: c.mem, Applied: c.applied,
		MaxSizePerMsg: mostMessage, MaxInflightMsgs: mostInflight, MaxInflightBytes: mostInflightMem, MaxUncommittedEntriesSize: mostUncommitted,
		CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, Logger: quiet{}})
	return c, err
}

func (l life) record() []byte {
	text, err := json.Marshal(l)
	if err != nil {
		panic(err) // of plain fields
	}
	return tagged(ofLife, text)
}

// remember makes last that another member has begun a life.
func (c *core) remember(l life) error {
	if c.lives[l.Member] == l {
		return nil
	}
	if _, err := c.disk.Append([][]byte{l.record()}); err != nil {
		c.failed = fmt.Errorf("group: the disk: %w", err)
		return c.failed
	}
	c.lives[l.Member] = l
	return nil
}

// end makes last that this member must not speak any more, and ends it.
func (c *core) end(why string) {
	if _, err := c.disk.Append([][]byte{tagged(ofEnd, []byte(why))}); err != nil {
		c.failed = fmt.Errorf("group: the disk: %w", err)
		return
	}
	c.failed = fmt.Errorf("%w: %s", ErrEnded, why)
}

// last is the last entry that this member has.
func (c *core) last() uint64 {
	last, err := c.mem.LastIndex()
	if err != nil {
		panic(err) // of memory
	}
	return last
}

// head is what a snapshot on disk begins with.
func (c *core) head() [][]byte {
	records := [][]byte{tagged(ofIdentity, []byte(c.who.String()))}
	for _, n := range slices.Sorted(maps.Keys(c.lives)) {
		records = append(records, c.lives[n].record())
	}
	return records
}

// ready carries out what the algorithm wants: what has to last first, then all else.
// A disk that fails ends the member: it must not say what it may not remember.
func (c *core) ready() (out output, err error) {
	if c.failed != nil {
		return out, c.failed
	}
	for c.raw.HasReady() {
		rd := c.raw.Ready()
		if err := c.keep(rd); err != nil {
			c.failed = fmt.Errorf("group: the disk: %w", err)
			return output{}, c.failed
		}
		out.whole = out.whole || !raft.IsEmptySnap(rd.Snapshot)
		out.send = append(out.send, rd.Messages...)
		out.reads = append(out.reads, rd.ReadStates...)
		for _, e := range rd.CommittedEntries {
			if err := c.apply(e, &out); err != nil {
				c.failed = err
				return output{}, err
			}
		}
		c.raw.Advance(rd)
	}
	return out, c.compact()
}

// keep makes what is new last, and then known to the algorithm's storage.
func (c *core) keep(rd raft.Ready) error {
	var batch [][]byte
	size := 0
	flush := func() error {
		if len(batch) == 0 {
			return nil
		}
		_, err := c.disk.Append(batch)
		batch, size = nil, 0
		return err
	}
	add := func(r []byte) error {
		if size += len(r); size > mostRecords {
			if err := flush(); err != nil {
				return err
			}
		}
		batch = append(batch, r)
		return nil
	}
	whole := !raft.IsEmptySnap(rd.Snapshot)
	if whole {
		lines, err := split(rd.Snapshot.GetData())
		if err != nil {
			return err
		}
		if err := c.machine.Restore(lines); err != nil {
			return err
		}
		if err := c.install(rd, lines); err != nil {
			return err
		}
	}
	for _, e := range rd.Entries {
		if err := add(tagged(ofEntry, marshal(e))); err != nil {
			return err
		}
	}
	state, err := c.lasting(rd)
	if err != nil {
		return err
	}
	if state != nil {
		batch = append(batch, tagged(ofState, marshal(state)))
	}
	if err := flush(); err != nil {
		return err
	}
	if whole {
		if err := c.mem.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
		c.applied, c.conf = rd.Snapshot.GetMetadata().GetIndex(), rd.Snapshot.GetMetadata().GetConfState()
	}
	if err := c.mem.Append(rd.Entries); err != nil {
		return err
	}
	if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
		return c.mem.SetHardState(rd.HardState)
	}
	return nil
}

// lasting is the state that has to last with a step, or nil.
//
// Danger: what is agreed on need not be known again after a restart, but for changes of
// the members. One that has forgotten several of them counts those that were taken out,
// which say no more: it waits for their votes for ever, or finds a majority among them
// that has nothing in common with that of the others.
func (c *core) lasting(rd raft.Ready) (*raftpb.HardState, error) {
	changes := slices.ContainsFunc(rd.CommittedEntries, func(e *raftpb.Entry) bool {
		return e.GetType() == raftpb.EntryType_EntryConfChange
	})
	given := rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState)
	switch {
	case given && (changes || rd.MustSync):
		return rd.HardState, nil
	case changes: // they were agreed on in a step before
		state, _, err := c.mem.InitialState()
		return state, err
	}
	return nil, nil
}

// install puts a snapshot that another member has sent in place of all that is on disk:
// half of one is none.
func (c *core) install(rd raft.Ready, lines [][]byte) error {
	state, _, err := c.mem.InitialState()
	if err != nil {
		return err
	}
	if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
		state = rd.HardState
	}
	// Its place in the log is that of a record of its own.
	sequence, err := c.disk.Append([][]byte{tagged(ofState, marshal(state))})
	if err != nil {
		return err
	}
	return c.disk.Snapshot(sequence, func(emit func([]byte) error) error {
		return emitAll(emit, c.head(), snapshotRecords(rd.Snapshot.GetMetadata(), lines), [][]byte{tagged(ofState, marshal(state))})
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

func (c *core) apply(e *raftpb.Entry, out *output) error {
	c.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryType_EntryNormal:
	case raftpb.EntryType_EntryConfChange:
		return c.applyChange(e, out)
	default:
		return fmt.Errorf("group: entry %d changes several members at once, which this program does not do", e.GetIndex())
	}
	if len(e.GetData()) > 0 { // a new writer's first entry has none
		a := applied{index: e.GetIndex(), result: c.machine.Apply(e.GetIndex(), e.GetData())}
		if len(e.GetData()) >= keyBytes {
			a.key = binary.BigEndian.Uint64(e.GetData())
		}
		out.applied = append(out.applied, a)
	}
	return nil
}

// applyChange changes the members.
func (c *core) applyChange(e *raftpb.Entry, out *output) error {
	cc := &raftpb.ConfChange{}
	if err := proto.Unmarshal(e.GetData(), cc); err != nil {
		return fmt.Errorf("group: entry %d: %w", e.GetIndex(), err)
	}
	with, err := changeMachine(c.machine, e.GetIndex(), cc)
	if err != nil {
		return err
	}
	c.conf = c.raw.ApplyConfChange(cc)
	out.applied = append(out.applied, applied{index: e.GetIndex(), key: with.Key, changes: true})
	// What is sent as a snapshot from now on has to name the members as they are, or one
	// that joins takes it for another's.
	if _, err := c.mem.CreateSnapshot(c.applied, c.conf, join(c.machine.Save())); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		return err
	}
	return nil
}

// changeMachine takes a change of the members into the machine.
func changeMachine(m Machine, index uint64, cc *raftpb.ConfChange) (with change, err error) {
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
	if !c.disk.Due() {
		return nil
	}
	lines := c.machine.Save()
	snap, err := c.mem.CreateSnapshot(c.applied, c.conf, join(lines))
	if errors.Is(err, raft.ErrSnapOutOfDate) {
		return nil
	}
	if err != nil {
		return err
	}
	last, err := c.mem.LastIndex()
	if err != nil {
		return err
	}
	entries, err := c.mem.Entries(c.applied+1, last+1, ^uint64(0))
	if err != nil && !errors.Is(err, raft.ErrCompacted) && !errors.Is(err, raft.ErrUnavailable) {
		return err
	}
	state, _, err := c.mem.InitialState()
	if err != nil {
		return err
	}
	err = c.disk.Snapshot(c.disk.Last(), func(emit func([]byte) error) error {
		tail := [][]byte{tagged(ofState, marshal(state))}
		for _, e := range entries {
			tail = append(tail, tagged(ofEntry, marshal(e)))
		}
		return emitAll(emit, c.head(), snapshotRecords(snap.GetMetadata(), lines), tail)
	})
	if err != nil {
		slog.Error("group: no snapshot was kept", "error", err)
		return nil
	}
	if first, err := c.mem.FirstIndex(); err == nil && c.applied > keptEntries && c.applied-keptEntries > first {
		return c.mem.Compact(c.applied - keptEntries)
	}
	return nil
}

func tagged(kind byte, body []byte) []byte { return append([]byte{kind}, body...) }

func marshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err) // of messages that were made here, or read
	}
	return b
}

func snapshotRecords(meta *raftpb.SnapshotMetadata, lines [][]byte) [][]byte {
	records := [][]byte{tagged(ofSnapshot, marshal(meta))}
	for _, l := range lines {
		records = append(records, tagged(ofMachine, l))
	}
	return records
}

// join and split make one text of lines, and lines of it.
func join(lines [][]byte) (text []byte) {
	for _, l := range lines {
		text = append(binary.AppendUvarint(text, uint64(len(l))), l...)
	}
	return text
}

func split(text []byte) (lines [][]byte, err error) {
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
type quiet struct{}

func (quiet) Debug(...any)                {}
func (quiet) Debugf(string, ...any)       {}
func (quiet) Info(...any)                 {}
func (quiet) Infof(string, ...any)        {}
func (quiet) Warning(v ...any)            {}
func (quiet) Warningf(f string, v ...any) {}
func (quiet) Error(v ...any)              { slog.Error("raft", "text", fmt.Sprint(v...)) }
func (quiet) Errorf(f string, v ...any)   { slog.Error("raft", "text", fmt.Sprintf(f, v...)) }
func (quiet) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (quiet) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
