package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"dunlintray/rules"
)

const (
	handoverSocketName    = "handover.sock"
	maxSocketDirBytes     = 80              // a socket's path may have 107 bytes, the name and a process number included
	joinTimeout           = 2 * time.Second // for receiving the state; the platform waits 6 s for a new process
	joinRetryInterval     = 20 * time.Millisecond
	successorTimeout      = 6 * time.Second        // for a successor to serve; the platform waits no longer
	servingNoticeTimeout  = 200 * time.Millisecond // for a Serving message that may still be in transit
	siblingCallTimeout    = 700 * time.Millisecond // below the 1 s that an operator's call waits
	clockToleranceSeconds = 0.05                   // by which the processes' clocks may differ without a wall clock step
)

// snapshot is the state that a process of a gateway hands over to its successor.
type snapshot struct {
	At      float64 // when the state was exported, in seconds on the exporter's clock
	Listing Listing
	Plans   []string // names of the plans that the customer records refer to by number
	Rules   rules.Snapshot
	Outside []string `json:",omitempty"` // backends outside the subset that an operator took offline
}

// handoverMessage is a message between two processes of a gateway, one JSON line each.
type handoverMessage struct {
	Join           bool             `json:",omitempty"`      // new to old: requests the state
	Snapshot       *snapshot        `json:"Books,omitempty"` // old to new: the state
	Serving        bool             `json:",omitempty"`      // new to old: the sender accepts clients
	Leaving        bool             `json:",omitempty"`      // old to new: the sender accepts no more clients
	Override       *overrideMessage `json:"Call,omitempty"`
	OverrideResult *overrideMessage `json:"Said,omitempty"`
	Kept           *resourceShare   `json:",omitempty"` // old to new: all that the sender may hold from now on
	Claims         bool             `json:",omitempty"` // with Join and Snapshot: the sender answers claims
	Claim          *claimMessage    `json:",omitempty"` // the sender is about to accept a request
	ClaimResult    *claimMessage    `json:",omitempty"`
}

// claimMessage is a claim of the id of a request, or the result of one, which has the same Number.
type claimMessage struct {
	Number   int
	Identity uint64
	Granted  bool
}

// overrideMessage is an operator override, or the result of one, which has the same Number.
type overrideMessage struct {
	Number  int
	ID      string
	Offline bool
	Known   bool
}

// siblingConn is the connection to the sibling process.
type siblingConn struct {
	conn    net.Conn
	decoder *json.Decoder
	claims  bool // the sibling answers claims; set before the connection is shared

	mu             sync.Mutex
	encoder        *json.Encoder
	lastCallNumber int
	pendingCalls   map[int]chan bool // overrides and claims without a result, by number

	serving chan struct{} // closed once the sibling has reported that it serves
	closed  chan struct{} // closed once nothing is received on it any more
}

func newSiblingConn(conn net.Conn) *siblingConn {
	return &siblingConn{conn: conn, decoder: json.NewDecoder(conn), encoder: json.NewEncoder(conn), pendingCalls: map[int]chan bool{},
		serving: make(chan struct{}), closed: make(chan struct{})}
}

func (s *siblingConn) send(message handoverMessage) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn.SetWriteDeadline(time.Now().Add(siblingCallTimeout)) // a stalled sibling must not block the sender
	return s.encoder.Encode(message)
}

var errNoSiblingReply = errors.New("the sibling process did not answer")

// forwardOverride sends an operator override and waits for its result.
func (s *siblingConn) forwardOverride(id string, offline bool) (known bool, err error) {
	return s.call(siblingCallTimeout, func(number int) handoverMessage {
		return handoverMessage{Override: &overrideMessage{Number: number, ID: id, Offline: offline}}
	})
}

// call sends the message for a call with the given number and waits for its result. It returns
// errNoSiblingReply if none comes within the timeout or before the connection ends.
func (s *siblingConn) call(timeout time.Duration, message func(number int) handoverMessage) (result bool, err error) {
	done := make(chan bool, 1)
	s.mu.Lock()
	s.lastCallNumber++
	number := s.lastCallNumber
	s.pendingCalls[number] = done
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.pendingCalls, number)
	}()
	if err := s.send(message(number)); err != nil {
		return false, err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case result, ok := <-done:
		if !ok {
			return false, errNoSiblingReply
		}
		return result, nil
	case <-timer.C:
		return false, errNoSiblingReply
	}
}

// complete delivers the result of a call to the one that waits for it.
func (s *siblingConn) complete(number int, result bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if done := s.pendingCalls[number]; done != nil {
		done <- result
		delete(s.pendingCalls, number)
	}
}

