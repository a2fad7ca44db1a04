package play

import (
	"sync"
	"syscall"
	"time"
)

// stopFleet stops all processes and returns the gateways that had to be killed. If the run
// was cut short, the gateways have less time, and none are reported.
func (e *engine) stopFleet(whole bool) (hung []int) {
	wait := 2 * time.Second
	if whole {
		wait = e.scenario.KillAfter()
	}
	// Events are drained, so that no sender blocks.
	done := make(chan struct{})
	var drained sync.WaitGroup
	drained.Go(func() {
		for {
			select {
			case <-e.events:
			case <-done:
				return
			}
		}
	})
	var mu sync.Mutex
	end := func(all []*process, tell bool) {
		var wg sync.WaitGroup
		for n, p := range all {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGTERM)
			wg.Go(func() {
				if p.awaitExit(wait) && tell {
					mu.Lock()
					hung = append(hung, n)
					mu.Unlock()
				}
			})
		}
		wg.Wait()
	}
	end(e.gateways, whole)
	end(e.services, false)
	close(done)
	drained.Wait()
	return hung
}

// close closes the emulator's sockets and waits for all goroutines.
func (e *engine) close() {
	for _, c := range e.clients {
		c.close()
	}
	for _, all := range e.proxies {
		for _, a := range all {
			a.server.Close()
		}
	}
	for _, p := range e.endpoints {
		p.close()
	}
	if e.datagrams != nil {
		e.datagrams.Close()
	}
	for _, r := range e.linkRelays {
		r.Close()
	}
	if e.claim != nil {
		e.claim.Close()
	}
	e.http.CloseIdleConnections()
	e.wg.Wait()
}
