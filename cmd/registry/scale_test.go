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

// TestLongList measures a group with a long list. With INSTANCES set to the length of the list, it
// measures how long a new member takes to copy the list. With CROWD set to a number of backends,
// these renew, and a tenth as many readers watch, while the writer is killed.
func TestLongList(t *testing.T) {
	instances, _ := strconv.Atoi(os.Getenv("INSTANCES"))
	renewing, _ := strconv.Atoi(os.Getenv("CROWD"))
	if instances+renewing == 0 {
		t.Skip("a measurement that runs if INSTANCES or CROWD is set")
	}
	members := newGroupProcesses(t, 3, true)
	for n := range 3 {
		text, err := os.ReadFile(members.config(n))
		if err != nil {
			t.Fatal(err)
		}
		members.kill(n)
		text = append(bytes.TrimSuffix(bytes.Replace(text, []byte(`"lease_ms":1000`), []byte(`"lease_ms":15000`), 1), []byte("}")),
			fmt.Sprintf(`,"limits":{"instances":%d,"connections":4096,"watchers":3000,"lists_per_s":1000}}`, max(instances, renewing, 1000))...)
		os.WriteFile(members.config(n), text, 0o600)
		members.start(n)
	}
	httpClient := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 300}}
	defer httpClient.CloseIdleConnections()
	writer := members.waitForWriter(0, 1, 2)
	waitFor(t, "writes are accepted", func() bool { return members.callConcurrently(httpClient, 1, registration) == 0 })
	startedAt := time.Now()
	backends := max(instances, renewing)
	failed := members.callConcurrently(httpClient, backends, registration)
	t.Logf("%d instances registered in %v, %d were rejected", backends, time.Since(startedAt).Round(time.Millisecond), failed)
	groupClient := group.NewClient(members.addresses)
	defer groupClient.Close()
	if instances > 0 {
		before, err := groupClient.Status(t.Context(), members.addresses[writer])
		if err != nil {
			t.Fatal(err)
		}
		learner := members.join(4, true)
		startedAt = time.Now()
		if err := groupClient.Add(t.Context(), 4, group.Member{Address: members.addresses[learner], RegistryAddress: members.registryAddresses[learner]}); err != nil {
			t.Fatal(err)
		}
		members.waitForVoters(groupClient, 1, 2, 3, 4)
		took := time.Since(startedAt)
		status, err := groupClient.Status(t.Context(), members.addresses[learner])
		writerStatus, writerErr := groupClient.Status(t.Context(), members.addresses[members.waitForWriter(0, 1, 2)])
		if err := errors.Join(err, writerErr); err != nil {
			t.Fatal(err)
		}
		t.Logf("a learner has them and votes after %v; its snapshot has %d bytes; peak memory: learner %d MB, writer %d MB; term %d before and %d after", took.Round(time.Millisecond), status.SnapshotBytes, members.peakMemoryMB(learner), members.peakMemoryMB(writer), before.Term, writerStatus.Term)
	}
	if renewing == 0 {
		return
	}
	// Each backend renews about three times per lease.
	deadline := time.Now().Add(time.Minute)
	var reads, renewals, failedRenewals atomic.Int64
	var longestGapMs atomic.Int64 // longest time without an acknowledged renewal
	ctx, cancel := context.WithDeadline(t.Context(), deadline)
	defer cancel()
	var wg sync.WaitGroup
	watchClient := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2000}}
	defer watchClient.CloseIdleConnections()
	for reader := range renewing / 10 { // readers parse only the version of an answer
		wg.Go(func() {
			for member, since := reader, ""; ctx.Err() == nil; {
				req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+members.registryAddresses[member%3]+registry.Path+since, nil)
				resp, err := watchClient.Do(req)
				if err == nil && resp.StatusCode == http.StatusOK {
					var version int64
					_, err = fmt.Fscanf(resp.Body, `{"generation":%d`, &version)
					io.Copy(io.Discard, resp.Body)
					since = fmt.Sprintf("?since=%d&timeout_ms=4000&history=%s", version, resp.Header.Get(registry.HistoryHeader))
					reads.Add(1)
				} else {
					member++
					err = errors.Join(err, errors.New("no list in the answer"))
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
	lastRenewalMs := atomic.Int64{}
	lastRenewalMs.Store(time.Now().UnixMilli())
	for worker := range 300 {
		wg.Go(func() {
			for id := worker; ctx.Err() == nil; id = (id + 300) % renewing {
				pace := time.NewTimer(time.Duration(5_000/(renewing/300+1)) * time.Millisecond)
				req, _ := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s%s/s-%d/renew", members.registryAddresses[id%3], registry.Path, id), strings.NewReader(`{"startedAtMs":5}`))
				resp, err := httpClient.Do(req)
				if err == nil {
					resp.Body.Close()
				}
				if err == nil && resp.StatusCode == http.StatusOK {
					now := time.Now().UnixMilli()
					if gap := now - lastRenewalMs.Swap(now); gap > longestGapMs.Load() {
						longestGapMs.Store(gap)
					}
					renewals.Add(1)
				} else if failedRenewals.Add(1); err == nil && resp.StatusCode == http.StatusNotFound {
					t.Errorf("the lease of backend %d has ended", id)
				}
				<-pace.C
			}
		})
	}
	// The gap is measured after all readers have the list: sending full lists uses all cores.
	waitFor(t, "all readers have the list", func() bool { return reads.Load() >= int64(renewing/10) })
	longestGapMs.Store(0)
	waitFor(t, "renewals continue", func() bool { return renewals.Load() > int64(renewing) })
	before := renewals.Load()
	writer = members.waitForWriter(0, 1, 2)
	members.kill(writer)
	waitFor(t, "renewals continue without the killed writer", func() bool { return renewals.Load() > before+int64(renewing) })
	members.start(writer)
	wg.Wait()
	_, text, _ := get("http://" + members.registryAddresses[writer] + registry.Path)
	listing, err := registry.ParseListing([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d backends and %d readers: %d renewals, %d failed, the longest time without one %d ms; %d answers to readers; %d instances at the end", renewing, renewing/10, renewals.Load(), failedRenewals.Load(), longestGapMs.Load(), reads.Load(), len(listing.Instances))
}

// TestOutages measures how long writes are unavailable after each kind of failure of the writer.
// OUTAGES sets how often each failure is repeated.
func TestOutages(t *testing.T) {
	runs, err := strconv.Atoi(os.Getenv("OUTAGES"))
	if err != nil {
		t.Skip("a measurement that runs if OUTAGES is set")
	}
	members := newGroupProcesses(t, 3, false)
	client := group.NewClient(members.addresses)
	defer client.Close()
	for _, fault := range []struct {
		name       string
		begin, end func(w int)
	}{
		{"terminated", members.terminate, func(w int) { members.start(w) }},
		{"killed", func(w int) { members.kill(w) }, func(w int) { members.start(w) }},
		{"frozen", func(w int) { members.signal(w, syscall.SIGSTOP) }, func(w int) { members.signal(w, syscall.SIGCONT) }},
		{"partitioned", func(w int) { members.setLinks(w, link.Dropped) }, func(w int) { members.setLinks(w, link.Up) }},
	} {
		gaps := hdrhistogram.New(1, waitTimeout.Milliseconds(), 3)
		for range runs {
			writer := members.waitForWriter(0, 1, 2)
			last, longest := time.Now(), time.Duration(0)
			write := func() {
				callCtx, cancel := context.WithTimeout(t.Context(), waitTimeout)
				defer cancel()
				if result, err := client.Do(callCtx, ledger.Command{Op: ledger.Put, Name: "a", Value: []byte("1")}); err != nil || result.Code != ledger.OK {
					t.Fatal(result, err)
				}
				longest = max(longest, time.Since(last))
				last = time.Now()
			}
			for range 5 {
				write()
			}
			fault.begin(writer)
			for range 20 {
				write()
			}
			gaps.RecordValue(longest.Milliseconds())
			fault.end(writer)
			waitFor(t, "all members are up to date again", func() bool {
				current := members.waitForWriter(0, 1, 2)
				status, err := client.Status(t.Context(), members.addresses[current])
				if err != nil || len(status.Lag) < 3 {
					return false
				}
				for _, lag := range status.Lag {
					if lag > 0 {
						return false
					}
				}
				return true
			})
		}
		t.Logf("the writer %s, %d times: no write for %d ms at p50, %d at p99, %d at most", fault.name, runs, gaps.ValueAtQuantile(50), gaps.ValueAtQuantile(99), gaps.Max())
	}
}
