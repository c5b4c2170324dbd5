package testrig

import (
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// RegisterOp is a read, a write or a compare-and-set of one key.
type RegisterOp struct {
	Key      string
	Write    bool
	Value    string // the value to write
	Expected string // the current value that a compare-and-set requires; "" for an unconditional write
}

// CompareFailed is the result of a compare-and-set that found a value other than the expected one. It
// differs from all values that clients write, because these are JSON strings.
const CompareFailed = "Unequal"

// compareSucceeded is the result of a compare-and-set that wrote its value.
const compareSucceeded = "done"

// registerModel is the porcupine model of a register. The operations on each key are checked
// independently of those on other keys.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			key := o.Input.(RegisterOp).Key
			byKey[key] = append(byKey[key], o)
		}
		var partitions [][]porcupine.Operation
		for _, operations := range byKey {
			partitions = append(partitions, operations)
		}
		return partitions
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(RegisterOp)
		switch {
		case !in.Write:
			return output == state, state
		case in.Expected == "" || in.Expected == state && output != CompareFailed:
			return true, in.Value
		}
		return output == CompareFailed && in.Expected != state, state
	},
}

// History records the operations of clients with timestamps from the clock of this process. The counts
// may be read once all clients have stopped.
type History struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	started    time.Time

	Writes        int // writes that were acknowledged, or rejected because a comparison failed
	Reads         int // reads that returned a value, or that the key does not exist
	UnknownWrites int // writes of unknown outcome
	FailedReads   int // failed reads
}

// NewHistory returns an empty history that starts now.
func NewHistory() *History { return &History{started: time.Now()} }

// NeverReturned is the end time, in nanoseconds, of an operation of unknown outcome. It is later than the
// end time of any other operation.
const NeverReturned = int64(1) << 60

// Add records one operation with its result. The parameters call and end are the times at which the
// operation started and ended, in nanoseconds since the start of the history.
func (h *History) Add(client int, in RegisterOp, out string, call, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

// Elapsed returns the time since the start of the history.
func (h *History) Elapsed() time.Duration { return time.Since(h.started) }

const (
	// A history needs more than minWrites writes and minReads reads that succeeded for a meaningful check.
	minWrites = 50
	minReads  = 100
	// maxExtraDuration is how much longer than planned the clients may run to complete enough operations.
	maxExtraDuration = 2 * AwaitTimeout
)

// HasEnoughOperations reports whether enough operations have succeeded for a meaningful check, or
// minDuration and maxExtraDuration have passed.
func (h *History) HasEnoughOperations(minDuration time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Writes > minWrites && h.Reads > minReads || time.Since(h.started) > minDuration+maxExtraDuration
}

// checkTimeout limits the duration of a check. A history whose check takes longer is reported as not
// linearizable.
const checkTimeout = time.Minute

// Linearizable reports whether some sequential order explains the results of the operations on each key,
// with each operation taking effect between its start and its end.
func (h *History) Linearizable() bool {
	result, _ := porcupine.CheckOperationsVerbose(registerModel, h.relevant(), checkTimeout)
	return result == porcupine.Ok
}

// Clone returns a history with a copy of the operations, so that a test can append different operations
// to the copy and to the original.
func (h *History) Clone() *History {
	return &History{operations: append([]porcupine.Operation(nil), h.operations...)}
}

// relevant returns the operations that the check needs. It leaves out writes of unknown outcome whose
// value no client read. Each value is written only once, so such a write can have only one visible effect:
// a later compare-and-set may fail because of it. Failed comparisons that ended after the start of such a
// write are therefore left out too. With these operations the check would take too long.
func (h *History) relevant() []porcupine.Operation {
	wasRead := map[string]bool{} // by value
	for _, o := range h.operations {
		if !o.Input.(RegisterOp).Write {
			wasRead[o.Output.(string)] = true
		}
	}
	isUnreadUnknown := func(o porcupine.Operation) bool {
		return o.Return == NeverReturned && !wasRead[o.Input.(RegisterOp).Value]
	}
	firstUnknown := map[string]int64{} // by key: start of the earliest unread write of unknown outcome
	for _, o := range h.operations {
		key := o.Input.(RegisterOp).Key
		if first, ok := firstUnknown[key]; isUnreadUnknown(o) && (!ok || o.Call < first) {
			firstUnknown[key] = o.Call
		}
	}
	var relevant []porcupine.Operation
	for _, o := range h.operations {
		first, hasUnknown := firstUnknown[o.Input.(RegisterOp).Key]
		isInconclusive := o.Output == CompareFailed && hasUnknown && first < o.Return
		if !isUnreadUnknown(o) && !isInconclusive {
			relevant = append(relevant, o)
		}
	}
	return relevant
}
