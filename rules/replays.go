package rules

// Replays: requests that arrive again under the id of one that may have run. A client may leave and send
// its request again, also to the other process of a gateway during an upgrade. A class that may not simply
// be repeated must not run again then.

// identityLifetime is how long the id of a request that may have run is kept, in seconds.
const identityLifetime = 60.0

// identityTable holds the ids of requests that may run or have run, as hashes. The zero value is empty.
type identityTable struct {
	acceptedAt map[uint64]float64
	order      []acceptedIdentity // oldest first; entries that were removed from acceptedAt may remain
}

// acceptedIdentity is the id of a request, and the time at which the request was accepted.
type acceptedIdentity struct {
	identity   uint64
	acceptedAt float64
}

// has reports whether the table holds an id.
func (t *identityTable) has(identity uint64) bool {
	_, found := t.acceptedAt[identity]
	return found
}

// add adds an id, and removes those that are too old, and the oldest beyond the limit. 0 means no limit.
func (t *identityTable) add(identity uint64, now float64, limit int) {
	if t.acceptedAt == nil {
		t.acceptedAt = map[uint64]float64{}
	}
	t.acceptedAt[identity] = now
	t.order = append(t.order, acceptedIdentity{identity, now})
	for oldest := t.order[0]; oldest.acceptedAt < now-identityLifetime || limit > 0 && len(t.order) > limit; oldest = t.order[0] {
		if t.acceptedAt[oldest.identity] == oldest.acceptedAt {
			delete(t.acceptedAt, oldest.identity)
		}
		t.order = t.order[1:]
	}
}

// remove removes the id of a request that has not run.
func (t *identityTable) remove(identity uint64) { delete(t.acceptedAt, identity) }

// records returns the table for a sibling process.
func (t *identityTable) records() (records []IdentityRecord) {
	for _, accepted := range t.order {
		if t.acceptedAt[accepted.identity] == accepted.acceptedAt {
			records = append(records, IdentityRecord{Identity: accepted.identity, AcceptedAt: accepted.acceptedAt})
		}
	}
	return records
}

// ClaimIdentity reserves the id of a request for the sibling process, which is about to accept the request.
// It returns false if this process has accepted a request with that id.
func (g *Gateway) ClaimIdentity(now float64, identity uint64) bool {
	if g.identities.has(identity) {
		return false
	}
	g.identities.add(identity, now, g.settings.MaxIdentities)
	return true
}

// rejectReplay rejects a request whose id is known, and otherwise records its id. It fails, since the first
// request may have run.
func (g *Gateway) rejectReplay(request *pendingRequest) bool {
	if request.class.Effect == Repeatable || request.identity == 0 {
		request.identity = 0
		return false
	}
	if g.identities.has(request.identity) {
		g.rejectionCounts[RejectedReplay]++
		g.emit(Fail{Request: request.id, Reason: RejectedReplay})
		return true
	}
	g.identities.add(request.identity, g.now, g.settings.MaxIdentities)
	return false
}

// forget removes a request that has its final answer and no attempt outstanding. Its id may be used again
// if it has not run.
func (g *Gateway) forget(request *pendingRequest) {
	delete(g.requests, request.id)
	if request.identity != 0 && !request.mayHaveRun {
		g.identities.remove(request.identity)
	}
}
