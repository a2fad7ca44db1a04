package group

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	messagesPath = "/group/messages"
	groupHeader  = "X-Group"
	memberHeader = "X-Group-Member" // whom the messages are for
	fromHeader   = "X-Group-From"

	peerQueueLength = 256      // messages to one member that wait; more are dropped
	minBodyLimit    = 16 << 20 // bytes that one call may have at least, a snapshot among them
	batchBytes      = 1 << 20  // of messages in one call, about
	messageTimeout  = time.Second
	snapshotTimeout = 20 * time.Second
	peerRetryPause  = 50 * time.Millisecond
)

// peer carries messages to another member. One goroutine makes its calls, one at a
// time; what comes meanwhile waits in a queue, and what that can't hold is lost, as
// messages may be.
type peer struct {
	group   string
	self    uint64
	number  uint64
	address string
	client  *http.Client
	queue   chan *raftpb.Message
	post    func(func()) // the loop, of what became of a message
	dropped atomic.Int64

	generation       Generation
	stop             context.CancelFunc
	onUnreachable    func()
	onSnapshotStatus func(raft.SnapshotStatus)
	onRefused        func(why string)
}

func newPeer(group string, from, number uint64, address string, tell func(func())) *peer {
	return &peer{group: group, self: from, number: number, address: address, queue: make(chan *raftpb.Message, peerQueueLength), post: tell,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2, IdleConnTimeout: time.Minute}}}
}

func (p *peer) send(m *raftpb.Message) bool {
	select {
	case p.queue <- m:
		return true
	default:
		p.dropped.Add(1)
		return false
	}
}

// run makes the calls until ctx ends.
func (p *peer) run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	for {
		var batch []*raftpb.Message
		select {
		case <-ctx.Done():
			return
		case m := <-p.queue:
			batch = append(batch, m)
		}
		size := proto.Size(batch[0])
		for more := true; more && size < batchBytes; {
			select {
			case m := <-p.queue:
				batch = append(batch, m)
				size += proto.Size(m)
			default:
				more = false
			}
		}
		err := p.call(ctx, batch)
		if err == nil {
			p.reportSnapshots(batch, raft.SnapshotFinish)
			continue
		}
		p.reportSnapshots(batch, raft.SnapshotFailure)
		p.post(p.onUnreachable)
		select {
		case <-ctx.Done():
			return
		case <-time.After(peerRetryPause):
		}
	}
}

// report tells what became of a snapshot, which the algorithm waits for.
func (p *peer) reportSnapshots(batch []*raftpb.Message, status raft.SnapshotStatus) {
	for _, m := range batch {
		if m.GetType() == raftpb.MessageType_MsgSnap {
			p.post(func() { p.onSnapshotStatus(status) })
		}
	}
}

func (p *peer) call(ctx context.Context, batch []*raftpb.Message) error {
	wait := messageTimeout
	for _, m := range batch {
		if m.GetType() == raftpb.MessageType_MsgSnap {
			wait = snapshotTimeout
		}
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address+messagesPath, bytes.NewReader(encodeMessages(batch)))
	if err != nil {
		return err
	}
	req.Header.Set(groupHeader, p.group)
	req.Header.Set(memberHeader, fmt.Sprint(p.number))
	req.Header.Set(fromHeader, fmt.Sprint(p.self))
	if p.generation != (Generation{}) {
		req.Header.Set(generationHeader, fmt.Sprintf("%d %s", p.generation.Number, p.generation.Name))
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10)) // so that the connection is used again
	if resp.StatusCode == http.StatusGone {
		p.post(func() { p.onRefused(string(bytes.TrimSpace(text))) })
	}
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("%s: %s", p.address, resp.Status)
	}
	return nil
}

func encodeMessages(all []*raftpb.Message) (text []byte) {
	for _, m := range all {
		b := mustMarshal(m)
		text = append(binary.AppendUvarint(text, uint64(len(b))), b...)
	}
	return text
}

// errMessages answers what is no text of messages.
var errMessages = errors.New("no messages of a group")

// decodeMessages reads messages that are for a member and from others of the group.
func decodeMessages(text []byte, self uint64, members map[uint64]Member) (all []*raftpb.Message, err error) {
	parts, err := splitLines(text)
	if err != nil {
		return nil, errMessages
	}
	for _, part := range parts {
		m := &raftpb.Message{}
		if err := proto.Unmarshal(part, m); err != nil || m.Type == nil || m.GetTo() != self || m.GetFrom() == self || members[m.GetFrom()].Address == "" || raft.IsLocalMsg(m.GetType()) {
			return nil, errMessages
		}
		all = append(all, m)
	}
	return all, nil
}
