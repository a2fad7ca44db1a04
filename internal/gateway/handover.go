package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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
	joinTimeout           = 2 * time.Second // for the state; the platform waits 6 s for a new process
	joinRetryInterval     = 20 * time.Millisecond
	successorTimeout      = 6 * time.Second        // for a new process to serve; the platform waits no longer
	servingNoticeTimeout  = 200 * time.Millisecond // for its word that it serves, which may be on its way
	peerCallTimeout       = 700 * time.Millisecond // for the other's word on a call, of which the caller waits 1 s
	clockToleranceSeconds = 0.05                   // seconds that clocks which begin at one wall clock may differ by
)

// snapshot is what one process of a gateway leaves to the next.
type snapshot struct {
	At      float64 // the time of the process that wrote them, on its clock
	Listing Listing
	Plans   []string // the customers' records go by their numbers
	Rules   rules.Snapshot
	Outside []string `json:",omitempty"` // backends outside the subset that are out by hand
}

// handoverMessage is one line between two processes of a gateway.
type handoverMessage struct {
	Join     bool             `json:",omitempty"`      // new to old: the state, please
	Snapshot *snapshot        `json:"Books,omitempty"` // old to new; the name is that of earlier releases
	Serving  bool             `json:",omitempty"`      // new to old: clients are taken
	Leaving  bool             `json:",omitempty"`      // old to new: no more clients are taken
	Call     *overrideMessage `json:",omitempty"`      // an operator's
	Said     *overrideMessage `json:",omitempty"`      // the answer to one
}

// overrideMessage is an operator's, or the answer to it.
type overrideMessage struct {
	Number  int
	ID      string
	Offline bool
	Known   bool
}

// peerConn is the connection to the other process of this gateway.
type peerConn struct {
	conn    net.Conn
	decoder *json.Decoder

	mu             sync.Mutex
	encoder        *json.Encoder
	lastCallNumber int
	pendingCalls   map[int]chan bool // words that are out

	serving chan struct{} // closed once the other has said that it serves
	closed  chan struct{} // closed once nothing is heard on it any more
}

func newPeerConn(conn net.Conn) *peerConn {
	return &peerConn{conn: conn, decoder: json.NewDecoder(conn), encoder: json.NewEncoder(conn), pendingCalls: map[int]chan bool{},
		serving: make(chan struct{}), closed: make(chan struct{})}
}

func (l *peerConn) send(n handoverMessage) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(peerCallTimeout)) // one that has stalled must hold up nobody
	return l.encoder.Encode(n)
}

var errNoPeerReply = errors.New("the other process did not answer")

// forwardOverride hands an operator's word on and waits for the answer.
func (l *peerConn) forwardOverride(id string, offline bool) (known bool, err error) {
	done := make(chan bool, 1)
	l.mu.Lock()
	l.lastCallNumber++
	number := l.lastCallNumber
	l.pendingCalls[number] = done
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.pendingCalls, number)
	}()
	if err := l.send(handoverMessage{Call: &overrideMessage{Number: number, ID: id, Offline: offline}}); err != nil {
		return false, err
	}
	patience := time.NewTimer(peerCallTimeout)
	defer patience.Stop()
	select {
	case known, ok := <-done:
		if !ok {
			return false, errNoPeerReply
		}
		return known, nil
	case <-patience.C:
		return false, errNoPeerReply
	}
}

func (l *peerConn) completeOverride(w overrideMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if done := l.pendingCalls[w.Number]; done != nil {
		done <- w.Known
		delete(l.pendingCalls, w.Number)
	}
}

// handover keeps this process and the one before or after it one gateway.
type handover struct {
	loop          *Loop
	setPaired     func(bool)    // half of the descriptors, or all
	noPredecessor chan struct{} // closed once no process came before this one

	mu               sync.Mutex
	peer             *peerConn // nil: there is none
	peerIsSuccessor  bool      // the other is the newer
	successorServing bool      // and serves
	closed           bool
	readers          sync.WaitGroup
}

// join asks the process before for its state, if there is one, and again while
// that still has the end of another to notice. It returns nil where there is
// none, or it has nothing to say.
func (h *handover) join(ctx context.Context, dir string) (*snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for {
		b, err := h.requestState(ctx, dir)
		switch {
		case err == nil && b == nil:
			close(h.noPredecessor)
			return nil, nil
		case err == nil:
			return b, nil
		}
		select {
		case <-time.After(joinRetryInterval):
		case <-ctx.Done():
			close(h.noPredecessor)
			return nil, fmt.Errorf("the process before: %w", err)
		}
	}
}

