package scale

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// load is a little traffic through real gateways: requests at a steady rate, on
// connections that are kept.
type load struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	statuses map[int]int64 // answers by status; 0: no answer
}

const (
	loadTimeout = 3 * time.Second
	loadWorkers = 16
)

// startLoad spreads requests over gateways until stop is called.
func startLoad(gateways []string, perS float64) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel, statuses: map[int]int64{}}
	client := &http.Client{Timeout: loadTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: loadWorkers, DisableCompression: true}}
	due := make(chan int)
	l.wg.Go(func() {
		t := time.NewTicker(time.Duration(float64(time.Second) / perS))
		defer t.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			select {
			case <-ctx.Done():
				return
			case due <- n:
			}
		}
	})
	for range loadWorkers {
		l.wg.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case n := <-due:
					if status := sendRequest(ctx, client, gateways[n%len(gateways)], n); ctx.Err() == nil {
						l.count(status)
					}
				}
			}
		})
	}
	return l
}

// ask makes one request of the class and a plan that the gateways' settings have.
func sendRequest(ctx context.Context, client *http.Client, gateway string, n int) (status int) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+gateway+"/browse", nil)
	if err != nil {
		return 0
	}
	const customers = 40
	for key, value := range map[string]string{"X-Correlation-Id": fmt.Sprintf("%016x", n+1), "X-Service-Class": "browse", "X-Tier": "basic",
		"X-Api-Key": fmt.Sprintf("%016x", n%customers+1), "X-Time-Left-Ms": "1500", "X-Call-Terms": "units=1,spread=1,first=0"} {
		req.Header.Set(key, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (l *load) count(status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[status]++
}

// stop ends the load and returns how requests were answered, by status.
func (l *load) stop() map[int]int64 {
	l.cancel()
	l.wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.statuses
}
