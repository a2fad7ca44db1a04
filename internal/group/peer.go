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
	memberHeader = "X-Group-Member" // number of the receiver
	fromHeader   = "X-Group-From"

	peerQueueLength = 256      // messages; further ones are dropped
	minBodyLimit    = 16 << 20 // bytes; a larger snapshot raises the limit
	batchBytes      = 1 << 20  // approximate bytes of messages in one call
	messageTimeout  = time.Second
	snapshotTimeout = 20 * time.Second
	peerRetryPause  = 50 * time.Millisecond
)

// peer sends messages to another member. One goroutine makes the calls, one at a time. Messages
// that the queue can't hold are dropped; raft tolerates lost messages.
type peer struct {
	group   string
	self    uint64
	number  uint64
	address string
	client  *http.Client
	queue   chan *raftpb.Message
	post    func(func()) // runs a function in the group's loop
	dropped atomic.Int64

	generation       Generation
	stop             context.CancelFunc
	onUnreachable    func()
	onSnapshotStatus func(raft.SnapshotStatus)
	onRefused        func(reason string)
}

func newPeer(group string, self, number uint64, address string, post func(func())) *peer {
	return &peer{group: group, self: self, number: number, address: address, queue: make(chan *raftpb.Message, peerQueueLength), post: post,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2, IdleConnTimeout: time.Minute}}}
}

// send queues a message. It returns false if the queue is full.
func (p *peer) send(m *raftpb.Message) bool {
	select {
	case p.queue <- m:
		return true
	default:
		p.dropped.Add(1)
		return false
	}
}

// run sends queued messages until ctx ends.
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

// reportSnapshots reports the outcome of each snapshot in the batch, which raft waits for.
func (p *peer) reportSnapshots(batch []*raftpb.Message, status raft.SnapshotStatus) {
	for _, m := range batch {
		if m.GetType() == raftpb.MessageType_MsgSnap {
			p.post(func() { p.onSnapshotStatus(status) })
		}
	}
}

func (p *peer) call(ctx context.Context, batch []*raftpb.Message) error {
	timeout := messageTimeout
	for _, m := range batch {
		if m.GetType() == raftpb.MessageType_MsgSnap {
			timeout = snapshotTimeout
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10)) // read to the end so that the connection is reused
	if resp.StatusCode == http.StatusGone {
		p.post(func() { p.onRefused(string(bytes.TrimSpace(text))) })
	}
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("%s: %s", p.address, resp.Status)
	}
	return nil
}

func encodeMessages(messages []*raftpb.Message) (data []byte) {
	for _, m := range messages {
		b := mustMarshal(m)
		data = append(binary.AppendUvarint(data, uint64(len(b))), b...)
	}
	return data
}

// errMessages is the error of a body that holds no valid messages for this member.
var errMessages = errors.New("invalid messages: malformed, or not from a member to this member")

// decodeMessages decodes messages to self. It fails if one is not from another member.
func decodeMessages(data []byte, self uint64, members map[uint64]Member) (messages []*raftpb.Message, err error) {
	encoded, err := splitLines(data)
	if err != nil {
		return nil, errMessages
	}
	for _, text := range encoded {
		m := &raftpb.Message{}
		if err := proto.Unmarshal(text, m); err != nil || m.Type == nil || m.GetTo() != self || m.GetFrom() == self || members[m.GetFrom()].Address == "" || raft.IsLocalMsg(m.GetType()) {
			return nil, errMessages
		}
		messages = append(messages, m)
	}
	return messages, nil
}
