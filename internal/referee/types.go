package referee

import (
	"fmt"
	"strings"
	"time"
)

// Request is a request that a client sends.
type Request struct {
	ID       uint64
	Gateway  int
	Class    int
	Plan     int
	Customer uint64
	Units    float64
	Deadline time.Duration // when the client stops waiting
}

// Attempt is an attempt of a request that has arrived completely at a backend.
type Attempt struct {
	ID          uint64 // of the request, as the attempt has it
	Number      uint64 // of the attempt, unique
	Gateway     int
	Backend     int
	FirstByteAt time.Duration // when its first byte arrived
	Unchanged   bool          // method, path, key and body equal those of the client's request
	ResponseID  uint64        // identifies the response that the backend gives
}

// Violation is one breach of a rule.
type Violation struct {
	At      time.Duration
	Rule    string
	Gateway int    // -1: none in particular
	Request uint64 // 0: none in particular
	Text    string
	History []string // of the request
}

// String returns the violation as operators read it.
func (v Violation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %v: ", v.Rule, v.At.Round(time.Millisecond))
	if v.Gateway >= 0 {
		fmt.Fprintf(&b, "gateway n%d: ", v.Gateway)
	}
	if v.Request != 0 {
		fmt.Fprintf(&b, "request %016x: ", v.Request)
	}
	b.WriteString(v.Text)
	for _, h := range v.History {
		b.WriteString("\n    " + h)
	}
	return b.String()
}

// State is the state of a backend in lists.
type State int

// The states, in the order in which a backend goes through them.
const (
	Ready State = iota
	Draining
	Gone
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"ready", "draining", "gone"}[s] }
