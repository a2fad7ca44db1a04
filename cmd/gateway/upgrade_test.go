package main

import (
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"
)

// What users saw: during upgrades, requests on connections that were open before them ended
// without an answer.
//
// Order of events: the new process serves; the old one gets SIGTERM; clients go on sending on
// the connections that they hold to it; its servers hang; the platform kills it once the
// longest deadline, counted as 3 s at most, plus 0.7 s is over.
//
// Cause: the old process took 3 s for the least time that a stop has, where the page means the
// most. With a class of 7.5 s it held requests until 7.9 s, and the kill came at 3.7 s.
//
// Evidence: 22 of 23 old processes lived until the kill, 3.75 s behind SIGTERM; all requests
// lost were of classes with 6 and 7.5 s, came 0.7 s or more behind SIGTERM, and ended with it.
func TestOldProcessAnswersBeforeTheKill(t *testing.T) {
	t.Parallel()
	j := newJudge()
	p := newPlatform(t, true, platformSettings{Deadline: 7500 * time.Millisecond, Sockets: 256}, 2, j)
	for _, b := range p.backends {
		b.behave(func() (behaviour, time.Duration) { return hangs, 0 })
	}
	old := p.start()
	var clients []*client
	for n, class := range []string{"safe", "keyed", "unsafe", "safe", "keyed", "unsafe"} {
		c := &client{name: class + string(rune('a'+n)), address: p.address, judge: j, random: rand.New(rand.NewPCG(1, uint64(n))), classes: []string{class},
			patience: func() time.Duration { return 6 * time.Second }}
		if !c.connect(t.Context()) {
			t.Fatal("no connection")
		}
		defer c.close()
		clients = append(clients, c)
	}
	until(t, "http://"+old.control+"/control/counters", "app.clients.new:6|g") // the old process has them
	p.start()
	var sends sync.WaitGroup
	for n, c := range clients {
		sends.Go(func() {
			sleep(t.Context(), time.Duration(n)*400*time.Millisecond)
			c.request(t.Context())
		})
	}
	lived, killed := old.terminate(p.current().killAfter())
	sends.Wait()
	broken, summary := j.verdict()
	t.Logf("the old process lived for %v, killed %t; %s", lived, killed, summary)
	for _, b := range broken {
		t.Error(b)
	}
	if killed {
		t.Errorf("the old process had to be killed; it said:\n%s", old.log.String())
	}
	if text := old.log.String(); strings.Contains(text, "panic") {
		t.Error(text)
	}
}
