package scale

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// load sends requests to real gateways at a steady rate over kept-alive connections.
type load struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	statuses map[int]int64 // by status; 0: no answer
}

const (
	loadTimeout = 3 * time.Second
	loadWorkers = 16
)

// startLoad distributes requests over the gateways until stop is called.
func startLoad(gateways []string, requestsPerS float64) *load {
	ctx, cancel := context.WithCancel(context.Background())
	traffic := &load{cancel: cancel, statuses: map[int]int64{}}
	client := &http.Client{Timeout: loadTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: loadWorkers, DisableCompression: true}}
	due := make(chan int)
	traffic.wg.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / requestsPerS))
		defer ticker.Stop()
		for sequence := 0; ; sequence++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			select {
			case <-ctx.Done():
				return
			case due <- sequence:
			}
		}
	})
	for range loadWorkers {
		traffic.wg.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case sequence := <-due:
					if status := sendRequest(ctx, client, gateways[sequence%len(gateways)], sequence); ctx.Err() == nil {
						traffic.count(status)
					}
				}
			}
		})
	}
	return traffic
}

// sendRequest sends a request with a class and a plan that the gateways' settings define. It
// returns the status of the answer, or 0 without one.
func sendRequest(ctx context.Context, client *http.Client, gateway string, sequence int) (status int) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+gateway+"/browse", nil)
	if err != nil {
		return 0
	}
	const customers = 40
	for key, value := range map[string]string{"X-Correlation-Id": fmt.Sprintf("%016x", sequence+1), "X-Service-Class": "browse", "X-Tier": "basic",
		"X-Api-Key": fmt.Sprintf("%016x", sequence%customers+1), "X-Time-Left-Ms": "1500", "X-Call-Terms": "units=1,spread=1,first=0"} {
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

// stop ends the load and returns the number of answers by status; 0 stands for no answer.
func (l *load) stop() map[int]int64 {
	l.cancel()
	l.wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.statuses
}
