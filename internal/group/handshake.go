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
// that was lost or replaced by an older copy. Such a member has forgotten its votes and
// acknowledgements, and must not take part.

const (
	joinPath         = "/group/greetings"
	generationHeader = "X-Group-Generation"

	joinTimeout         = time.Second            // for one reply
	joinRetryInterval   = 100 * time.Millisecond // between two requests to one member
	joinLeaderTimeout   = 2 * time.Second        // how long the leader's own reply is waited for
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
	verdictUnknown verdict = "unknown" // not a member yet, as far as the other knows: try again
	verdictRefused verdict = "refused" // final: the member must end
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
func (g *Group) answerJoin(from joinRequest) joinReply {
	out := joinReply{Verdict: verdictUnknown, Writer: g.leader, Generation: g.members.Generation}
	own, known := g.members.Generation, g.core.incarnations[from.Self]
	switch {
	case from.Group != g.config.Name:
		out.Verdict, out.Reason = verdictCrossed, fmt.Sprintf("this is member %d of group %q", g.config.Self, g.config.Name)
	case g.core.lastIndex() == 0:
		out.Reason = "this member has nothing yet"
	case from.LastIndex > 0 && from.Generation.Number > own.Number:
		g.core.terminate(supersededReason(from.Generation))
		out.Reason = "this member is of an earlier generation, and ends"
	case from.LastIndex > 0 && from.Generation.Number < own.Number:
		out.Verdict, out.Reason = verdictRefused, supersededReason(own)
	case from.LastIndex > 0 && from.Generation != own:
		out.Verdict, out.Reason = verdictCrossed, fmt.Sprintf("two members were each made a group of their own: this one is of generation %s", own)
	case g.members.wasRemoved(from.Self):
		out.Verdict, out.Reason = verdictRefused, fmt.Sprintf("member %d was taken out of the group", from.Self)
	case g.members.Members[from.Self].Address == "":
		out.Reason = fmt.Sprintf("member %d was not added yet", from.Self)
	case from.Incarnation < known.Number || from.Incarnation == known.Number && from.Process != known.Process:
		out.Verdict, out.Reason = verdictRefused, fmt.Sprintf("member %d is in its start %d, and start %d was heard of before: its folder was lost, or is an older one. %s", from.Self, from.Incarnation, known.Number, replaceAdvice)
	case g.leaderReady && g.core.raw.Status().Progress[from.Self].Match > from.LastIndex:
		out.Verdict, out.Reason = verdictRefused, fmt.Sprintf("member %d has entries up to %d, and has promised those up to %d: its folder is an older one. %s", from.Self, from.LastIndex, g.core.raw.Status().Progress[from.Self].Match, replaceAdvice)
	default:
		if err := g.core.saveIncarnation(incarnation{from.Self, from.Incarnation, from.Process}); err != nil {
			out.Reason = err.Error()
			break
		}
		if out.Verdict = verdictWelcome; from.LastIndex == 0 {
			out.Members = maps.Clone(g.members.Members)
		}
	}
	return out
}

// replaceIt is the advice for a member whose folder is lost or old.
const replaceAdvice = "Remove the member, and add another under a new number"

// superseded explains that the member belongs to an earlier generation.
func supersededReason(by Generation) string {
	return fmt.Sprintf("the group went on as generation %s without this member; begin in an empty folder, under a new number", by)
}

// handshake sends this member's join request to the others until each has welcomed it, or
// until ctx ends. The member takes part in the group once a majority, itself included, has
// welcomed it, and also the leader that they name, unless that does not reply within
// joinWriterWait.
func (g *Group) handshake(ctx context.Context, from joinRequest, ask map[uint64]string, need int) {
	var mu sync.Mutex
	welcomed, writers := map[uint64]bool{}, map[uint64]bool{}
	var enough time.Time
	part := sync.OnceFunc(func() { g.post(func() { g.participating = true }) })
	look := func() {
		mu.Lock()
		defer mu.Unlock()
		if len(welcomed) < need {
			return
		}
		if enough.IsZero() {
			enough = time.Now()
		}
		for w := range writers {
			if w != g.config.Self && ask[w] != "" && !welcomed[w] && time.Since(enough) < joinLeaderTimeout {
				return
			}
		}
		part()
	}
	look()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n, at := range ask {
		wg.Go(func() {
			said := ""
			for ctx.Err() == nil {
				answer, err := g.sendJoin(ctx, at, from)
				switch {
				case err != nil:
				case answer.Verdict == verdictWelcome:
					if answer.Members != nil {
						g.enqueue(ctx, func() { g.adoptMembers(answer) })
					}
					mu.Lock()
					welcomed[n] = true
					writers[answer.Writer] = answer.Writer != 0
					mu.Unlock()
					look()
					return
				case answer.Verdict == verdictRefused:
					g.enqueue(ctx, func() { g.core.terminate(answer.Reason) })
					return
				case said != answer.Reason:
					said = answer.Reason
					slog.Warn("group: this member does not take part yet", "member", n, "says", answer.Reason)
				}
				look()
				select {
				case <-ctx.Done():
				case <-time.After(joinRetryInterval):
				}
			}
		})
	}
}

// adopt takes over the list of members from a reply, if this member's log is empty.
func (g *Group) adoptMembers(from joinReply) {
	if g.core.lastIndex() > 0 {
		return
	}
	g.members.Members, g.members.Generation = from.Members, from.Generation
	g.updatePeers()
}

// tell queues a function for the loop. It blocks while the queue is full, until ctx ends.
func (g *Group) enqueue(ctx context.Context, do func()) {
	select { // the report of a snapshot must not be lost: raft sends nothing more before it
	case g.calls <- do:
	case <-ctx.Done():
	}
}

// sendJoin sends a join request to one member.
func (g *Group) sendJoin(ctx context.Context, at string, from joinRequest) (answer joinReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	text, err := json.Marshal(from)
	if err != nil {
		return answer, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+joinPath, bytes.NewReader(text))
	if err != nil {
		return answer, err
	}
	resp, err := g.joinClient.Do(req)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRequestBytes))
	switch {
	case err != nil:
		return answer, err
	case resp.StatusCode == http.StatusNotFound: // a member of an earlier build, without this call
		return joinReply{Verdict: verdictWelcome}, nil
	case resp.StatusCode != http.StatusOK:
		return answer, errors.New(resp.Status)
	}
	return answer, json.Unmarshal(body, &answer)
}

