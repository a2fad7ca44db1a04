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

// fakeGroup commits records immediately or loses its writer during Append. The outcome is then
// unknown to the writer: the records may or may not be committed.
type fakeGroup struct {
	mu      sync.Mutex
	random  *rand.Rand
	members []*Server
	writer  int
	defect  string
}

type fakeMember struct {
	*fakeGroup
	index int
}

func (f fakeMember) Age() time.Duration { return 0 }

func (f fakeMember) Append(records [][]byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.index != f.writer {
		return errors.New("another member is the writer")
	}
	lost := f.random.IntN(4) == 0
	committed := !lost || f.random.IntN(2) == 0
	if lost {
		f.members[f.index].SetWriter(false, "")
	}
	if committed {
		for n, member := range f.members {
			if f.defect != "a replaced writer does not apply committed records" || !lost || n != f.index {
				member.ApplyList(records)
			}
		}
	}
	if !lost {
		return nil
	}
	f.writer = f.random.IntN(len(f.members))
	f.members[f.writer].SetWriter(true, "")
	return errors.New("outcome unknown")
}

func (f *fakeGroup) writerIndex() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.writer
}

// checkMembers checks that all members have the same list, with all acknowledged writes.
func (f *fakeGroup) checkMembers(acknowledged map[string]int64, lastStart int64) error {
	f.mu.Lock() // the beginning of the history may be in progress
	defer f.mu.Unlock()
	snapshots := map[string]bool{}
	for n, member := range f.members {
		snapshots[fmt.Sprintf("%s", member.SaveList())] = true
		member.mu.Lock()
		for id, started := range acknowledged {
			if e := member.store.entries[id]; e == nil || e.StartedAtMs < started || e.StartedAtMs > lastStart {
				member.mu.Unlock()
				return fmt.Errorf("member %d has %+v for %s, expected a start of at least %d", n, e, id, started)
			}
		}
		member.mu.Unlock()
	}
	if len(snapshots) > 1 {
		return fmt.Errorf("members have %d different lists", len(snapshots))
	}
	return nil
}

// runGroup writes to a group while its writer changes, and returns the first violation.
func runGroup(t *testing.T, seed uint64, defect string) error {
	group := &fakeGroup{random: rand.New(rand.NewPCG(seed, 1)), defect: defect}
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	limits := Limits{Lease: time.Hour, Instances: 100, History: 1000, HistoryBytes: 1 << 20}
	addresses := map[uint64]string{1: "a", 2: "b", 3: "c"}
	for n := range 3 {
		member := NewGroupMember(addresses[uint64(n+1)], limits, ServerLimits{Connections: 10, Watchers: 10, ListingsPerSecond: 100}, time.Now(), rand.New(rand.NewPCG(seed, uint64(n))))
		member.SetGroup(fakeMember{group, n})
		group.members = append(group.members, member)
		wg.Go(func() { member.persister.run(ctx) })
	}
	group.members[0].SetWriter(true, "")
	for end := time.Now().Add(testTimeout); !group.members[group.writerIndex()].hasHistory(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("no history has begun")
		}
	}
	random := rand.New(rand.NewPCG(seed, 2))
	acknowledged, lastStart := map[string]int64{}, int64(0)
	acknowledgedWrites := 0
	for range 150 {
		lastStart++
		instance := Instance{ID: fmt.Sprint("s-", random.IntN(5)), HostPort: "127.0.0.1:1", Zone: "a", MachineType: "m", Weight: 1, StartedAtMs: lastStart}
		if random.IntN(3) > 0 { // instances may move between services
			instance.Service, instance.Region = fmt.Sprint("service-", random.IntN(4)), "r"
		}
		member := group.members[group.writerIndex()]
		result, err := member.writeChange(func(now time.Duration) (WriteResult, error) { return member.store.Register(now, instance, nil) })
		if err == nil {
			if result.Lifecycle != Ready {
				return fmt.Errorf("acknowledged with %+v, expected Ready", result)
			}
			acknowledged[instance.ID] = lastStart
			acknowledgedWrites++
		}
		if err := group.checkMembers(acknowledged, lastStart); err != nil {
			return err
		}
		if seed%2 == 0 && random.IntN(10) == 0 { // a member restarts from a snapshot
			group.mu.Lock()
			restored := group.members[random.IntN(3)]
			err := restored.RestoreList(restored.SaveList())
			group.mu.Unlock()
			if err != nil {
				return err
			}
		}
	}
	if acknowledgedWrites < 30 {
		return fmt.Errorf("%d writes were acknowledged, expected at least 30", acknowledgedWrites)
	}
	return nil
}

// hasHistory reports whether a history has begun.
func (s *Server) hasHistory() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.history != ""
}

// All members have the same list with all acknowledged writes, even if the writer changes while
// the outcome of a write is unknown.
func TestGroupMembersApplyTheSameList(t *testing.T) {
	for seed := range uint64(10) {
		if err := runGroup(t, seed, ""); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
	found := 0
	for seed := range uint64(4) {
		if runGroup(t, seed, "a replaced writer does not apply committed records") != nil {
			found++
		}
	}
	if found < 3 {
		t.Errorf("the planted defect was found with %d of 4 seeds, expected at least 3", found)
	}
	member := NewGroupMember("a", Limits{Lease: time.Second, Instances: 1, History: 1, HistoryBytes: 1}, ServerLimits{Connections: 1, Watchers: 1, ListingsPerSecond: 1}, time.Now(), rand.New(rand.NewPCG(1, 1)))
	if _, err := member.store.Read(time.Hour, -1, ""); err == nil || !strings.Contains(err.Error(), "not complete yet") || member.ready() {
		t.Errorf("read before a history has begun: %v", err)
	}
}
