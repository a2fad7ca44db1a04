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
	handoverName = "handover.sock"
	joinTimeout  = 2 * time.Second // for the state; the platform waits 6 s for a new process
	joinRetry    = 20 * time.Millisecond
	upTimeout    = 6 * time.Second        // for a new process to serve; the platform waits no longer
	serveWait    = 200 * time.Millisecond // for its word that it serves, which may be on its way
	passTimeout  = 700 * time.Millisecond // for the other's word on a call, of which the caller waits 1 s
	sameClock    = 0.05                   // seconds that clocks which begin at one wall clock may differ by
)

// snapshot is what one process of a gateway leaves to the next.
type snapshot struct {
	At      float64 // the time of the process that wrote them, on its clock
	Listing Listing
	Plans   []string // the customers' records go by their numbers
	Rules   rules.Snapshot
	Outside []string `json:",omitempty"` // backends outside the subset that are out by hand
}

// note is one line between two processes of a gateway.
type note struct {
	Join     bool      `json:",omitempty"`      // new to old: the state, please
	Snapshot *snapshot `json:"Books,omitempty"` // old to new; the name is that of earlier releases
	Serving  bool      `json:",omitempty"`      // new to old: clients are taken
	Leaving  bool      `json:",omitempty"`      // old to new: no more clients are taken
	Call     *word     `json:",omitempty"`      // an operator's
	Said     *word     `json:",omitempty"`      // the answer to one
}

// word is an operator's, or the answer to it.
type word struct {
	Number  int
	ID      string
	Offline bool
	Known   bool
}

// link is the connection to the other process of this gateway.
type link struct {
	conn net.Conn
	in   *json.Decoder

	mu    sync.Mutex
	out   *json.Encoder
	next  int
	calls map[int]chan bool // words that are out

	serves chan struct{} // closed once the other has said that it serves
	over   chan struct{} // closed once nothing is heard on it any more
}

func newLink(conn net.Conn) *link {
	return &link{conn: conn, in: json.NewDecoder(conn), out: json.NewEncoder(conn), calls: map[int]chan bool{},
		serves: make(chan struct{}), over: make(chan struct{})}
}

func (l *link) send(n note) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(passTimeout)) // one that has stalled must hold up nobody
	return l.out.Encode(n)
}

var errNoWord = errors.New("the other process did not answer")

// pass hands an operator's word on and waits for the answer.
func (l *link) pass(id string, offline bool) (known bool, err error) {
	done := make(chan bool, 1)
	l.mu.Lock()
	l.next++
	number := l.next
	l.calls[number] = done
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.calls, number)
	}()
	if err := l.send(note{Call: &word{Number: number, ID: id, Offline: offline}}); err != nil {
		return false, err
	}
	patience := time.NewTimer(passTimeout)
	defer patience.Stop()
	select {
	case known, ok := <-done:
		if !ok {
			return false, errNoWord
		}
		return known, nil
	case <-patience.C:
		return false, errNoWord
	}
}

func (l *link) answered(w word) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if done := l.calls[w.Number]; done != nil {
		done <- w.Known
		delete(l.calls, w.Number)
	}
}

// handover keeps this process and the one before or after it one gateway.
type handover struct {
	loop   *Loop
	paired func(bool)    // half of the descriptors, or all
	oldest chan struct{} // closed once no process came before this one

	mu     sync.Mutex
	other  *link // nil: there is none
	heir   bool  // the other is the newer
	up     bool  // and serves
	ended  bool
	hearer sync.WaitGroup
}

// join asks the process before for its state, if there is one, and again while
// that still has the end of another to notice. It returns nil where there is
// none, or it has nothing to say.
func (h *handover) join(ctx context.Context, dir string) (*snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for {
		b, err := h.ask(ctx, dir)
		switch {
		case err == nil && b == nil:
			close(h.oldest)
			return nil, nil
		case err == nil:
			return b, nil
		}
		select {
		case <-time.After(joinRetry):
		case <-ctx.Done():
			close(h.oldest)
			return nil, fmt.Errorf("the process before: %w", err)
		}
	}
}

func (h *handover) ask(ctx context.Context, dir string) (*snapshot, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "unix", filepath.Join(dir, handoverName))
	if err != nil {
		return nil, nil // nobody there; a file may be left of one that is gone
	}
	l := newLink(conn)
	var n note
	end, _ := ctx.Deadline()
	conn.SetReadDeadline(end)
	asked := h.loop.clock.now()
	if err = l.send(note{Join: true}); err == nil {
		err = l.in.Decode(&n)
	}
	if err == nil && n.Snapshot == nil {
		err = errors.New("no state")
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetReadDeadline(time.Time{})
	n.Snapshot.Rules.Shift(clockStep(n.Snapshot.At, asked, h.loop.clock.now()))
	h.take(l, false)
	return n.Snapshot, nil
}

// clockStep returns by how much this process's clock is ahead of that of a process that
// wrote its time between two moments of this one: 0 if it may be the same. Each clock begins
// at the wall clock, which may have been stepped between their starts.
func clockStep(theirs, asked, answered float64) float64 {
	if theirs == 0 || theirs >= asked-sameClock && theirs <= answered+sameClock {
		return 0
	}
	return answered - theirs
}

// take makes l the connection to the other process and listens on it until it
// ends. It returns false where there is another already.
func (h *handover) take(l *link, heir bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.other != nil || h.ended {
		return false
	}
	h.other, h.heir = l, heir
	h.paired(true)
	h.hearer.Go(func() { h.hear(l) })
	return true
}

