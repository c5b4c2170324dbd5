package main

import (
	"errors"
	"fmt"
	"time"

	"oxbowbridge/admission"
	"oxbowbridge/internal/simproto"
)

// Errors of messages that fit the protocol and not the instance; they are
// wrapped in a *simproto.LineError.
var (
	errUnknownInstance = errors.New("unknown instance")
	errUnknownClass    = errors.New("no class")
	errUnknownTenant   = errors.New("no tenant")
)

// host holds the instances of this process, by name. They share nothing.
type host struct {
	instances map[string]*instance
	touched   []*instance // of this batch, in the order of their first message
}

// instance is one simulated server. Its controller is nil while it is dead.
type instance struct {
	name       string
	controller *admission.Controller
	classes    int // in its settings
	tenants    int // in its settings
	events     []admission.Event
	touched    bool // in host.touched
}

func newHost() *host { return &host{instances: map[string]*instance{}} }

// deliver hands the messages of a batch to their instances.
func (h *host) deliver(batch simproto.Batch) error {
	h.touched = h.touched[:0]
	for i := range batch.Messages {
		if err := h.deliverOne(&batch.Messages[i]); err != nil {
			return err
		}
	}
	return nil
}

func (h *host) deliverOne(m *simproto.Message) error {
	if m.Create != nil {
		return h.create(m)
	}
	inst := h.instances[m.Instance]
	if inst == nil || inst.controller == nil {
		return m.InstanceError(fmt.Errorf("%w %q", errUnknownInstance, m.Instance))
	}
	if m.Detach {
		inst.controller = nil
		inst.events = inst.events[:0]
		return nil
	}
	if err := inst.check(m); err != nil {
		return err
	}
	inst.events = append(inst.events, m.Event)
	h.touch(inst)
	return nil
}

// create starts an instance, or starts it anew.
func (h *host) create(m *simproto.Message) error {
	controller, err := admission.New(m.Create.Settings, m.Create.Seed)
	if err != nil {
		return m.SettingsError(err)
	}
	inst := h.instances[m.Instance]
	if inst == nil {
		inst = &instance{name: m.Instance}
		h.instances[m.Instance] = inst
	}
	inst.controller = controller
	inst.events = inst.events[:0]
	inst.classes = len(m.Create.Settings.Classes)
	inst.tenants = len(m.Create.Settings.Tenants)
	h.touch(inst)
	return nil
}

// check refuses an arrival whose class or tenant the instance does not have.
// Without tenants, tenant 0 is allowed.
func (inst *instance) check(m *simproto.Message) error {
	arrival, ok := m.Event.(admission.Arrival)
	if !ok {
		return nil
	}
	if arrival.Class >= inst.classes {
		return m.ClassError(fmt.Errorf("%w %d", errUnknownClass, arrival.Class))
	}
	if arrival.Tenant >= max(1, inst.tenants) {
		return m.TenantError(fmt.Errorf("%w %d", errUnknownTenant, arrival.Tenant))
	}
	return nil
}

func (h *host) touch(inst *instance) {
	if !inst.touched {
		inst.touched = true
		h.touched = append(h.touched, inst)
	}
}

// reply appends the actions of all instances that the batch touched.
func (h *host) reply(now time.Duration, reply []byte) []byte {
	for _, inst := range h.touched {
		inst.touched = false
		if inst.controller == nil {
			continue
		}
		reply = guard(inst.name, reply, func() []byte { return inst.handle(now, reply) })
		inst.events = inst.events[:0]
	}
	return reply
}

// handle lets the controller decide, and appends its actions.
func (inst *instance) handle(now time.Duration, reply []byte) []byte {
	actions := inst.controller.Handle(now, inst.events)
	if len(actions) > 0 {
		reply = simproto.AppendInstance(reply, inst.name)
	}
	for _, a := range actions {
		reply = simproto.AppendAction(reply, a)
	}
	return reply
}

// guard turns a panic of an instance into a PANIC line, in place of its actions.
func guard(name string, reply []byte, handle func() []byte) (out []byte) {
	defer func() {
		if p := recover(); p != nil {
			out = simproto.AppendPanic(simproto.AppendInstance(reply, name), fmt.Sprint(p))
		}
	}()
	return handle()
}
