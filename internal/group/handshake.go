package group

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The join handshake: before a member votes or acknowledges an entry, it tells the others who
// it is and how long its log is. They know its earlier processes, and so recognise a folder
// that was lost or replaced by an older copy. Such a member has lost its votes and
// acknowledgements, and must not take part.

const (
	joinPath         = "/group/greetings"
	generationHeader = "X-Group-Generation"

	joinTimeout         = time.Second            // for one reply
	joinRetryInterval   = 100 * time.Millisecond // between two requests to one member
	joinLeaderTimeout   = 2 * time.Second        // for the leader's own reply
	formerRetryInterval = 2 * time.Second        // between two requests to a former member
	maxRequestBytes     = 16 << 10               // of a request's or a reply's body
)

// joinRequest is what a member sends to the others at its start.
type joinRequest struct {
	Group       string     `json:"group"`
	Generation  Generation `json:"generation"`
	Self        uint64     `json:"self"`
	Incarnation uint64     `json:"life"`
	Process     string     `json:"process"`
	LastIndex   uint64     `json:"last"` // index of its last entry; 0: its log is empty
}

// verdict is the result of a join request.
type verdict string

const (
	verdictWelcome verdict = "welcome"
	verdictUnknown verdict = "unknown" // the replying member does not know it as a member yet: retry
	verdictRefused verdict = "refused" // final: the member must terminate
	verdictCrossed verdict = "crossed" // it belongs to another group
)

// joinReply is the reply to a joinRequest.
type joinReply struct {
	Verdict    verdict           `json:"verdict"`
	Reason     string            `json:"why,omitempty"`
	Writer     uint64            `json:"writer,omitempty"`
	Generation Generation        `json:"generation"`
	Members    map[uint64]Member `json:"members,omitempty"` // for a member whose log is empty
}

// answerJoin decides on a join request. It runs in the loop.
func (g *Group) answerJoin(request joinRequest) joinReply {
	reply := joinReply{Verdict: verdictUnknown, Writer: g.leader, Generation: g.members.Generation}
	generation, known := g.members.Generation, g.core.incarnations[request.Self]
	switch {
	case request.Group != g.config.Name:
		reply.Verdict, reply.Reason = verdictCrossed, fmt.Sprintf("this is member %d of group %q", g.config.Self, g.config.Name)
	case g.core.lastIndex() == 0:
		reply.Reason = "this member has no entries yet"
	case request.LastIndex > 0 && request.Generation.Number > generation.Number:
		g.core.terminate(supersededReason(request.Generation))
		reply.Reason = "this member belongs to an earlier generation and terminates"
	case request.LastIndex > 0 && request.Generation.Number < generation.Number:
		reply.Verdict, reply.Reason = verdictRefused, supersededReason(generation)
	case request.LastIndex > 0 && request.Generation != generation:
		reply.Verdict, reply.Reason = verdictCrossed, fmt.Sprintf("two members were each made a group of their own: this one is of generation %s", generation)
	case g.members.wasRemoved(request.Self):
		reply.Verdict, reply.Reason = verdictRefused, fmt.Sprintf("member %d was removed from the group", request.Self)
	case g.members.Members[request.Self].Address == "":
		reply.Reason = fmt.Sprintf("member %d was not added yet", request.Self)
	case request.Incarnation < known.Number || request.Incarnation == known.Number && request.Process != known.Process:
		reply.Verdict, reply.Reason = verdictRefused, fmt.Sprintf("member %d is in its start %d, and start %d was seen before: its folder was lost, or is an older one. %s", request.Self, request.Incarnation, known.Number, replaceAdvice)
	case g.leaderReady && g.acknowledged(request.Self) > request.LastIndex:
		reply.Verdict, reply.Reason = g.judgeShortLog(request)
	default:
		if err := g.core.saveIncarnation(incarnation{request.Self, request.Incarnation, request.Process}); err != nil {
			reply.Reason = err.Error()
			break
		}
		if reply.Verdict = verdictWelcome; request.LastIndex == 0 {
			reply.Members = maps.Clone(g.members.Members)
		}
	}
	return reply
}

// shortLog is a log whose member has acknowledged more entries than its join request told of.
type shortLog struct {
	process   string // of the member
	lastIndex uint64 // told by the request
}

// acknowledged returns the index of the last entry that a member has acknowledged to this leader.
func (g *Group) acknowledged(member uint64) uint64 { return g.core.raw.Status().Progress[member].Match }

// judgeShortLog decides on a join request of a member that has acknowledged more entries than its log has.
// The member may have received and acknowledged them since it sent the request: then its next request
// tells of a longer log. It is refused only if that tells of the same length as before, since it is
// sent after this reply, and so after the acknowledgements.
func (g *Group) judgeShortLog(request joinRequest) (verdict, string) {
	current := shortLog{request.Process, request.LastIndex}
	reason := fmt.Sprintf("member %d has entries up to %d and has acknowledged those up to %d", request.Self, request.LastIndex, g.acknowledged(request.Self))
	if g.shortLogs[request.Self] != current {
		g.shortLogs[request.Self] = current
		return verdictUnknown, reason
	}
	return verdictRefused, reason + ": its folder is an older one. " + replaceAdvice
}

// replaceAdvice is the advice for a member whose folder is lost or old.
const replaceAdvice = "Remove the member, and add another under a new number"

// supersededReason explains to a member of an earlier generation why it must terminate.
func supersededReason(by Generation) string {
	return fmt.Sprintf("the group went on as generation %s without this member; start in an empty folder, under a new number", by)
}

