package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dunlintray/internal/group"
	"dunlintray/internal/ledger"
	"dunlintray/internal/link"
	"dunlintray/internal/registry"
)

// INSTANCES tells how long a list a learner is filled with, to measure how long that
// takes and what it costs; with CROWD, so many backends renew and a tenth of that many
// readers watch while the writer is killed.
func TestLongList(t *testing.T) {
	instances, _ := strconv.Atoi(os.Getenv("INSTANCES"))
	crowd, _ := strconv.Atoi(os.Getenv("CROWD"))
	if instances+crowd == 0 {
		t.Skip("INSTANCES or CROWD asks for it")
	}
	m := newMembers(t, 3, true)
	for n := range 3 {
		text, err := os.ReadFile(m.config(n))
		if err != nil {
			t.Fatal(err)
		}
		m.kill(n)
		text = append(bytes.TrimSuffix(bytes.Replace(text, []byte(`"lease_ms":1000`), []byte(`"lease_ms":15000`), 1), []byte("}")),
			fmt.Sprintf(`,"limits":{"instances":%d,"connections":4096,"watchers":3000,"lists_per_s":1000}}`, max(instances, crowd, 1000))...)
		os.WriteFile(m.config(n), text, 0o600)
		m.start(n)
	}
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 300}}
	defer client.CloseIdleConnections()
	w := m.writer(0, 1, 2)
	until(t, "writes are taken", func() bool { return m.crowd(client, 1, registration) == 0 })
	began := time.Now()
	n := max(instances, crowd)
	failed := m.crowd(client, n, registration)
	t.Logf("%d instances registered in %v, %d were not taken", n, time.Since(began).Round(time.Millisecond), failed)
	c := group.NewClient(m.at)
	defer c.Close()
	if instances > 0 {
		before, err := c.Status(t.Context(), m.at[w])
		if err != nil {
			t.Fatal(err)
		}
		fourth := m.join(4, true)
		began = time.Now()
		if err := c.Add(t.Context(), 4, group.Member{Address: m.at[fourth], RegistryAddress: m.lists[fourth]}); err != nil {
			t.Fatal(err)
		}
		m.votes(c, 1, 2, 3, 4)
		took := time.Since(began)
		s, err := c.Status(t.Context(), m.at[fourth])
		now, err2 := c.Status(t.Context(), m.at[m.writer(0, 1, 2)])
		if err := errors.Join(err, err2); err != nil {
			t.Fatal(err)
		}
		t.Logf("a learner has them and votes after %v; its snapshot has %d bytes; most memory: learner %d MB, writer %d MB; term %d before and %d after", took.Round(time.Millisecond), s.SnapshotBytes, m.peak(fourth), m.peak(w), before.Term, now.Term)
	}
	if crowd == 0 {
		return
	}
	// A third of the lease is the pace of renewals.
	stop := time.Now().Add(time.Minute)
	var told, renewals, not atomic.Int64
	var outage atomic.Int64 // the longest without a renewal that was answered, in ms
	ctx, end := context.WithDeadline(t.Context(), stop)
	defer end()
	var wg sync.WaitGroup
	watching := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2000}}
	defer watching.CloseIdleConnections()
	for k := range crowd / 10 { // readers that look at no more of an answer than its version
		wg.Go(func() {
			for at, since := k, ""; ctx.Err() == nil; {
				req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.lists[at%3]+registry.Path+since, nil)
				resp, err := watching.Do(req)
				if err == nil && resp.StatusCode == http.StatusOK {
					var version int64
					_, err = fmt.Fscanf(resp.Body, `{"generation":%d`, &version)
					io.Copy(io.Discard, resp.Body)
					since = fmt.Sprintf("?since=%d&timeout_ms=4000&history=%s", version, resp.Header.Get(registry.HistoryHeader))
					told.Add(1)
				} else {
					at++
					err = errors.Join(err, errors.New("not told"))
				}
				if resp != nil {
					resp.Body.Close()
				}
				if err != nil {
					time.Sleep(500 * time.Millisecond)
				}
			}
		})
	}
	last := atomic.Int64{}
	last.Store(time.Now().UnixMilli())
	for k := range 300 {
		wg.Go(func() {
			for id := k; ctx.Err() == nil; id = (id + 300) % crowd {
				pace := time.NewTimer(time.Duration(5_000/(crowd/300+1)) * time.Millisecond)
				req, _ := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s%s/s-%d/renew", m.lists[id%3], registry.Path, id), strings.NewReader(`{"startedAtMs":5}`))
				resp, err := client.Do(req)
				if err == nil {
					resp.Body.Close()
				}
				if err == nil && resp.StatusCode == http.StatusOK {
					now := time.Now().UnixMilli()
					if gap := now - last.Swap(now); gap > outage.Load() {
						outage.Store(gap)
					}
					renewals.Add(1)
				} else if not.Add(1); err == nil && resp.StatusCode == http.StatusNotFound {
					t.Errorf("backend %d has lapsed", id)
				}
				<-pace.C
			}
		})
	}
	// Whole lists for all at once take what cores there are, the members' too.
	until(t, "all readers have the list", func() bool { return told.Load() >= int64(crowd/10) })
	outage.Store(0)
	until(t, "renewals go on", func() bool { return renewals.Load() > int64(crowd) })
	before := renewals.Load()
	w = m.writer(0, 1, 2)
	m.kill(w)
	until(t, "renewals go on without the writer", func() bool { return renewals.Load() > before+int64(crowd) })
	m.start(w)
	wg.Wait()
	_, text, _ := get("http://" + m.lists[w] + registry.Path)
	l, err := registry.ParseListing([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d backends and %d readers: %d renewals, %d not answered as done, none answered for %d ms at most; %d answers to readers; %d instances at the end", crowd, crowd/10, renewals.Load(), not.Load(), outage.Load(), told.Load(), len(l.Instances))
}

// OUTAGES tells how often each trouble of the writer is played, to measure how long
// nobody gets an answer to a write.
func TestOutages(t *testing.T) {
	runs, err := strconv.Atoi(os.Getenv("OUTAGES"))
	if err != nil {
		t.Skip("OUTAGES asks for it")
	}
	m := newMembers(t, 3, false)
	c := group.NewClient(m.at)
	defer c.Close()
	for _, trouble := range []struct {
		name         string
		strike, heal func(w int)
	}{
		{"told to end", m.end, func(w int) { m.start(w) }},
		{"killed", func(w int) { m.kill(w) }, func(w int) { m.start(w) }},
		{"frozen", func(w int) { m.signal(w, syscall.SIGSTOP) }, func(w int) { m.signal(w, syscall.SIGCONT) }},
		{"cut off", func(w int) { m.cut(w, link.Dropped) }, func(w int) { m.cut(w, link.Up) }},
	} {
		gaps := hdrhistogram.New(1, patience.Milliseconds(), 3)
		for range runs {
			w := m.writer(0, 1, 2)
			last, longest := time.Now(), time.Duration(0)
			write := func() {
				within, cancel := context.WithTimeout(t.Context(), patience)
				defer cancel()
				if r, err := c.Do(within, ledger.Command{Op: ledger.Put, Name: "a", Value: []byte("1")}); err != nil || r.Code != ledger.OK {
					t.Fatal(r, err)
				}
				longest = max(longest, time.Since(last))
				last = time.Now()
			}
			for range 5 {
				write()
			}
			trouble.strike(w)
			for range 20 {
				write()
			}
			gaps.RecordValue(longest.Milliseconds())
			trouble.heal(w)
			until(t, "all are there again", func() bool {
				now := m.writer(0, 1, 2)
				s, err := c.Status(t.Context(), m.at[now])
				if err != nil || len(s.Lag) < 3 {
					return false
				}
				for _, lag := range s.Lag {
					if lag > 0 {
						return false
					}
				}
				return true
			})
		}
		t.Logf("the writer %s, %d times: no write for %d ms at p50, %d at p99, %d at most", trouble.name, runs, gaps.ValueAtQuantile(50), gaps.ValueAtQuantile(99), gaps.Max())
	}
}
