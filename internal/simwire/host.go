// Package simwire hosts balancers for the simulator and translates between its JSON lines and the decision module.
package simwire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"snowquay/balancer"
)

// readBufferSize is the size in bytes of the buffer for the lines read.
const readBufferSize = 1 << 20

// errNoClock means that a batch does not say at which time it happens.
var errNoClock = errors.New("it has no clock")

// host runs the instances of one stream. Instances share nothing but the line that their commands travel on.
type host struct {
	instances  map[int]*instance
	reply      replyWriter
	complaints io.Writer
}

// instance is one coordinator and the events of its next round.
type instance struct {
	number   int
	balancer *balancer.Balancer // nil: it does not run
	events   balancer.Events
	isDue    bool // it has a round in the batch at hand
}

// reset replaces the instance's balancer; nil stops it.
func (i *instance) reset(next *balancer.Balancer) {
	i.balancer = next
	i.events = balancer.Events{}
}

// Host answers each batch of events from in with a line of actions on out until the input ends. Events that it skips
// are reported on complaints. An error means that the stream could not be followed, and names the line.
func Host(in io.Reader, out, complaints io.Writer) error {
	reader := bufio.NewReaderSize(in, readBufferSize)
	h := &host{instances: map[int]*instance{}, complaints: complaints}
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
		reply, err := h.answer(next, line)
		if err != nil {
			return err
		}
		if _, err := out.Write(reply); err != nil {
			return fmt.Errorf("line %d: the answer could not be written: %w", line, err)
		}
	}
}

func readBatch(text []byte, line int) (batch, error) {
	var next batch
	err := json.Unmarshal(text, &next)
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return batch{}, fmt.Errorf("line %d: an event cannot be read: %w", line, err)
	}
	if err != nil {
		return batch{}, fmt.Errorf("line %d is no batch: %w", line, err)
	}
	if next.Clock == nil {
		return batch{}, fmt.Errorf("line %d is no batch: %w", line, errNoClock)
	}
	return next, nil
}

// answer passes the events of a batch to their instances in order, runs a round of each instance that received any,
// and returns the reply.
func (h *host) answer(received batch, line int) ([]byte, error) {
	var due []*instance
	for i := range received.Events {
		target, err := h.take(&received.Events[i], line)
		if err != nil {
			return nil, err
		}
		if target != nil && !target.isDue {
			target.isDue = true
			due = append(due, target)
		}
	}
	h.reply.start()
	for _, target := range due {
		target.isDue = false
		if target.balancer == nil {
			continue
		}
		h.reply.instance = target.number
		target.balancer.Reconcile(*received.Clock, target.events, &h.reply)
		target.events = balancer.Events{}
	}
	return h.reply.finish(), nil
}

// take passes an event to its instance, and returns the instance if the event requires a round of it.
func (h *host) take(incoming *event, line int) (*instance, error) {
	if incoming.Coordinator == nil {
		return nil, fmt.Errorf("line %d: %q names no instance", line, incoming.Type)
	}
	number := *incoming.Coordinator
	target := h.instances[number]
	running := target != nil && target.balancer != nil
	switch {
	case incoming.Type == "Provision":
		return h.provision(incoming, number, line)
	case incoming.Type == "Destroy" && !running:
		return nil, fmt.Errorf("line %d: Destroy for instance %d, which does not run", line, number)
	case incoming.Type == "Destroy":
		target.reset(nil)
		return nil, nil
	case !running:
		return nil, fmt.Errorf("line %d: %q for instance %d, which does not run", line, incoming.Type, number)
	}
	if err := incoming.addTo(&target.events); err != nil {
		_, _ = fmt.Fprintf(h.complaints, "line %d: skipped an event: %v\n", line, err) // the stream goes on without it
		return nil, nil
	}
	return target, nil
}

// provision starts an instance, or starts it again.
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
