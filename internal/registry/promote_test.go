package registry

import (
	"context"
	"strings"
	"testing"

	"dunlintray/internal/wal"
)

// promoteServer promotes a follower by its control address.
func promoteServer(t *testing.T, follower *testServer) {
	t.Helper()
	if code, text, _ := call(t, "POST", "http://"+follower.control+"/control/promote", ""); code != 200 {
		t.Fatalf("promote: %d %s", code, text)
	}
}

// awaitFenced waits until a server rejects registrations because another writer has replaced it.
func awaitFenced(t *testing.T, server *testServer) {
	t.Helper()
	waitUntil(t, "the replaced writer rejects writes", func() bool {
		code, text, _ := call(t, "PUT", server.url("/s-late"), registration(5))
		return code == 503 && strings.Contains(text, "has replaced this writer")
	})
}

func hasInstance(t *testing.T, server *testServer, id string) func() bool {
	return func() bool {
		code, text, _ := call(t, "GET", server.url(""), "")
		return code == 200 && strings.Contains(text, id)
	}
}

// Guards against two writers after a second promotion: a follower that was pointed at another writer
// notified the first one of its promotion, and not the one that it replaced.
func TestSecondPromotionFencesEveryFormerWriter(t *testing.T) {
	firstDir, secondDir := wal.Dir(t.TempDir()), wal.Dir(t.TempDir())
	first, _ := startPersistent(t, firstDir, "127.0.0.1:0", "")
	first.register(t, "s-1", 5)
	second, _ := startPersistent(t, secondDir, "127.0.0.1:0", first.address)
	third, thirdFollower := startPersistent(t, wal.Dir(t.TempDir()), "127.0.0.1:0", first.address)
	waitUntil(t, "the second has the list", hasInstance(t, second, "s-1"))
	waitUntil(t, "the third has the list", hasInstance(t, third, "s-1"))
	first.stopAndWait(t)
	promoteServer(t, second)
	second.register(t, "s-2", 5)
	thirdFollower.SetSource(t.Context(), second.address)
	waitUntil(t, "the third replicates the second", hasInstance(t, third, "s-2"))
	second.stopAndWait(t)
	promoteServer(t, third)

	second, _ = startPersistent(t, secondDir, second.address, first.address) // as it was configured
	awaitFenced(t, second)
	first, _ = startPersistent(t, firstDir, first.address, "")
	awaitFenced(t, first)
	third.register(t, "s-3", 5)
}

// Guards against two writers after a promoted follower was started again without the key writer, as the
// on-call page asks: it no longer notified the writer that it had replaced.
func TestRestartedWriterFencesFormerWriter(t *testing.T) {
	oldDir, dir := wal.Dir(t.TempDir()), wal.Dir(t.TempDir())
	old, _ := startPersistent(t, oldDir, "127.0.0.1:0", "")
	old.register(t, "s-1", 5)
	follower, _ := startPersistent(t, dir, "127.0.0.1:0", old.address)
	waitUntil(t, "the follower has the list", hasInstance(t, follower, "s-1"))
	old.stopAndWait(t)
	promoteServer(t, follower)
	follower.register(t, "s-2", 5)
	follower.stopAndWait(t)
	for range 2 { // the second time the record comes from a snapshot, or from the log again
		follower, _ = startPersistent(t, dir, follower.address, "")
		follower.stopAndWait(t)
	}
	startPersistent(t, dir, follower.address, "")
	old, _ = startPersistent(t, oldDir, old.address, "")
	awaitFenced(t, old)
}

// A promotion and a new source may cross: in either order the promoted follower stays the writer, and
// the caller of SetSource returns.
func TestSetSourceCrossesPromotion(t *testing.T) {
	for name, promoteFirst := range map[string]bool{"promotion first": true, "source first": false} {
		t.Run(name, func(t *testing.T) {
			writer, _ := startPersistent(t, wal.Dir(t.TempDir()), "127.0.0.1:0", "")
			writer.register(t, "s-1", 5)
			server, follower := startPersistent(t, wal.Dir(t.TempDir()), "127.0.0.1:0", writer.address)
			waitUntil(t, "the follower has the list", hasInstance(t, server, "s-1"))
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			const other = "127.0.0.1:1"
			if promoteFirst {
				promoteServer(t, server)
				follower.SetSource(ctx, other)
			} else {
				follower.SetSource(ctx, other)
				promoteServer(t, server)
			}
			if ctx.Err() != nil {
				t.Error("SetSource did not return")
			}
			if address := follower.writer.Load(); address != nil {
				t.Errorf("the promoted follower redirects writes to %s", *address)
			}
			server.register(t, "s-2", 5)
			awaitFenced(t, writer)
		})
	}
}

// The replaced writers outlive a snapshot, and a list that a group takes over has none.
func TestSnapshotKeepsReplacedWriters(t *testing.T) {
	store := newTestStore(testLimits, 0)
	if err := store.Restore(0, store.PromotionRecord(0, "h2", 5000, []string{"a:1", "b:2"})); err != nil {
		t.Fatal(err)
	}
	restored := newStore(testLimits, 0)
	for _, record := range store.SnapshotRecords() {
		if err := restored.Restore(0, record); err != nil {
			t.Fatal(err)
		}
	}
	if got := strings.Join(restored.replacedWriters, " "); got != "a:1 b:2" {
		t.Errorf("replaced writers %q after a snapshot", got)
	}
}
