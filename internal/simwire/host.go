package simwire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"snowquay/balancer"
)

// batch is one line from the bench.
type batch struct {
	Clock *float64 `json:"clock"`
	In    []line   `json:"in"`
}

// instance is one coordinator and what came in for it in the batch at hand.
type instance struct {
	number  int
	manager *balancer.Balancer
	news    balancer.Events
	waiting bool
}

// Host answers batches from in on out until the input ends. Instances share nothing but the line
// that their orders travel on. Events that can be skipped are told on complaints; an error means
// that the stream could not be followed.
func Host(in io.Reader, out, complaints io.Writer) error {
	reader := bufio.NewReaderSize(in, 1<<20)
	instances := map[int]*instance{}
	reply := &pen{}
	for at := 1; ; at++ {
		text, err := reader.ReadBytes('\n')
		if len(text) == 0 && errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %v", at, err)
		}
		var b batch
		var kind *json.UnmarshalTypeError
		if err := json.Unmarshal(text, &b); errors.As(err, &kind) && kind.Field != "" {
			return fmt.Errorf("line %d: an event cannot be read: %v", at, err)
		} else if err != nil {
			return fmt.Errorf("line %d is no batch: %v", at, err)
		}
		if b.Clock == nil {
			return fmt.Errorf("line %d is no batch: it has no clock", at)
		}
		reply.out, reply.none = append(reply.out[:0], `{"actions":[`...), true
		if err := answer(b, instances, reply, at, complaints); err != nil {
			return err
		}
		reply.out = append(reply.out, "]}\n"...)
		if _, err := out.Write(reply.out); err != nil {
			return fmt.Errorf("line %d: the answer could not be written: %v", at, err)
		}
	}
}

// answer sorts a batch's events by instance, in their order, and calls each instance once.
func answer(b batch, instances map[int]*instance, reply *pen, at int, complaints io.Writer) error {
	var turn []*instance
	for _, l := range b.In {
		if l.Coordinator == nil {
			return fmt.Errorf("line %d: %q names no instance", at, l.Type)
		}
		i := instances[*l.Coordinator]
		switch l.Type {
		case "Provision":
			manager, err := provision(l)
			if err != nil {
				return fmt.Errorf("line %d: %v", at, err)
			}
			if i == nil {
				i = &instance{number: *l.Coordinator}
				instances[i.number] = i
			}
			i.manager, i.news = manager, balancer.Events{}
		case "Destroy":
			if i == nil || i.manager == nil {
				return fmt.Errorf("line %d: Destroy for instance %d, which does not run", at, *l.Coordinator)
			}
			i.manager, i.news = nil, balancer.Events{}
			continue
		default:
			if i == nil || i.manager == nil {
				return fmt.Errorf("line %d: %q for instance %d, which does not run", at, l.Type, *l.Coordinator)
			}
			if err := add(&i.news, l); err != nil {
				fmt.Fprintf(complaints, "line %d: skipped an event: %v\n", at, err)
				continue
			}
		}
		if !i.waiting {
			i.waiting = true
			turn = append(turn, i)
		}
	}
	for _, i := range turn {
		i.waiting = false
		if i.manager == nil {
			continue
		}
		reply.instance = i.number
		i.manager.Reconcile(*b.Clock, i.news, reply)
		i.news = balancer.Events{}
	}
	return nil
}
