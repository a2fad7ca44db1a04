package registry

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	firstPause  = 500 * time.Millisecond // after a round of failures; it doubles
	mostPause   = 15 * time.Second
	stepPause   = 200 * time.Millisecond // at most, before the next address of a round
	mostPast    = 8                      // histories that were left, which are not taken again
	staleAge    = 10 * time.Second       // of a follower, from which on another address is tried
	mostAdvised = time.Minute            // of a pause that a service asks for
)

var (
	errOlder   = errors.New("the list is older than the one that is had")
	errLeft    = errors.New("the list is of a history that was left")
	errNoWhole = errors.New("changes of a history that is not known")
)

// Feed is the state of one that reads the list from several services. It is a
// state machine: it says whom to ask for what, is told how that went, and says what
// is news and how long to wait.
type Feed struct {
	addresses []string
	at        int
	random    *rand.Rand
	failures  int // in a row

	listed  bool
	history string
	version int64
	past    []string
	known   map[string]Instance
}

// NewFeed reads from the given addresses, in an order of its own.
func NewFeed(addresses []string, random *rand.Rand) *Feed {
	f := &Feed{random: random, known: map[string]Instance{}}
	f.Move(addresses)
	return f
}

// Move changes the addresses. What is known stays.
func (f *Feed) Move(addresses []string) {
	f.addresses, f.at, f.failures = slices.Clone(addresses), 0, 0
	f.random.Shuffle(len(f.addresses), func(i, j int) { f.addresses[i], f.addresses[j] = f.addresses[j], f.addresses[i] })
}

// Ask is a call to make.
type Ask struct {
	Address string
	Whole   bool // else what has changed since
	Since   int64
	History string
}

// Next returns the call to make now.
func (f *Feed) Next() Ask {
	return Ask{Address: f.addresses[f.at], Whole: !f.listed, Since: f.version, History: f.history}
}

// Answered takes a list in that came whole, and returns what of it is news. An
// error says that the list is not for this reader; it counts as a failure.
func (f *Feed) Answered(l Listing, history string, age time.Duration) (news Listing, err error) {
	switch {
	case f.listed && history == f.history && l.Generation < f.version:
		return Listing{}, errOlder
	case history != f.history && slices.Contains(f.past, history):
		return Listing{}, errLeft
	case (!f.listed || history != f.history) && !l.Reset:
		return Listing{}, errNoWhole
	}
	news = Listing{Generation: l.Generation, Reset: !f.listed || history != f.history}
	if f.listed && history != f.history {
		if f.past = append(f.past, f.history); len(f.past) > mostPast {
			f.past = f.past[1:]
		}
	}
	next := f.known
	if l.Reset {
		next = make(map[string]Instance, len(l.Instances))
	}
	for _, i := range l.Instances {
		if was, there := f.known[i.ID]; news.Reset || !there && i.Lifecycle != Gone || there && was != i {
			news.Instances = append(news.Instances, i)
		}
		if next[i.ID] = i; i.Lifecycle == Gone {
			delete(next, i.ID)
		}
	}
	if l.Reset && !news.Reset {
		for _, id := range slices.Sorted(maps.Keys(f.known)) {
			if _, still := next[id]; !still && !slices.ContainsFunc(news.Instances, func(i Instance) bool { return i.ID == id }) {
				i := f.known[id]
				i.Lifecycle = Gone
				news.Instances = append(news.Instances, i)
			}
		}
	}
	f.listed, f.history, f.version, f.known, f.failures = true, history, l.Generation, next, 0
	if age > staleAge {
		f.step()
	}
	return news, nil
}

// Failed takes note of a call that failed, and returns how long to wait for the
// next. A service that turned the call away may have said for how long.
func (f *Feed) Failed(advised time.Duration) time.Duration {
	f.failures++
	f.step()
	if f.failures < len(f.addresses) {
		return f.between(0, stepPause)
	}
	round := min(f.failures/len(f.addresses)-1, 16)
	pause := min(firstPause<<round, mostPause)
	if advised = min(advised, mostAdvised); advised > pause {
		return f.between(advised, advised+advised/2)
	}
	return f.between(pause/2, pause+pause/2)
}

func (f *Feed) step() { f.at = (f.at + 1) % len(f.addresses) }

func (f *Feed) between(least, most time.Duration) time.Duration {
	return least + time.Duration(f.random.Int64N(int64(most-least)+1))
}
