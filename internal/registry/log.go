package registry

import (
	"maps"
	"slices"
	"sync"
)

// Record is one change as it has to last: the instance as it is from this
// version on. The first of a history has no instance, and the history's name.
type Record struct {
	History  string
	Version  int64
	Instance Instance
}

// Log keeps what must last. Append returns once it does. Replay gives back, in
// order, at least the last record of each instance that is not Gone, and the last
// of all.
type Log interface {
	Append(Record) error
	Replay(func(Record) error) error
}

// Memory is a Log that lasts as long as the process. It holds no more than there
// are instances.
type Memory struct {
	mu   sync.Mutex
	last Record
	live map[string]Record
}

// NewMemory returns an empty one.
func NewMemory() *Memory { return &Memory{live: map[string]Record{}} }

// Append keeps a record.
func (m *Memory) Append(r Record) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last = r
	switch {
	case r.Instance.ID == "":
		clear(m.live)
	case r.Instance.Lifecycle == Gone:
		delete(m.live, r.Instance.ID)
	default:
		m.live[r.Instance.ID] = r
	}
	return nil
}

// Replay gives the records back.
func (m *Memory) Replay(f func(Record) error) error {
	m.mu.Lock()
	records := slices.SortedFunc(maps.Values(m.live), func(a, b Record) int { return int(a.Version - b.Version) })
	if n := len(records); m.last.Version > 0 && (n == 0 || records[n-1].Version != m.last.Version) {
		records = append(records, m.last)
	}
	m.mu.Unlock()
	for _, r := range records {
		if err := f(r); err != nil {
			return err
		}
	}
	return nil
}
