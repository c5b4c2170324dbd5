package main

import (
	"errors"
	"fmt"
	"time"

	"oxbowbridge/admission"
	"oxbowbridge/internal/simproto"
)

// Errors of messages that are well-formed but invalid for the instance. They are wrapped in a
// *simproto.LineError.
var (
	errUnknownInstance = errors.New("unknown instance")
	errUnknownClass    = errors.New("unknown class")
	errUnknownTenant   = errors.New("unknown tenant")
)

// host holds the instances of this process by name. Instances share no state.
type host struct {
	instances      map[string]*instance
	batchInstances []*instance // instances with messages in this batch, in the order of their first message
}

// instance is one simulated server. Its controller is nil after a DETACH, until the next CREATE.
type instance struct {
	name       string
	controller *admission.Controller
	classes    int // number of classes in the settings
	tenants    int // number of tenants in the settings
	events     []admission.Event
	inBatch    bool // is in host.batchInstances
}

func newHost() *host { return &host{instances: map[string]*instance{}} }

// deliver passes the messages of a batch to their instances.
func (h *host) deliver(batch simproto.Batch) error {
	h.batchInstances = h.batchInstances[:0]
	for i := range batch.Messages {
		if err := h.deliverMessage(&batch.Messages[i]); err != nil {
			return err
		}
	}
	return nil
}

func (h *host) deliverMessage(m *simproto.Message) error {
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
	if err := inst.validate(m); err != nil {
		return err
	}
	inst.events = append(inst.events, m.Event)
	h.addToBatch(inst)
	return nil
}

// create starts or restarts an instance.
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
	h.addToBatch(inst)
	return nil
}

// validate returns an error for an arrival whose class or tenant is not in the instance's settings. If
// the settings have no tenants, tenant 0 is valid.
func (inst *instance) validate(m *simproto.Message) error {
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

func (h *host) addToBatch(inst *instance) {
	if !inst.inBatch {
		inst.inBatch = true
		h.batchInstances = append(h.batchInstances, inst)
	}
}

// reply calls the controllers of all instances with messages in this batch and appends their actions
// to the reply.
func (h *host) reply(now time.Duration, reply []byte) []byte {
	for _, inst := range h.batchInstances {
		inst.inBatch = false
		if inst.controller == nil {
			continue
		}
		reply = recoverPanic(inst.name, reply, func() []byte { return inst.handle(now, reply) })
		inst.events = inst.events[:0]
	}
	return reply
}

// handle passes the events to the controller and appends the controller's actions to the reply.
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

// recoverPanic calls handle. If handle panics, recoverPanic appends a PANIC line to the reply instead of
// actions.
func recoverPanic(name string, reply []byte, handle func() []byte) (out []byte) {
	defer func() {
		if p := recover(); p != nil {
			out = simproto.AppendPanic(simproto.AppendInstance(reply, name), fmt.Sprint(p))
		}
	}()
	return handle()
}
