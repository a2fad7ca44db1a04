package gateway

import (
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"dunlintray/rules"
)

// claimTimeout is how long a request waits for the sibling process to grant its id. A sibling that
// is held up longer does not hold up this process.
const claimTimeout = 250 * time.Millisecond

// requestIdentity returns the hash by which both processes of a gateway know the id of a request.
func requestIdentity(id string) uint64 { return max(xxhash.Sum64String(id), 1) }

// claim asks the sibling process, if there is one, whether it has accepted a request with the same
// id. It returns false if so. During an upgrade a client may send its request to both processes.
func (h *handover) claim(identity uint64) (granted bool) {
	h.mu.Lock()
	sibling, starting := h.sibling, h.siblingIsSuccessor && !h.successorServing
	h.mu.Unlock()
	switch {
	case sibling == nil || !sibling.claims:
		return true
	case starting:
		// No reply is awaited: the successor applies this before it serves, or never serves.
		sibling.send(handoverMessage{Claim: &claimMessage{Identity: identity}})
		return true
	}
	granted, err := sibling.call(claimTimeout, func(number int) handoverMessage {
		return handoverMessage{Claim: &claimMessage{Number: number, Identity: identity}}
	})
	if err != nil {
		slog.Warn("the other process did not grant a request in time", "error", err)
		return true
	}
	return granted
}

// claimIdentity reserves the id of a request for the sibling process. It returns false if this
// process has accepted a request with that id.
func (l *Loop) claimIdentity(identity uint64) (granted bool) {
	done := make(chan bool, 1)
	if !l.post(identityClaim{identity, done}) {
		return true
	}
	select {
	case granted = <-done:
	case <-l.stopped:
		granted = true
	}
	return granted
}

// replayable reports whether a request may run again under the same id.
func (x *exchange) replayable() bool { return x.class.Effect == rules.Repeatable }