func (h *handover) requestState(ctx context.Context, dir string) (*snapshot, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "unix", filepath.Join(dir, handoverSocketName))
	if err != nil {
		return nil, nil // nobody there; a file may be left of one that is gone
	}
	l := newPeerConn(conn)
	var n handoverMessage
	end, _ := ctx.Deadline()
	conn.SetReadDeadline(end)
	asked := h.loop.clock.now()
	if err = l.send(handoverMessage{Join: true}); err == nil {
		err = l.decoder.Decode(&n)
	}
	if err == nil && n.Snapshot == nil {
		err = errors.New("no state")
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetReadDeadline(time.Time{})
	n.Snapshot.Rules.ShiftTimes(clockStep(n.Snapshot.At, asked, h.loop.clock.now()))
	h.setPeer(l, false)
	return n.Snapshot, nil
}

// clockStep returns by how much this process's clock is ahead of that of a process that
// wrote its time between two moments of this one: 0 if it may be the same. Each clock begins
// at the wall clock, which may have been stepped between their starts.
func clockStep(theirs, asked, answered float64) float64 {
	if theirs == 0 || theirs >= asked-clockToleranceSeconds && theirs <= answered+clockToleranceSeconds {
		return 0
	}
	return answered - theirs
}

// setPeer makes l the connection to the other process and listens on it until it
// ends. It returns false where there is another already.
func (h *handover) setPeer(l *peerConn, heir bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.peer != nil || h.closed {
		return false
	}
	h.peer, h.peerIsSuccessor = l, heir
	h.setPaired(true)
	h.readers.Go(func() { h.readMessages(l) })
	return true
}

// readMessages takes what the other process says until one of the two ends.
func (h *handover) readMessages(l *peerConn) {
	defer close(l.closed)
	for {
		var n handoverMessage
		if err := l.decoder.Decode(&n); err != nil {
			break
		}
		switch {
		case n.Call != nil:
			n.Call.Known = h.loop.override(n.Call.ID, n.Call.Offline)
			l.send(handoverMessage{Said: n.Call})
		case n.Said != nil:
			l.completeOverride(*n.Said)
		case n.Serving:
			h.mu.Lock()
			if !h.successorServing {
				h.successorServing = true
				close(l.serving)
			}
			h.mu.Unlock()
		case n.Leaving:
			h.loop.post(moduleEvent{rules.SiblingDraining})
		}
	}
	l.conn.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	l.mu.Lock()
	for _, done := range l.pendingCalls {
		close(done)
	}
	clear(l.pendingCalls)
	l.mu.Unlock()
	if h.peer = nil; !h.closed {
		slog.Info("the other process has ended", "it was the newer", h.peerIsSuccessor)
		h.setPaired(false)
		h.loop.post(moduleEvent{rules.SiblingAbsent})
		if !h.peerIsSuccessor {
			close(h.noPredecessor)
		}
	}
	h.peerIsSuccessor, h.successorServing = false, false
}

// serveSuccessors gives the state to the process after this one, until ctx ends. Its file
// takes the place of that of the process before in one step, once that one has
// ended: should this one end first, the next must find the old one. What a dead
// process left is replaced likewise.
func (h *handover) serveSuccessors(ctx context.Context, dir string) error {
	select {
	case <-h.noPredecessor:
	case <-ctx.Done():
		return nil
	}
	path := filepath.Join(dir, handoverSocketName+"."+strconv.Itoa(os.Getpid()))
	os.Remove(path)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return err
	}
	l.SetUnlinkOnClose(false) // by then the name may be that of the next process
	if err := os.Rename(path, filepath.Join(dir, handoverSocketName)); err != nil {
		l.Close()
		return err
	}
	defer context.AfterFunc(ctx, func() { l.Close() })()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		if err := h.sendState(conn); err != nil {
			slog.Error("state not exported", "error", err)
			conn.Close() // which its reader, if it has one, takes for the other's end
		}
	}
}

