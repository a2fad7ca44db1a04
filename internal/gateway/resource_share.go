package gateway

import "dunlintray/internal/gateway/body"

const (
	attemptsPerRequest = 2 // that may be open at once
	shareSteps         = 8 // in which a process gives up its part, since each step costs a garbage collection

	movableHeapFraction = 0.25 // of the limit of a process's heap
)

// resourceShare is the part of the resources of a gateway that one of its two processes keeps. What it gives
// up the other process takes.
type resourceShare struct {
	ClientConns int
	Attempts    int
	Requests    int
	Bodies      int // bytes
}

// share returns the part that a process has by its plan.
func (p resourcePlan) share() resourceShare {
	return resourceShare{ClientConns: p.clientConns, Attempts: p.attempts, Requests: p.requests, Bodies: p.bodies}
}

// shareInUse returns the part that a process still needs which accepts no more clients and holds what is in
// use: each of its connections may bring another request.
func (p resourcePlan) shareInUse(inUse resourceShare) resourceShare {
	step := max(p.clientConns/shareSteps, 1)
	conns := (inUse.ClientConns + step - 1) / step * step
	need := func(planned, used, possible int) int { return max(min(planned, max(used, possible)), 1) }
	return resourceShare{
		ClientConns: need(p.clientConns, inUse.ClientConns, conns),
		Attempts:    need(p.attempts, inUse.Attempts, conns*attemptsPerRequest),
		Requests:    need(p.requests, inUse.Requests, conns),
		Bodies:      need(p.bodies, inUse.Bodies, conns*(2*maxHeldBody+body.MinWindow)),
	}
}

// beside returns the part of a process whose sibling, with an equal plan, keeps the given one. It is never
// less than the plan: a sibling that holds more than its half gives that up soon.
func (p resourcePlan) beside(sibling resourceShare) resourceShare {
	own := p.share()
	return resourceShare{
		ClientConns: max(2*own.ClientConns-sibling.ClientConns, own.ClientConns),
		Attempts:    max(2*own.Attempts-sibling.Attempts, own.Attempts),
		Requests:    max(2*own.Requests-sibling.Requests, own.Requests),
		Bodies:      max(2*own.Bodies-sibling.Bodies, own.Bodies),
	}
}

// atMost returns the smaller of each part of the two.
func (s resourceShare) atMost(limit resourceShare) resourceShare {
	return resourceShare{ClientConns: min(s.ClientConns, limit.ClientConns), Attempts: min(s.Attempts, limit.Attempts),
		Requests: min(s.Requests, limit.Requests), Bodies: min(s.Bodies, limit.Bodies)}
}

// bytes returns the memory that the part takes.
func (s resourceShare) bytes() int {
	return s.ClientConns*connectionBytes + s.Attempts*attemptBytes + s.Requests*requestBytes + s.Bodies
}

// withShare returns the plan with another part, whose memory the limit of the heap follows by up to
// movableHeapFraction: a process needs the rest for itself.
func (p resourcePlan) withShare(share resourceShare) resourcePlan {
	movable := movableHeapFraction * float64(p.heap)
	change := float64(share.bytes()-p.share().bytes()) / heapInUseFraction
	p.heap += int64(max(min(change, movable), -movable))
	p.clientConns, p.attempts, p.requests, p.bodies = share.ClientConns, share.Attempts, share.Requests, share.Bodies
	return p
}
