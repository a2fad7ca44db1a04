package registry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeGroup agrees at once, or loses its writer in the middle: then nobody knows whether
// the records are taken, and they come by the next writer, or never.
type fakeGroup struct {
	mu      sync.Mutex
	random  *rand.Rand
	members []*Server
	writer  int
	defect  string
}

type fakeMember struct {
	*fakeGroup
	n int
}

func (f fakeMember) Age() time.Duration { return 0 }

func (f fakeMember) Append(records [][]byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.n != f.writer {
		return errors.New("another writes")
	}
	lost := f.random.IntN(4) == 0
	taken := !lost || f.random.IntN(2) == 0
	if lost {
		f.members[f.n].SetWriter(false, "")
	}
	if taken {
		for n, m := range f.members {
			if f.defect != "a member misses what its writer was not told of" || !lost || n != f.n {
				m.ApplyList(records)
			}
		}
	}
	if !lost {
		return nil
	}
	f.writer = f.random.IntN(len(f.members))
	f.members[f.writer].SetWriter(true, "")
	return errors.New("it is not known")
}

func (f *fakeGroup) now() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.writer
}

// compare looks whether the members have one list, and in it what was kept.
func (f *fakeGroup) compare(kept map[string]int64, tried int64) error {
	f.mu.Lock() // the history's beginning may be on its way
	defer f.mu.Unlock()
	texts := map[string]bool{}
	for n, m := range f.members {
		texts[fmt.Sprintf("%s", m.SaveList())] = true
		m.mu.Lock()
		for id, started := range kept {
			if e := m.store.entries[id]; e == nil || e.StartedAtMs < started || e.StartedAtMs > tried {
				m.mu.Unlock()
				return fmt.Errorf("member %d has %+v of %s, which was at %d", n, e, id, started)
			}
		}
		m.mu.Unlock()
	}
	if len(texts) > 1 {
		return fmt.Errorf("members differ: %d lists", len(texts))
	}
	return nil
}

// agree has a group's list written through changes of its writer, and says what is
// wrong with it.
func agree(t *testing.T, seed uint64, defect string) error {
	f := &fakeGroup{random: rand.New(rand.NewPCG(seed, 1)), defect: defect}
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	limits := Limits{Lease: time.Hour, Instances: 100, History: 1000, HistoryBytes: 1 << 20}
	addresses := map[uint64]string{1: "a", 2: "b", 3: "c"}
	for n := range 3 {
		s := NewGroupMember(addresses[uint64(n+1)], limits, ServerLimits{Connections: 10, Watchers: 10, ListingsPerSecond: 100}, time.Now(), rand.New(rand.NewPCG(seed, uint64(n))))
		s.SetGroup(fakeMember{f, n})
		f.members = append(f.members, s)
		wg.Go(func() { s.persister.run(ctx) })
	}
	f.members[0].SetWriter(true, "")
	for end := time.Now().Add(patience); !f.members[f.now()].begun(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("no history was begun")
		}
	}
	random := rand.New(rand.NewPCG(seed, 2))
	kept, tried := map[string]int64{}, int64(0)
	answered := 0
	for range 150 {
		tried++
		i := Instance{ID: fmt.Sprint("s-", random.IntN(5)), HostPort: "127.0.0.1:1", Zone: "a", MachineType: "m", Weight: 1, StartedAtMs: tried}
		if random.IntN(3) > 0 { // it may move from service to service
			i.Service, i.Region = fmt.Sprint("service-", random.IntN(4)), "r"
		}
		s := f.members[f.now()]
		w, err := s.writeChange(func(now time.Duration) (WriteResult, error) { return s.store.Register(now, i, nil) })
		if err == nil {
			if w.Lifecycle != Ready {
				return fmt.Errorf("answered %+v", w)
			}
			kept[i.ID] = tried
			answered++
		}
		if err := f.compare(kept, tried); err != nil {
			return err
		}
		if seed%2 == 0 && random.IntN(10) == 0 { // a member starts again from a snapshot
			f.mu.Lock()
			m := f.members[random.IntN(3)]
			err := m.RestoreList(m.SaveList())
			f.mu.Unlock()
			if err != nil {
				return err
			}
		}
	}
	if answered < 30 {
		return fmt.Errorf("%d writes were answered", answered)
	}
	return nil
}

// begun says whether a history has begun here.
func (s *Server) begun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.history != ""
}

// Through any changes of who writes, also in the middle of a change of which nobody knows
// whether it is taken, all members have one list, with all that was answered as done.
func TestAgreed(t *testing.T) {
	for seed := range uint64(10) {
		if err := agree(t, seed, ""); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
	found := 0
	for seed := range uint64(4) {
		if agree(t, seed, "a member misses what its writer was not told of") != nil {
			found++
		}
	}
	if found < 3 {
		t.Errorf("the defect is found in %d of 4", found)
	}
	nobody := NewGroupMember("a", Limits{Lease: time.Second, Instances: 1, History: 1, HistoryBytes: 1}, ServerLimits{Connections: 1, Watchers: 1, ListingsPerSecond: 1}, time.Now(), rand.New(rand.NewPCG(1, 1)))
	if _, err := nobody.store.Read(time.Hour, -1, ""); err == nil || !strings.Contains(err.Error(), "not complete yet") || nobody.ready() {
		t.Errorf("a list that has not begun is read: %v", err)
	}
}