// sendState hands the state over to a process that asks for them.
func (h *handover) sendState(conn net.Conn) error {
	l := newPeerConn(conn)
	conn.SetReadDeadline(time.Now().Add(joinTimeout))
	var n handoverMessage
	if err := l.decoder.Decode(&n); err != nil {
		return err
	}
	if !n.Join {
		return errors.New("it did not ask for them")
	}
	conn.SetReadDeadline(time.Time{})
	// Danger: a word of an operator must miss neither process. One that comes from
	// here on goes to both, and to the new one after the state.
	l.mu.Lock()
	defer l.mu.Unlock()
	if !h.setPeer(l, true) {
		return errors.New("this process has another beside it, or ends")
	}
	written := make(chan snapshot, 1)
	if !h.loop.post(snapshotRequest{written}) {
		return errors.New("this process has ended")
	}
	select {
	case b := <-written:
		conn.SetWriteDeadline(time.Now().Add(peerCallTimeout))
		if err := l.encoder.Encode(handoverMessage{Snapshot: &b}); err != nil {
			return err
		}
	case <-h.loop.stopped:
		return errors.New("this process has ended")
	}
	slog.Info("state exported")
	time.AfterFunc(successorTimeout, func() { h.dropIfNotServing(l) })
	return nil
}

// notifyServing tells the process before that this one takes clients.
func (h *handover) notifyServing() {
	h.mu.Lock()
	other, heir := h.peer, h.peerIsSuccessor
	h.mu.Unlock()
	if other != nil && !heir {
		other.send(handoverMessage{Serving: true})
	}
}

// dropIfNotServing leaves a new process that has stalled: half of the gateway must not wait
// for one that the platform has given up.
func (h *handover) dropIfNotServing(l *peerConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.peer == l && !h.successorServing {
		slog.Error("the new process does not serve")
		l.conn.Close()
	}
}

// hasPeer says whether another process of this gateway runs.
func (h *handover) hasPeer() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peer != nil
}

// applyOverride tells both processes an operator's word. It is true to say yes only
// once both have it.
func (h *handover) applyOverride(id string, offline bool) (known bool, err error) {
	known = h.loop.override(id, offline)
	h.mu.Lock()
	other, starting := h.peer, h.peerIsSuccessor && !h.successorServing
	h.mu.Unlock()
	if other == nil {
		return known, nil
	}
	if starting {
		// It reads this before it serves, and may never do either.
		other.send(handoverMessage{Call: &overrideMessage{ID: id, Offline: offline}})
		return known, nil
	}
	theirs, err := other.forwardOverride(id, offline)
	if err != nil {
		if !errors.Is(err, errNoPeerReply) && !errors.Is(err, os.ErrDeadlineExceeded) {
			other.conn.Close()
			<-other.closed // it has ended, which this word has met before its reader
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.peer != other {
			return known, nil // it has ended, and needs to know no more
		}
		return false, err
	}
	return known || theirs, nil
}

// notifyLeaving tells the other process that this one takes no more clients. It returns
// whether that one takes them.
//
// Danger: the platform may have heard that the other serves before this one has
// read it. Taken for one that does not serve, it would find its clients cut off.
func (h *handover) notifyLeaving() bool {
	h.mu.Lock()
	other, heir := h.peer, h.peerIsSuccessor
	h.mu.Unlock()
	if other != nil && heir {
		moment := time.NewTimer(servingNoticeTimeout)
		defer moment.Stop()
		select {
		case <-other.serving:
		case <-other.closed:
		case <-moment.C:
		}
	}
	h.mu.Lock()
	up := h.peer == other && h.peerIsSuccessor && h.successorServing
	h.mu.Unlock()
	return other != nil && up && other.send(handoverMessage{Leaving: true}) == nil
}

// close ends the connection to the other process and waits for its reader.
func (h *handover) close() {
	h.mu.Lock()
	h.closed = true
	if h.peer != nil {
		h.peer.conn.Close()
	}
	h.mu.Unlock()
	h.readers.Wait()
}

// importState takes the state of the process before, which the loop does before it runs.
func (l *Loop) importState(b *snapshot) {
	l.applyList(b.Listing, rules.CachedList)
	if !slices.Equal(b.Plans, l.service.PlanNames) {
		b.Rules.Customers = nil // the numbers mean other plans
	}
	for _, k := range b.Rules.Backends {
		if k.Banned {
			l.offline[k.ID] = true
		}
	}
	if l.subset != nil {
		l.offlineOutside = nameSet(b.Outside)
	}
	l.handle(rules.Import{Snapshot: b.Rules})
}

// exportState writes the state.
func (l *Loop) exportState() snapshot {
	l.handle(rules.Export{})
	b := snapshot{At: l.clock.now(), Listing: Listing{Reset: true}, Plans: l.service.PlanNames, Rules: l.exportedState,
		Outside: slices.Sorted(maps.Keys(l.offlineOutside))}
	l.exportedState = rules.Snapshot{}
	for _, i := range l.instances {
		b.Listing.Instances = append(b.Listing.Instances, i)
	}
	return b
}