// handshake sends this member's join request to the others until each has welcomed it, or
// until ctx ends. Each request tells of the log as it is then: a member that takes part may
// receive entries before the last one has welcomed it. The member takes part in the group once a majority, itself included, has
// welcomed it, and also the leader that they name, unless that does not reply within
// joinLeaderTimeout.
func (g *Group) handshake(ctx context.Context, addresses map[uint64]string, required int) {
	var mu sync.Mutex
	welcomed, leaders := map[uint64]bool{}, map[uint64]bool{}
	var quorumAt time.Time
	participate := sync.OnceFunc(func() { g.post(func() { g.participating = true }) })
	checkWelcomed := func() {
		mu.Lock()
		defer mu.Unlock()
		if len(welcomed) < required {
			return
		}
		if quorumAt.IsZero() {
			quorumAt = time.Now()
		}
		for leader := range leaders {
			if leader != g.config.Self && addresses[leader] != "" && !welcomed[leader] && time.Since(quorumAt) < joinLeaderTimeout {
				return
			}
		}
		participate()
	}
	checkWelcomed()
	var wg sync.WaitGroup
	defer wg.Wait()
	for number, address := range addresses {
		wg.Go(func() {
			lastReason := ""
			for ctx.Err() == nil {
				var request joinRequest
				var reply joinReply
				err := g.call(ctx, func() { request = g.newJoinRequest() })
				if err == nil {
					reply, err = g.sendJoin(ctx, address, request)
				}
				switch {
				case errors.Is(err, errStopped):
					return
				case err != nil:
				case reply.Verdict == verdictWelcome:
					if reply.Members != nil {
						g.enqueue(ctx, func() { g.adoptMembers(reply) })
					}
					mu.Lock()
					welcomed[number] = true
					leaders[reply.Writer] = reply.Writer != 0
					mu.Unlock()
					checkWelcomed()
					return
				case reply.Verdict == verdictRefused:
					g.enqueue(ctx, func() { g.core.terminate(reply.Reason) })
					return
				case lastReason != reply.Reason:
					lastReason = reply.Reason
					slog.Warn("group: this member does not take part yet", "member", number, "says", reply.Reason)
				}
				checkWelcomed()
				select {
				case <-ctx.Done():
				case <-time.After(joinRetryInterval):
				}
			}
		})
	}
}

// adoptMembers takes over the members of a reply if this member's log is empty.
func (g *Group) adoptMembers(reply joinReply) {
	if g.core.lastIndex() > 0 {
		return
	}
	g.members.Members, g.members.Generation = reply.Members, reply.Generation
	g.updatePeers()
}

// enqueue queues a function for the loop. It blocks while the queue is full, until ctx ends.
func (g *Group) enqueue(ctx context.Context, do func()) {
	select { // a snapshot's report must not be dropped: raft sends the member nothing else until then
	case g.calls <- do:
	case <-ctx.Done():
	}
}

// sendJoin sends a join request to one member.
func (g *Group) sendJoin(ctx context.Context, address string, request joinRequest) (reply joinReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	text, err := json.Marshal(request)
	if err != nil {
		return reply, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+joinPath, bytes.NewReader(text))
	if err != nil {
		return reply, err
	}
	resp, err := g.joinClient.Do(req)
	if err != nil {
		return reply, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRequestBytes))
	switch {
	case err != nil:
		return reply, err
	case resp.StatusCode == http.StatusNotFound: // a member of an earlier build, without this call
		return joinReply{Verdict: verdictWelcome}, nil
	case resp.StatusCode != http.StatusOK:
		return reply, errors.New(resp.Status)
	}
	return reply, json.Unmarshal(body, &reply)
}

// notifyFormer sends the new generation to a former member until that has replied or ctx ends.
func (g *Group) notifyFormer(ctx context.Context, request joinRequest, address string) {
	for ctx.Err() == nil {
		if _, err := g.sendJoin(ctx, address, request); err == nil {
			slog.Info("group: notified a former member of the new generation", "address", address)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(formerRetryInterval):
		}
	}
}

// handleJoin is the HTTP handler of join requests.
func (g *Group) handleJoin(w http.ResponseWriter, r *http.Request) {
	var request joinRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		http.Error(w, "join request: "+err.Error(), http.StatusBadRequest)
		return
	}
	var reply joinReply
	if err := g.call(r.Context(), func() { reply = g.answerJoin(request) }); err != nil {
		g.writeError(w, r, err)
		return
	}
	writeJSON(w, reply)
}

// quorum returns the number of voters that form a majority.
func quorum(voters []uint64) int { return len(voters)/2 + 1 }

// newJoinRequest returns the join request of this member as it is now. It runs in the loop.
func (g *Group) newJoinRequest() joinRequest {
	current := g.core.incarnations[g.config.Self]
	return joinRequest{Group: g.config.Name, Generation: g.members.Generation, Self: g.config.Self, Incarnation: current.Number,
		Process: current.Process, LastIndex: g.core.lastIndex()}
}

// joinTargets returns the addresses to send join requests to, and how many of the other members
// have to welcome this one.
func (g *Group) joinTargets() (addresses map[uint64]string, required int) {
	addresses = map[uint64]string{}
	for _, n := range g.members.others(g.config.Self) {
		addresses[n] = g.members.Members[n].Address
	}
	voters := g.core.confState.GetVoters()
	if required = 1; slices.Contains(voters, g.config.Self) {
		required = quorum(voters) - 1
	}
	return addresses, required
}