// handover makes this process and its predecessor or successor act as one gateway.
type handover struct {
	loop              *Loop
	setSiblingRunning func(bool) // whether a sibling process shares the limits on descriptors and memory
	setSiblingShare   func(resourceShare)
	giveUp            func() (kept resourceShare, changed bool) // gives up what this process does not use
	noPredecessor     chan struct{}                             // closed once this process has no predecessor

	mu                 sync.Mutex
	sibling            *siblingConn // nil: there is no sibling process
	siblingIsSuccessor bool
	successorServing   bool
	closed             bool
	readers            sync.WaitGroup
}

// join requests the state of the predecessor process in dir, and retries for joinTimeout, since
// the predecessor may not have noticed yet that an earlier successor has ended. It returns nil
// without an error if there is no predecessor.
func (h *handover) join(ctx context.Context, dir string) (*snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for {
		state, err := h.requestState(ctx, dir)
		switch {
		case err == nil && state == nil:
			close(h.noPredecessor)
			return nil, nil
		case err == nil:
			return state, nil
		case errors.Is(err, errSilentPredecessor):
			return nil, err
		}
		select {
		case <-time.After(joinRetryInterval):
		case <-ctx.Done():
			close(h.noPredecessor)
			return nil, fmt.Errorf("state of the predecessor process: %w", err)
		}
	}
}

// shortPath returns a path of a directory under which a socket may have its path, of at most
// maxSocketDirBytes. It is valid until release is called. A path that can't be shortened is returned as it is.
func shortPath(dir string) (path string, release func()) {
	if len(dir) <= maxSocketDirBytes {
		return dir, func() {}
	}
	file, err := os.Open(dir)
	if err != nil {
		return dir, func() {}
	}
	return fmt.Sprintf("/proc/self/fd/%d", file.Fd()), func() { file.Close() }
}

var errSilentPredecessor = errors.New("it runs but does not answer")

// requestState requests the predecessor's state once. It returns nil without an error if nobody
// listens on the socket.
func (h *handover) requestState(ctx context.Context, dir string) (*snapshot, error) {
	dir, release := shortPath(dir)
	defer release()
	conn, err := new(net.Dialer).DialContext(ctx, "unix", filepath.Join(dir, handoverSocketName))
	if err != nil {
		return nil, nil // a process that was killed may have left its socket file
	}
	sibling := newSiblingConn(conn)
	var reply handoverMessage
	deadline, _ := ctx.Deadline()
	conn.SetReadDeadline(deadline)
	requestedAt := h.loop.clock.now()
	if err = sibling.send(handoverMessage{Join: true, Claims: true}); err == nil {
		err = sibling.decoder.Decode(&reply)
	}
	if err == nil && reply.Snapshot == nil {
		err = errors.New("the reply to a join has no state")
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		h.adoptSilentPredecessor(sibling)
		return nil, errSilentPredecessor
	case err != nil:
		conn.Close()
		return nil, err
	}
	conn.SetReadDeadline(time.Time{})
	sibling.claims = reply.Claims
	reply.Snapshot.Rules.ShiftTimes(clockStep(reply.Snapshot.At, requestedAt, h.loop.clock.now()))
	h.setSibling(sibling, false)
	return reply.Snapshot, nil
}

// adoptSilentPredecessor keeps the connection to a predecessor process that runs but has not sent its state
// in time: the limits of the gateway hold for both together until it has ended. State that it sends later
// is ignored.
func (h *handover) adoptSilentPredecessor(sibling *siblingConn) {
	sibling.conn.SetReadDeadline(time.Time{})
	// A decoder that has failed keeps its error.
	sibling.decoder = json.NewDecoder(io.MultiReader(sibling.decoder.Buffered(), sibling.conn))
	h.loop.post(moduleEvent{rules.SiblingServing})
	h.setSibling(sibling, false)
}

// clockStep returns by how many seconds the local clock is ahead of the clock of a process that
// read it as siblingTime between requestedAt and repliedAt, or 0 if the two may agree. Each clock
// starts at the wall clock, which may have been stepped between the starts of the processes.
func clockStep(siblingTime, requestedAt, repliedAt float64) float64 {
	if siblingTime == 0 || siblingTime >= requestedAt-clockToleranceSeconds && siblingTime <= repliedAt+clockToleranceSeconds {
		return 0
	}
	return repliedAt - siblingTime
}

// setSibling keeps the connection to the sibling process and starts to read from it. It returns
// false if this process has a sibling already, or is closing.
func (h *handover) setSibling(sibling *siblingConn, isSuccessor bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sibling != nil || h.closed {
		return false
	}
	h.sibling, h.siblingIsSuccessor = sibling, isSuccessor
	h.setSiblingRunning(true)
	h.readers.Go(func() { h.readMessages(sibling) })
	return true
}

