// Wirehost runs the decisions of many gateways for the simulator. It reads batches of events from standard
// input and writes one reply for each to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"dunlintray/internal/wire"
	"dunlintray/rules"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// gatewayInstance is one simulated gateway. The field gateway is nil while it is stopped.
type gatewayInstance struct {
	settings rules.Settings
	gateway  *rules.Gateway
	actions  []rules.Action
	inReply  bool // it is in host.active
}

// host holds the instances, which share no state.
type host struct {
	instances map[uint32]*gatewayInstance
	active    []uint32 // gateway numbers with events in this batch, in order of their first event
}

// serve answers batches until the input ends. It returns nil if the input ends between two batches.
func serve(input io.Reader, output io.Writer) error {
	decoder := wire.NewDecoder(bufio.NewReaderSize(input, 1<<16))
	writer := bufio.NewWriter(output)
	host := host{instances: map[uint32]*gatewayInstance{}}
	var reply wire.Reply
	for {
		batch, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := host.process(batch, &reply); err != nil {
			return fmt.Errorf("batch %d: %w", batch.Seq, err)
		}
		if _, err := writer.Write(reply.Bytes()); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// process passes the records of a batch to their instances and fills the reply.
func (h *host) process(batch wire.Batch, reply *wire.Reply) error {
	reply.Reset(batch.Seq)
	h.active = h.active[:0]
	for _, record := range batch.Records {
		if err := h.processRecord(batch.Now, record); err != nil {
			return err
		}
	}
	for _, number := range h.active {
		instance := h.instances[number]
		instance.inReply = false
		if err := reply.Add(number, instance.actions); err != nil {
			return err
		}
	}
	return nil
}

// processRecord passes one record to its instance, which an Attach record creates.
func (h *host) processRecord(now float64, record wire.Record) error {
	instance := h.instances[record.Gateway]
	if instance == nil {
		if record.Start == nil {
			return fmt.Errorf("gateway %d has not been started", record.Gateway)
		}
		instance = &gatewayInstance{}
		h.instances[record.Gateway] = instance
	}
	if !instance.inReply {
		instance.inReply, instance.actions = true, instance.actions[:0]
		h.active = append(h.active, record.Gateway)
	}
	switch {
	case record.Start != nil:
		instance.settings = record.Start.Settings
		instance.actions = instance.actions[:0]
		instance.gateway, instance.actions = rules.New(record.Start.Settings, record.Start.Seed, now, instance.actions)
	case record.Stop:
		instance.gateway, instance.actions = nil, instance.actions[:0]
	case instance.gateway != nil: // events for a stopped gateway are ignored
		if request, ok := record.Event.(rules.Request); ok {
			if request.Class >= len(instance.settings.Classes) || request.Plan >= len(instance.settings.Plans) {
				return fmt.Errorf("request %d: class %d or plan %d is not in the settings", request.ID, request.Class, request.Plan)
			}
		}
		instance.actions = instance.gateway.Handle(now, record.Event, instance.actions)
	}
	return nil
}
