// Wirehost hosts controllers by name and drives them over the wire: batches of
// events on standard input, one reply for each on standard output.
package main

import (
	"fmt"
	"io"
	"os"

	"oxbowbridge/admission"
	"oxbowbridge/internal/simproto"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// host is the set of instances of this process, by name.
type host struct {
	instances map[string]*instance
	touched   []*instance // of this batch, in the order of their first message
}

type instance struct {
	name       string
	controller *admission.Controller
	classes    int
	tenants    int
	events     []admission.Event
	seen       bool // in touched
}

// run answers batches until the input ends. Each reply is one write.
func run(in io.Reader, out io.Writer) error {
	h := &host{instances: map[string]*instance{}}
	r := simproto.NewReader(in)
	var reply []byte
	for {
		batch, err := r.Read()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.sort(batch); err != nil {
			return err
		}
		reply = h.answer(batch, reply[:0])
		if _, err := out.Write(simproto.AppendAck(reply)); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// sort hands the messages of a batch to their instances.
func (h *host) sort(batch simproto.Batch) error {
	h.touched = h.touched[:0]
	for _, item := range batch.Messages {
		inst := h.instances[item.Instance]
		switch {
		case item.Create != nil:
			c, err := admission.New(item.Create.Settings, item.Create.Seed)
			if err != nil {
				return fmt.Errorf("line %d: CREATE: field settings: %w", item.Line, err)
			}
			if inst == nil {
				inst = &instance{name: item.Instance}
				h.instances[item.Instance] = inst
			}
			inst.controller, inst.events = c, inst.events[:0]
			inst.classes, inst.tenants = len(item.Create.Settings.Classes), len(item.Create.Settings.Tenants)
		case inst == nil || inst.controller == nil:
			return fmt.Errorf("line %d: field i: unknown instance %q", item.Line, item.Instance)
		case item.Detach:
			inst.controller, inst.events = nil, inst.events[:0]
			continue
		default:
			if a, ok := item.Event.(admission.Arrival); ok {
				if a.Class >= inst.classes {
					return fmt.Errorf("line %d: ACCEPT: field category: no class %d", item.Line, a.Class)
				}
				if a.Tenant >= max(1, inst.tenants) {
					return fmt.Errorf("line %d: ACCEPT: field realm: no tenant %d", item.Line, a.Tenant)
				}
			}
			inst.events = append(inst.events, item.Event)
		}
		if !inst.seen {
			inst.seen = true
			h.touched = append(h.touched, inst)
		}
	}
	return nil
}

// answer appends the actions of all instances that the batch touched.
func (h *host) answer(batch simproto.Batch, reply []byte) []byte {
	for _, inst := range h.touched {
		inst.seen = false
		if inst.controller == nil {
			continue
		}
		reply = guard(inst.name, reply, func() []byte {
			actions := inst.controller.Handle(batch.Now, inst.events)
			out := reply
			if len(actions) > 0 {
				out = simproto.AppendInstance(out, inst.name)
			}
			for _, a := range actions {
				out = simproto.AppendAction(out, a)
			}
			return out
		})
		inst.events = inst.events[:0]
	}
	return reply
}

// guard turns a panic of an instance into PANIC, in place of its actions.
func guard(name string, reply []byte, handle func() []byte) (out []byte) {
	defer func() {
		if p := recover(); p != nil {
			out = simproto.AppendPanic(simproto.AppendInstance(reply, name), fmt.Sprint(p))
		}
	}()
	return handle()
}