// tellFormer tells a former member of the new generation, until that has replied or ctx ends.
func (g *Group) notifyFormer(ctx context.Context, from joinRequest, at string) {
	for ctx.Err() == nil {
		if _, err := g.sendJoin(ctx, at, from); err == nil {
			slog.Info("group: a former member was told of the new generation", "address", at)
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
	var from joinRequest
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&from); err != nil {
		http.Error(w, "greeting: "+err.Error(), http.StatusBadRequest)
		return
	}
	var out joinReply
	if err := g.call(r.Context(), func() { out = g.answerJoin(from) }); err != nil {
		g.writeError(w, r, err)
		return
	}
	writeJSON(w, out)
}

// quorum returns the number of voters that form a majority.
func quorum(voters []uint64) int { return len(voters)/2 + 1 }

// newJoin returns the join request of this member, the addresses to send it to, and the number
// of members that have to welcome it.
func (g *Group) newJoin() (from joinRequest, ask map[uint64]string, need int) {
	from = joinRequest{Group: g.config.Name, Generation: g.members.Generation, Self: g.config.Self, Incarnation: g.core.incarnations[g.config.Self].Number, Process: g.core.incarnations[g.config.Self].Process, LastIndex: g.core.lastIndex()}
	ask = map[uint64]string{}
	for _, n := range g.members.others(g.config.Self) {
		ask[n] = g.members.Members[n].Address
	}
	voters := g.core.confState.GetVoters()
	if need = 1; slices.Contains(voters, g.config.Self) {
		need = quorum(voters) - 1
	}
	return from, ask, need
}