// hear takes what the other process says until one of the two ends.
func (h *handover) hear(l *link) {
	defer close(l.over)
	for {
		var n note
		if err := l.in.Decode(&n); err != nil {
			break
		}
		switch {
		case n.Call != nil:
			n.Call.Known = h.loop.override(n.Call.ID, n.Call.Offline)
			l.send(note{Said: n.Call})
		case n.Said != nil:
			l.answered(*n.Said)
		case n.Serving:
			h.mu.Lock()
			if !h.up {
				h.up = true
				close(l.serves)
			}
			h.mu.Unlock()
		case n.Leaving:
			h.loop.post(moduleEvent{rules.Leaving})
		}
	}
	l.conn.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	l.mu.Lock()
	for _, done := range l.calls {
		close(done)
	}
	clear(l.calls)
	l.mu.Unlock()
	if h.other = nil; !h.ended {
		slog.Info("the other process has ended", "it was the newer", h.heir)
		h.paired(false)
		h.loop.post(moduleEvent{rules.Absent})
		if !h.heir {
			close(h.oldest)
		}
	}
	h.heir, h.up = false, false
}

// serve gives the state to the process after this one, until ctx ends. Its file
// takes the place of that of the process before in one step, once that one has
// ended: should this one end first, the next must find the old one. What a dead
// process left is replaced likewise.
func (h *handover) serve(ctx context.Context, dir string) error {
	select {
	case <-h.oldest:
	case <-ctx.Done():
		return nil
	}
	path := filepath.Join(dir, handoverName+"."+strconv.Itoa(os.Getpid()))
	os.Remove(path)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return err
	}
	l.SetUnlinkOnClose(false) // by then the name may be that of the next process
	if err := os.Rename(path, filepath.Join(dir, handoverName)); err != nil {
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
		if err := h.give(conn); err != nil {
			slog.Error("state not exported", "error", err)
			conn.Close() // which its reader, if it has one, takes for the other's end
		}
	}
}

// give hands the state over to a process that asks for them.
func (h *handover) give(conn net.Conn) error {
	l := newLink(conn)
	conn.SetReadDeadline(time.Now().Add(joinTimeout))
	var n note
	if err := l.in.Decode(&n); err != nil {
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
	if !h.take(l, true) {
		return errors.New("this process has another beside it, or ends")
	}
	written := make(chan snapshot, 1)
	if !h.loop.post(snapshotRequest{written}) {
		return errors.New("this process has ended")
	}
	select {
	case b := <-written:
		conn.SetWriteDeadline(time.Now().Add(passTimeout))
		if err := l.out.Encode(note{Snapshot: &b}); err != nil {
			return err
		}
	case <-h.loop.stopped:
		return errors.New("this process has ended")
	}
	slog.Info("state exported")
	time.AfterFunc(upTimeout, func() { h.drop(l) })
	return nil
}

// serving tells the process before that this one takes clients.
func (h *handover) serving() {
	h.mu.Lock()
	other, heir := h.other, h.heir
	h.mu.Unlock()
	if other != nil && !heir {
		other.send(note{Serving: true})
	}
}

// drop leaves a new process that has stalled: half of the gateway must not wait
// for one that the platform has given up.
func (h *handover) drop(l *link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.other == l && !h.up {
		slog.Error("the new process does not serve")
		l.conn.Close()
	}
}

// beside says whether another process of this gateway runs.
func (h *handover) beside() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.other != nil
}

// byHand tells both processes an operator's word. It is true to say yes only
// once both have it.
func (h *handover) byHand(id string, offline bool) (known bool, err error) {
	known = h.loop.override(id, offline)
	h.mu.Lock()
	other, starting := h.other, h.heir && !h.up
	h.mu.Unlock()
	if other == nil {
		return known, nil
	}
	if starting {
		// It reads this before it serves, and may never do either.
		other.send(note{Call: &word{ID: id, Offline: offline}})
		return known, nil
	}
	theirs, err := other.pass(id, offline)
	if err != nil {
		if !errors.Is(err, errNoWord) && !errors.Is(err, os.ErrDeadlineExceeded) {
			other.conn.Close()
			<-other.over // it has ended, which this word has met before its reader
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.other != other {
			return known, nil // it has ended, and needs to know no more
		}
		return false, err
	}
	return known || theirs, nil
}

// leave tells the other process that this one takes no more clients. It returns
// whether that one takes them.
//
// Danger: the platform may have heard that the other serves before this one has
// read it. Taken for one that does not serve, it would find its clients cut off.
func (h *handover) leave() bool {
	h.mu.Lock()
	other, heir := h.other, h.heir
	h.mu.Unlock()
	if other != nil && heir {
		moment := time.NewTimer(serveWait)
		defer moment.Stop()
		select {
		case <-other.serves:
		case <-other.over:
		case <-moment.C:
		}
	}
	h.mu.Lock()
	up := h.other == other && h.heir && h.up
	h.mu.Unlock()
	return other != nil && up && other.send(note{Leaving: true}) == nil
}

// close ends the connection to the other process and waits for its reader.
func (h *handover) close() {
	h.mu.Lock()
	h.ended = true
	if h.other != nil {
		h.other.conn.Close()
	}
	h.mu.Unlock()
	h.hearer.Wait()
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
		l.offlineOutside = namedOnce(b.Outside)
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
