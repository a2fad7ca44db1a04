package scale

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// backendFleet runs the hollow backends of a process. One goroutine owns the churn; others
// make its calls.
type backendFleet struct {
	config   *BackendHost
	client   *writeClient
	server   *http.Server // answers requests of real gateways, for all backends
	listener net.Listener
	churn    *churn

	commands      chan Command
	stateRequests chan chan churnState
	calls         atomic.Int64 // made so far
	refused       atomic.Int64
	ended         chan struct{}
}

// churnState is a snapshot of the churn.
type churnState struct {
	serving int
	settled bool
}

// callResult is the outcome of a call.
type callResult struct {
	call       call
	status     int
	version    int64
	answeredAt int64 // Unix nanoseconds
}

func newBackendFleet(config *BackendHost, seed uint64) (*backendFleet, error) {
	listener, err := net.Listen("tcp", config.AnswerAddress)
	if err != nil {
		return nil, err
	}
	settings := churnSettings{RenewInterval: config.RenewInterval, DrainTime: config.DrainTime, DownTime: config.DownTime, RegistrationsPerS: config.RegistrationsPerS}
	fleet := &backendFleet{config: config, listener: listener, client: newWriteClient(config.Members, config.AnswerAddress, config.Connections),
		churn:    newChurn(config.Backends, settings, rand.New(rand.NewPCG(seed, 1))),
		commands: make(chan Command, 1), stateRequests: make(chan chan churnState), ended: make(chan struct{})}
	fleet.server = &http.Server{ReadHeaderTimeout: backendCallTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "served\n")
	})}
	return fleet, nil
}

// initialUptime is the age that backends report at the start of a run, so that real gateways
// do not treat them as cold.
const initialUptime = 10 * time.Minute

const changeReportInterval = 200 * time.Millisecond // between two reports of changes

func (f *backendFleet) run(ctx context.Context, ready func(), changed func([]Change)) {
	defer close(f.ended)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { f.server.Serve(f.listener) })
	defer f.server.Close()
	calls, results := make(chan call), make(chan callResult)
	for range f.config.Connections {
		wg.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case outgoing := <-calls:
					status, version := f.client.do(ctx, outgoing)
					select {
					case results <- callResult{outgoing, status, version, time.Now().UnixNano()}:
					case <-ctx.Done():
						return
					}
				}
			}
		})
	}
	f.loop(ctx, calls, results, ready, changed)
}

// loop owns the churn: it starts due calls, handles their results and executes commands until
// ctx is done.
func (f *backendFleet) loop(ctx context.Context, calls chan<- call, results <-chan callResult, ready func(), changed func([]Change)) {
	startedAt := time.Now()
	now := func() time.Duration { return time.Since(startedAt) }
	f.churn.start(now(), startedAt.Add(-initialUptime).UnixMilli())
	var queue []call // due calls that wait for a connection
	var changes []Change
	reported := false
	timer := time.NewTimer(0)
	defer timer.Stop()
	report := time.NewTicker(changeReportInterval)
	defer report.Stop()
	for {
		queue = append(queue, f.churn.dueCalls(now())...)
		var sendTo chan<- call
		var nextCall call
		for len(queue) > 0 && queue[0].incarnation != queue[0].backend.incarnation {
			queue = queue[1:] // the backend was stopped after the call became due
		}
		if len(queue) > 0 {
			sendTo, nextCall = calls, queue[0]
		}
		if at, ok := f.churn.nextDue(); ok {
			timer.Reset(max(0, at-now()))
		}
		select {
		case <-ctx.Done():
			return
		case sendTo <- nextCall:
			queue = queue[1:]
		case result := <-results:
			f.calls.Add(1)
			if result.status != http.StatusOK {
				f.refused.Add(1)
			}
			if f.churn.handleResult(now(), time.Now().UnixMilli(), result.call, result.status, result.version) {
				b := result.call.backend
				changes = append(changes, Change{Version: result.version, AnsweredAt: result.answeredAt, Backend: b.Number, Service: b.Service, Zone: b.Zone, Region: b.Region})
			}
		case command := <-f.commands:
			f.apply(command, now())
		case state := <-f.stateRequests:
			state <- churnState{f.churn.serving, f.churn.settled()}
		case <-report.C:
			if len(changes) > 0 {
				changed(changes)
				changes = nil
			}
			if !reported && f.churn.settled() {
				reported = true
				ready()
			}
		case <-timer.C:
		}
	}
}

func (f *backendFleet) apply(command Command, now time.Duration) {
	startedAtMs := time.Now().UnixMilli()
	switch {
	case command.RestartsPerS != nil:
		f.churn.setRestarts(now, *command.RestartsPerS)
	case command.Stop != nil:
		f.churn.stop(command.Stop.includesBackend)
	case command.Resume != nil:
		f.churn.resume(now, startedAtMs, command.Resume.includesBackend)
	}
}

func (f *backendFleet) execute(command Command) {
	select {
	case f.commands <- command:
	case <-f.ended:
	}
}

func (f *backendFleet) sample(sample *Sample) {
	sample.Calls, sample.Refused, sample.Writer = f.calls.Load(), f.refused.Load(), f.client.target()
	state := make(chan churnState, 1)
	select {
	case f.stateRequests <- state:
		current := <-state
		sample.Serving, sample.Settled = current.serving, current.settled
	case <-f.ended:
	}
}

func (f *backendFleet) views() []View { return nil }

func (f *backendFleet) latency([]Change) *Latency { return &Latency{} }
