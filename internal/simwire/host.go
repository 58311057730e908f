// Package simwire runs balancers for the simulator. It translates the simulator's JSON lines into events of the
// decision module, and the module's commands into reply lines.
package simwire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"snowquay/balancer"
)

// readBufferSize is the size of the input buffer in bytes.
const readBufferSize = 1 << 20

// errNoClock means that a batch has no time.
var errNoClock = errors.New("clock is missing")

// host runs the coordinator instances of one stream. The instances share no state; only their commands are written to
// the same reply line.
type host struct {
	instances map[int]*instance
	reply     replyWriter
	errorLog  io.Writer
}

// instance is a coordinator with the events of its next round.
type instance struct {
	number     int
	balancer   *balancer.Balancer // nil while the instance is stopped
	events     balancer.Events
	needsRound bool // it received an event in the current batch
}

// reset replaces the balancer and discards the pending events. A nil balancer stops the instance.
func (i *instance) reset(next *balancer.Balancer) {
	i.balancer = next
	i.events = balancer.Events{}
}

// Host reads batches of events from in, one per line, and writes a line of actions to out for each, until the input ends.
// Invalid events are skipped and reported to errorLog. Host returns an error with the line's number if a line is not a
// valid batch or the reply cannot be written.
func Host(in io.Reader, out, errorLog io.Writer) error {
	reader := bufio.NewReaderSize(in, readBufferSize)
	h := &host{instances: map[int]*instance{}, errorLog: errorLog}
	for line := 1; ; line++ {
		text, err := reader.ReadBytes('\n')
		ended := errors.Is(err, io.EOF)
		if err != nil && !ended {
			return fmt.Errorf("line %d: %w", line, err)
		}
		if ended && len(text) == 0 {
			return nil
		}
		next, err := readBatch(text, line)
		if err != nil {
			return err
		}
		reply, err := h.handleBatch(next, line)
		if err != nil {
			return err
		}
		if _, err := out.Write(reply); err != nil {
			return fmt.Errorf("line %d: writing the reply: %w", line, err)
		}
	}
}

func readBatch(text []byte, line int) (batch, error) {
	var next batch
	err := json.Unmarshal(text, &next)
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return batch{}, fmt.Errorf("line %d: invalid event: %w", line, err)
	}
	if err != nil {
		return batch{}, fmt.Errorf("line %d: invalid batch: %w", line, err)
	}
	if next.Clock == nil {
		return batch{}, fmt.Errorf("line %d: invalid batch: %w", line, errNoClock)
	}
	return next, nil
}

// handleBatch dispatches the events of a batch in order, runs a round of each instance that received any, and returns
// the reply.
func (h *host) handleBatch(received batch, line int) ([]byte, error) {
	var due []*instance
	for i := range received.Events {
		target, err := h.dispatch(&received.Events[i], line)
		if err != nil {
			return nil, err
		}
		if target != nil && !target.needsRound {
			target.needsRound = true
			due = append(due, target)
		}
	}
	h.reply.start()
	for _, target := range due {
		target.needsRound = false
		if target.balancer == nil {
			continue
		}
		h.reply.instance = target.number
		target.balancer.Reconcile(*received.Clock, target.events, &h.reply)
		target.events = balancer.Events{}
	}
	return h.reply.finish(), nil
}

// dispatch applies an event to its instance. It returns the instance if the event requires a round of it, and nil
// otherwise.
func (h *host) dispatch(incoming *event, line int) (*instance, error) {
	if incoming.Coordinator == nil {
		return nil, fmt.Errorf("line %d: event %q has no coordinator-id", line, incoming.Type)
	}
	number := *incoming.Coordinator
	target := h.instances[number]
	running := target != nil && target.balancer != nil
	switch {
	case incoming.Type == "Provision":
		return h.provision(incoming, number, line)
	case incoming.Type == "Destroy" && !running:
		return nil, fmt.Errorf("line %d: Destroy for instance %d, which is not running", line, number)
	case incoming.Type == "Destroy":
		target.reset(nil)
		return nil, nil
	case !running:
		return nil, fmt.Errorf("line %d: event %q for instance %d, which is not running", line, incoming.Type, number)
	}
	if err := incoming.appendTo(&target.events); err != nil {
		_, _ = fmt.Fprintf(h.errorLog, "line %d: skipped an event: %v\n", line, err) // a failed write does not end the stream
		return nil, nil
	}
	return target, nil
}

// provision starts an instance, or restarts it with new settings if it is running.
func (h *host) provision(e *event, number, line int) (*instance, error) {
	started, err := e.newBalancer()
	if err != nil {
		return nil, fmt.Errorf("line %d: %w", line, err)
	}
	target := h.instances[number]
	if target == nil {
		target = &instance{number: number}
		h.instances[number] = target
	}
	target.reset(started)
	return target, nil
}
