package main

import (
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"
)

// An old process must answer the requests on its connections before the platform sends SIGKILL, also
// when a class has a longer deadline than the platform counts.
func TestOldProcessAnswersBeforeKill(t *testing.T) {
	t.Parallel()
	checker := newRequestChecker()
	platform := newPlatform(t, true, platformSettings{Deadline: 7500 * time.Millisecond, Sockets: 256}, 2, checker)
	for _, backend := range platform.backends {
		backend.behave(func() (serverBehaviour, time.Duration) { return hangs, 0 })
	}
	old := platform.start()
	var clients []*client
	for index, class := range []string{"safe", "keyed", "unsafe", "safe", "keyed", "unsafe"} {
		sender := &client{name: class + string(rune('a'+index)), address: platform.address, checker: checker, random: rand.New(rand.NewPCG(1, uint64(index))), classes: []string{class},
			timeout: func() time.Duration { return 6 * time.Second }}
		if !sender.connect(t.Context()) {
			t.Fatal("no connection")
		}
		defer sender.close()
		clients = append(clients, sender)
	}
	awaitAnswer(t, "http://"+old.control+"/control/counters", "app.clients.new:6|g") // the old process has the connections
	platform.start()
	var sends sync.WaitGroup
	for index, sender := range clients {
		sends.Go(func() {
			sleep(t.Context(), time.Duration(index)*400*time.Millisecond)
			sender.request(t.Context())
		})
	}
	lived, killed := old.terminate(platform.current().killAfter())
	sends.Wait()
	violations, summary := checker.result()
	t.Logf("the old process ended after %v, killed %t; %s", lived, killed, summary)
	for _, violation := range violations {
		t.Error(violation)
	}
	if killed {
		t.Errorf("the old process had to be killed; its log:\n%s", old.log.String())
	}
	if text := old.log.String(); strings.Contains(text, "panic") {
		t.Error(text)
	}
}
