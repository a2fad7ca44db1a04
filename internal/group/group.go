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

	maxPendingCalls       = 4096                   // pending calls to the loop
	maxPendingProposals   = 8192                   // pending proposals, and pending reads
	maxExpiringSessions   = 256                    // sessions whose end is proposed and not committed yet
	expireInterval        = 100 * time.Millisecond // between two searches for expired sessions
	leaderTransferTimeout = 300 * time.Millisecond // how long a member that stops waits for the next leader
	maxCommitLatency      = 60 * time.Second       // the largest latency that the histogram tells apart
	segmentsPerLog        = 16
	minSegmentBytes       = 16 << 20
	maxCommitMicroseconds = int64(maxCommitLatency / time.Microsecond)
)

var (
	// ErrNoLeader says that this member knows no leader of the group. The call has changed
	// nothing.
	ErrNoLeader = errors.New("the group has no writer now")
	// ErrUnknown says that the command may or may not be committed, now or later. It is
	// safe to retry under the same request number: the group applies it once.
	ErrUnknown = errors.New("outcome unknown: the command may or may not be committed")
	// ErrBusy says that a queue is full. The call has changed nothing.
	ErrBusy    = errors.New("too many pending calls to the group")
	errStopped = errors.New("this member has stopped")
)

// NotLeaderError is the error of a member that is not the leader. Address is that of the leader.
// The call has changed nothing.
type NotLeaderError struct{ Address string }

func (e *NotLeaderError) Error() string { return "the writer is at " + e.Address }

// Group is a running member. The goroutine of Run owns the raft core and the ledger; the
// exported methods are safe for concurrent use and hand their work to it.
type Group struct {
	config   Config
	log      *wal.Log
	calls    chan func()   // work for the loop
	stopped  chan struct{} // closed when Run has returned
	keyBase  uint64        // start of the keys of this process's proposals
	openedAt time.Time

	joinClient *http.Client

	// Owned by the loop:
	core              *core
	members           *memberTable
	participating     bool                                // enough others have welcomed this member
	shortLogs         map[uint64]shortLog                 // by member; told by join requests that are not decided yet
	lastReceived      map[uint64]time.Time                // time of the last message by member
	pendingChange     uint64                              // key of the membership change in progress; 0: none
	startPeer         func(number uint64, address string) // starts to send messages to a member
	leaderReady       bool                                // it is the leader, and has applied all entries of earlier terms
	termStart         uint64                              // index of the first entry of its own term; leaderReady is set once it is applied
	leadershipLost    chan struct{}                       // closed when this member is no longer the leader
	leaderSeen        time.Time                           // time of the leader's last message
	state             *ledger.State
	leases            ledger.Leases
	role              raft.StateType
	leader            uint64
	keySequence       uint64
	proposals         map[uint64]*proposal    // pending proposals by key
	reads             map[uint64]*pendingRead // pending reads by key
	expiring          map[uint64]bool         // sessions whose end has been proposed
	peers             map[uint64]*peer
	entryApplied      chan struct{} // closed and replaced when an entry is applied
	commitLatency     *hdrhistogram.Histogram
	elections         int64
	transfersReceived int64
	electionsWon      int64
	proposalsRefused  int64
}

// Open restores a member from its folder, or creates one in an empty folder. Run starts it.
func Open(config Config, fs wal.FS) (*Group, error) {
	log, recovered, err := openLog(config, fs)
	if err != nil {
		return nil, err
	}
	g := &Group{config: config, log: log, members: newMemberTable(config.initialMembers()), joinClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, calls: make(chan func(), maxPendingCalls), stopped: make(chan struct{}), openedAt: time.Now(), state: ledger.New(config.Limits),
		shortLogs: map[uint64]shortLog{}, lastReceived: map[uint64]time.Time{}, proposals: map[uint64]*proposal{}, reads: map[uint64]*pendingRead{}, expiring: map[uint64]bool{}, peers: map[uint64]*peer{}, entryApplied: make(chan struct{}), leadershipLost: make(chan struct{}),
		commitLatency: hdrhistogram.New(1, maxCommitMicroseconds, 3)}
	process := randomName()
	g.keyBase = rand.Uint64()
	if g.core, err = newCore(identity{config.Name, config.Self}, process, slices.Sorted(maps.Keys(config.Members)), config.Join, log, recovered, replicatedState{g.state, config.List, g.members}); err != nil {
		log.Close()
		return nil, err
	}
	return g, nil
}