// readMessages handles the messages of the sibling process until the connection ends.
func (h *handover) readMessages(sibling *siblingConn) {
	defer close(sibling.closed)
	for {
		var message handoverMessage
		if err := sibling.decoder.Decode(&message); err != nil {
			break
		}
		switch {
		case message.Override != nil:
			message.Override.Known = h.loop.override(message.Override.ID, message.Override.Offline)
			sibling.send(handoverMessage{OverrideResult: message.Override})
		case message.OverrideResult != nil:
			sibling.complete(message.OverrideResult.Number, message.OverrideResult.Known)
		case message.Claim != nil:
			message.Claim.Granted = h.loop.claimIdentity(message.Claim.Identity)
			if message.Claim.Number != 0 {
				sibling.send(handoverMessage{ClaimResult: message.Claim})
			}
		case message.ClaimResult != nil:
			sibling.complete(message.ClaimResult.Number, message.ClaimResult.Granted)
		case message.Serving:
			h.mu.Lock()
			if !h.successorServing {
				h.successorServing = true
				close(sibling.serving)
			}
			h.mu.Unlock()
		case message.Kept != nil:
			h.setSiblingShare(*message.Kept)
		case message.Leaving:
			h.loop.post(moduleEvent{rules.SiblingDraining})
		}
	}
	sibling.conn.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	sibling.mu.Lock()
	for _, done := range sibling.pendingCalls {
		close(done)
	}
	clear(sibling.pendingCalls)
	sibling.mu.Unlock()
	if h.sibling = nil; !h.closed {
		slog.Info("the other process has ended", "successor", h.siblingIsSuccessor)
		h.setSiblingRunning(false)
		h.loop.post(moduleEvent{rules.SiblingAbsent})
		if !h.siblingIsSuccessor {
			close(h.noPredecessor)
		}
	}
	h.siblingIsSuccessor, h.successorServing = false, false
}

// serveSuccessors exports the state to each successor process until ctx ends. Once the predecessor
// has ended, the socket file of this process replaces that of the predecessor atomically: if this
// process ends first, the next one must still find the predecessor. A file that a killed process
// left is replaced in the same way.
func (h *handover) serveSuccessors(ctx context.Context, dir string) error {
	select {
	case <-h.noPredecessor:
	case <-ctx.Done():
		return nil
	}
	dir, release := shortPath(dir)
	defer release()
	path := filepath.Join(dir, handoverSocketName+"."+strconv.Itoa(os.Getpid()))
	os.Remove(path)
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return err
	}
	listener.SetUnlinkOnClose(false) // a successor may have replaced the file by then
	if err := os.Rename(path, filepath.Join(dir, handoverSocketName)); err != nil {
		listener.Close()
		return err
	}
	defer context.AfterFunc(ctx, func() { listener.Close() })()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		if err := h.sendState(conn); err != nil {
			slog.Error("state not exported", "error", err)
			conn.Close() // ends its reader, if it has one
		}
	}
}

var errUnavailableForSuccessor = errors.New("this process has a sibling process already, or is stopping")

// shareResources gives up the part of the gateway's resources that belongs to a successor process, before
// that process learns anything. It holds no lock while memory returns to the system, since requests may
// wait for it.
func (h *handover) shareResources() error {
	h.mu.Lock()
	available := h.sibling == nil && !h.closed
	h.mu.Unlock()
	if !available {
		return errUnavailableForSuccessor
	}
	h.setSiblingRunning(true)
	return nil
}

// sendState exports the state to a successor process that requests it.
func (h *handover) sendState(conn net.Conn) error {
	sibling := newSiblingConn(conn)
	conn.SetReadDeadline(time.Now().Add(joinTimeout))
	var request handoverMessage
	if err := sibling.decoder.Decode(&request); err != nil {
		return err
	}
	if !request.Join {
		return errors.New("the first message of a successor process is not a join")
	}
	conn.SetReadDeadline(time.Time{})
	sibling.claims = request.Claims
	if err := h.shareResources(); err != nil {
		return err
	}
	// Danger: an operator override must reach both processes. From setSibling on, each is applied
	// here and sent to the successor; the lock keeps it behind the state.
	sibling.mu.Lock()
	defer sibling.mu.Unlock()
	if !h.setSibling(sibling, true) {
		return errUnavailableForSuccessor
	}
	exported := make(chan snapshot, 1)
	if !h.loop.post(snapshotRequest{exported}) {
		return errors.New("this process has stopped")
	}
	select {
	case state := <-exported:
		conn.SetWriteDeadline(time.Now().Add(siblingCallTimeout))
		if err := sibling.encoder.Encode(handoverMessage{Snapshot: &state, Claims: true}); err != nil {
			return err
		}
	case <-h.loop.stopped:
		return errors.New("this process has stopped")
	}
	slog.Info("state exported")
	time.AfterFunc(successorTimeout, func() { h.reportIfNotServing(sibling) })
	return nil
}

