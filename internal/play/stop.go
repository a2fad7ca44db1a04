package play

import (
	"sync"
	"syscall"
	"time"
)

// stopFleet stops all processes and returns the gateways that had to be killed. If the run
// is not complete, the gateways have less time, and none are returned.
func (e *engine) stopFleet(completed bool) (hung []int) {
	wait := 2 * time.Second
	if completed {
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
	end := func(all []*process, report bool) {
		var wg sync.WaitGroup
		for number, p := range all {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGTERM)
			wg.Go(func() {
				if p.awaitExit(wait) && report {
					mu.Lock()
					hung = append(hung, number)
					mu.Unlock()
				}
			})
		}
		wg.Wait()
	}
	end(e.gateways, completed)
	end(e.services, false)
	close(done)
	drained.Wait()
	return hung
}

// close closes the emulator's sockets and waits for all goroutines.
func (e *engine) close() {
	for _, pool := range e.clients {
		pool.close()
	}
	for _, proxies := range e.proxies {
		for _, proxy := range proxies {
			proxy.server.Close()
		}
	}
	for _, endpoint := range e.endpoints {
		endpoint.close()
	}
	if e.datagrams != nil {
		e.datagrams.Close()
	}
	for _, relay := range e.linkRelays {
		relay.Close()
	}
	if e.claim != nil {
		e.claim.Close()
	}
	e.http.CloseIdleConnections()
	e.wg.Wait()
}
