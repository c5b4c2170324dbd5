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
	Value    string // written
	Expected string // the value that a compare-and-set needs to find; "" for a plain write
}

// CompareFailed is the result of a compare-and-set that found another value. No
// written value equals it, as they are JSON strings.
const CompareFailed = "Unequal"

// compareSucceeded is the result of a compare-and-set that wrote.
const compareSucceeded = "done"

// registerModel is a key that is written and read; each key is checked on its own.
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

// History is what clients did, on the clock of this process. The counts may be read
// once the clients have ended.
type History struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	started    time.Time

	Writes        int // acknowledged, or failed comparisons
	Reads         int // that returned a value, or that there is none
	UnknownWrites int // writes of unknown outcome
	FailedReads   int // failed reads
}

// NewHistory returns an empty history that begins now.
func NewHistory() *History { return &History{started: time.Now()} }

// NeverReturned is the end of an operation of unknown outcome, in nanoseconds: later
// than that of any other.
const NeverReturned = int64(1) << 60

// Add records one operation with its result, from call to end in nanoseconds since
// the history began.
func (h *History) Add(client int, in RegisterOp, out string, call, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

// Elapsed is the time since the history began.
func (h *History) Elapsed() time.Duration { return time.Since(h.started) }

const (
	// minWrites and minReads are the operations that must have succeeded for a
	// meaningful check.
	minWrites = 50
	minReads  = 100
	// maxExtraDuration is how much longer than planned the clients may run to get there.
	maxExtraDuration = 2 * AwaitTimeout
)

// HasEnoughOperations reports whether enough operations have succeeded for a meaningful check,
// or the time for them has passed.
func (h *History) HasEnoughOperations(minDuration time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Writes > minWrites && h.Reads > minReads || time.Since(h.started) > minDuration+maxExtraDuration
}

// checkTimeout bounds a check; a history that takes longer counts as not linearizable.
const checkTimeout = time.Minute

// Linearizable reports whether the operations on each key can have taken place one
// after the other, each between its call and its end.
func (h *History) Linearizable() bool {
	result, _ := porcupine.CheckOperationsVerbose(registerModel, h.relevant(), checkTimeout)
	return result == porcupine.Ok
}

// Clone copies the operations, to go on differently.
func (h *History) Clone() *History {
	return &History{operations: append([]porcupine.Operation(nil), h.operations...)}
}

// relevant leaves out writes of unknown outcome that nobody read: values are written
// once, so all that they can do is to have a compare-and-set find another value.
// Comparisons that failed after such a write began prove nothing then, and are left
// out too. With them the check would take too long.
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
	firstUnknown := map[string]int64{} // by key: the earliest call
	for _, o := range h.operations {
		key := o.Input.(RegisterOp).Key
		if first, ok := firstUnknown[key]; isUnreadUnknown(o) && (!ok || o.Call < first) {
			firstUnknown[key] = o.Call
		}
	}
	var relevant []porcupine.Operation
	for _, o := range h.operations {
		first, hasUnknown := firstUnknown[o.Input.(RegisterOp).Key]
		provesNothing := o.Output == CompareFailed && hasUnknown && first < o.Return
		if !isUnreadUnknown(o) && !provesNothing {
			relevant = append(relevant, o)
		}
	}
	return relevant
}