// notifyServing tells the predecessor process, if any, that this one accepts clients.
func (h *handover) notifyServing() {
	h.mu.Lock()
	sibling, isSuccessor := h.sibling, h.siblingIsSuccessor
	h.mu.Unlock()
	if sibling != nil && !isSuccessor {
		sibling.send(handoverMessage{Serving: true})
	}
}

// reportIfNotServing logs that a successor process does not serve. The process still counts against the
// limits of the gateway, until it ends.
func (h *handover) reportIfNotServing(sibling *siblingConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sibling == sibling && !h.successorServing {
		slog.Error("the new process does not serve")
	}
}

// hasSibling reports whether a sibling process is connected.
func (h *handover) hasSibling() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sibling != nil
}

// applyOverride applies an operator override in both processes of the gateway. It returns an error
// unless both have applied it, and known if at least one of them knows the backend.
func (h *handover) applyOverride(id string, offline bool) (known bool, err error) {
	known = h.loop.override(id, offline)
	h.mu.Lock()
	sibling, starting := h.sibling, h.siblingIsSuccessor && !h.successorServing
	h.mu.Unlock()
	if sibling == nil {
		return known, nil
	}
	if starting {
		// No reply is awaited: the successor applies this before it serves, or never serves.
		sibling.send(handoverMessage{Override: &overrideMessage{ID: id, Offline: offline}})
		return known, nil
	}
	knownToSibling, err := sibling.forwardOverride(id, offline)
	if err != nil {
		if !errors.Is(err, errNoSiblingReply) && !errors.Is(err, os.ErrDeadlineExceeded) {
			sibling.conn.Close()
			<-sibling.closed // the sibling has ended, which its reader may not have noticed yet
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.sibling != sibling {
			return known, nil // a sibling that has ended does not need the override
		}
		return false, err
	}
	return known || knownToSibling, nil
}

// notifyLeaving tells the successor process that this one accepts no more clients. It reports
// whether there is a successor that accepts them.
//
// Danger: the platform may send SIGTERM before this process has read that the successor serves.
// Without the wait, this process would close connections that it should keep.
func (h *handover) notifyLeaving() bool {
	h.mu.Lock()
	sibling, isSuccessor := h.sibling, h.siblingIsSuccessor
	h.mu.Unlock()
	if sibling != nil && isSuccessor {
		timeout := time.NewTimer(servingNoticeTimeout)
		defer timeout.Stop()
		select {
		case <-sibling.serving:
		case <-sibling.closed:
		case <-timeout.C:
		}
	}
	h.mu.Lock()
	serving := h.sibling == sibling && h.siblingIsSuccessor && h.successorServing
	h.mu.Unlock()
	return sibling != nil && serving && sibling.send(handoverMessage{Leaving: true}) == nil
}

// giveUpUnused lets the successor process take what this one, which accepts no more clients, does not use.
func (h *handover) giveUpUnused() {
	kept, changed := h.giveUp()
	h.mu.Lock()
	sibling := h.sibling
	h.mu.Unlock()
	if changed && sibling != nil {
		sibling.send(handoverMessage{Kept: &kept})
	}
}

// close ends the connection to the sibling process and waits for its reader.
func (h *handover) close() {
	h.mu.Lock()
	h.closed = true
	if h.sibling != nil {
		h.sibling.conn.Close()
	}
	h.mu.Unlock()
	h.readers.Wait()
}

// importState applies the state of the predecessor process. It must be called before run.
func (l *Loop) importState(state *snapshot) {
	l.applyList(state.Listing, rules.CachedList)
	if !slices.Equal(state.Plans, l.service.PlanNames) {
		state.Rules.Customers = nil // plan numbers have changed their meaning
	}
	for _, backend := range state.Rules.Backends {
		if backend.Offline {
			l.offline[backend.ID] = true
		}
	}
	if l.subset != nil {
		l.offlineOutside = nameSet(state.Outside)
	}
	l.handle(rules.Import{Snapshot: state.Rules})
}

// exportState returns the state for a successor process.
func (l *Loop) exportState() snapshot {
	l.handle(rules.Export{})
	state := snapshot{At: l.clock.now(), Listing: Listing{Reset: true}, Plans: l.service.PlanNames, Rules: l.exportedState,
		Outside: slices.Sorted(maps.Keys(l.offlineOutside))}
	l.exportedState = rules.Snapshot{}
	for _, instance := range l.instances {
		state.Listing.Instances = append(state.Listing.Instances, instance)
	}
	return state
}
