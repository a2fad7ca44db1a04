package group

import (
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.etcd.io/raft/v3"

	"dunlintray/internal/ledger"
	"dunlintray/internal/wal"
)

// WALKind is the kind of log that a member's folder holds.
const WALKind = "ledger"

const (
	// Tick is the unit of raft's clock: the leader sends a heartbeat every two ticks, and
	// a follower starts an election after ten to twenty without one.
	Tick = 50 * time.Millisecond

	mostCalls     = 4096                   // pending calls to the loop
	mostWaiting   = 8192                   // pending proposals, and pending reads
	mostEnding    = 256                    // sessions whose end is proposed and not committed yet
	expireGap     = 100 * time.Millisecond // between two searches for expired sessions
	handOverWait  = 300 * time.Millisecond // how long a member that stops waits for the next leader
	commitMost    = 60 * time.Second       // the largest latency that the histogram tells apart
	segments      = 16
	segmentLeast  = 16 << 20
	slowestCommit = int64(commitMost / time.Microsecond)
)

var (
	// ErrNoWriter says that this member knows no leader of the group, here called its
	// writer. The call has changed nothing.
	ErrNoWriter = errors.New("the group has no writer now")
	// ErrUnknown says that the command may or may not be committed, now or later. It is
	// safe to retry under the same request number: the group applies it once.
	ErrUnknown = errors.New("it is not known whether it was done")
	// ErrBusy says that a queue is full. The call has changed nothing.
	ErrBusy  = errors.New("too much waits for the group")
	errEnded = errors.New("this member has ended")
)

// NotWriter is the error of a member that is not the writer. It has the address of the
// member that is. The call has changed nothing.
type NotWriter struct{ Address string }

func (e *NotWriter) Error() string { return "the writer is at " + e.Address }

// Group is a running member. The goroutine of Run owns the raft core and the ledger; the
// exported methods are safe for concurrent use and hand their work to it.
type Group struct {
	c      Config
	log    *wal.Log
	calls  chan func()   // work for the loop
	ended  chan struct{} // closed when Run has returned
	random uint64        // start of the keys of this process's proposals
	began  time.Time

	joinClient *http.Client

	// Owned by the loop:
	core      *core
	book      *book
	takesPart bool                                // enough others have welcomed this member
	spoke     map[uint64]time.Time                // when each member was heard last
	changing  uint64                              // the key of a change of the members that is under way
	meet      func(number uint64, address string) // starts to send messages to a member
	writes    bool                                // it is the leader, and has applied all entries of earlier terms
	from      uint64                              // index of the first entry of its own term; once it is applied, writes is set
	lost      chan struct{}                       // closed when this member is no longer the leader
	heard     time.Time                           // when the leader was heard last
	state     *ledger.State
	leases    ledger.Leases
	role      raft.StateType
	writer    uint64
	sequence  uint64
	waiting   map[uint64]*waiter // pending proposals by key
	reads     map[uint64]*read   // pending reads by key
	ending    map[uint64]bool    // sessions whose end has been proposed
	peers     map[uint64]*peer
	news      chan struct{} // closed and replaced when an entry is applied
	commits   *hdrhistogram.Histogram
	elections int64
	handed    int64
	won       int64
	refused   int64
}

// Open restores a member from its folder, or creates one in an empty folder. Run starts it.
func Open(c Config, fs wal.FS) (*Group, error) {
	log, r, err := open(c, fs)
	if err != nil {
		return nil, err
	}
	g := &Group{c: c, log: log, book: newBook(c.founders()), joinClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, calls: make(chan func(), mostCalls), ended: make(chan struct{}), began: time.Now(), state: ledger.New(c.Limits),
		spoke: map[uint64]time.Time{}, waiting: map[uint64]*waiter{}, reads: map[uint64]*read{}, ending: map[uint64]bool{}, peers: map[uint64]*peer{}, news: make(chan struct{}), lost: make(chan struct{}),
		commits: hdrhistogram.New(1, slowestCommit, 3)}
	process := name()
	g.random = rand.Uint64()
	if g.core, err = newCore(identity{c.Name, c.Self}, process, slices.Sorted(maps.Keys(c.Members)), c.Join, log, r, machine{g.state, c.List, g.book}); err != nil {
		log.Close()
		return nil, err
	}
	return g, nil
}
