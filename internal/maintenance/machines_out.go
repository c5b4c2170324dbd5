package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// maxNamedMachines is the maximum number of machines that a wait reason names.
const maxNamedMachines = 5

// machineOut is a machine out of service, as a wait reason names it.
type machineOut struct {
	name  string
	phase Phase        // phase of its order; "" if it is out without an order
	state MachineState // shown in place of the phase if the machine is out without an order
}

func (m machineOut) String() string {
	return fmt.Sprintf("%s (%s)", m.name, cmp.Or(m.phase.String(), m.state.String()))
}

// machinesOut counts machines out of service, and keeps the few that a wait reason names. Machines without an
// order come first, because no list of orders shows them. The rest are sorted by name.
type machinesOut struct {
	count int
	named []machineOut // at most maxNamedMachines, sorted
}

func (l *machinesOut) add(m machineOut) {
	l.count++
	position, _ := slices.BinarySearchFunc(l.named, m, compareMachinesOut)
	l.named = slices.Insert(l.named, position, m)
	l.named = l.named[:min(len(l.named), maxNamedMachines)]
}

func compareMachinesOut(a, b machineOut) int {
	withOrder := func(m machineOut) int { return min(len(m.phase), 1) }
	return cmp.Or(cmp.Compare(withOrder(a), withOrder(b)), cmp.Compare(a.name, b.name))
}

// String returns ": " and the named machines, to be appended to a wait reason, or "" if no machine is out.
func (l *machinesOut) String() string {
	if l.count == 0 {
		return ""
	}
	var texts []string
	for _, m := range l.named {
		texts = append(texts, m.String())
	}
	if more := l.count - len(l.named); more > 0 {
		texts = append(texts, fmt.Sprintf("%d more", more))
	}
	return ": " + strings.Join(texts, ", ")
}
