package admission_test

import (
	"fmt"
	"time"

	"oxbowbridge/admission"
)

// A server's loop: it gives the controller what happened and carries out what
// comes back, one call at a time, by its own clock.
func Example() {
	controller, err := admission.New(admission.Settings{
		Tick: time.Millisecond, Cores: 4, Servers: 1, MemoryKB: 1 << 20, RunFactor: 4,
		CrowdFactor: 8, CrowdOver: 2 * time.Second, AnswerSlack: 50 * time.Millisecond,
		Classes: []admission.Class{{Aim: time.Second, Deadline: 2 * time.Second, Value: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	start := time.Now()
	batches := [][]admission.Event{
		nil, // at the start
		{admission.Arrive{ID: 1, TimeLeft: 2 * time.Second, HeldKB: 20}},
		{admission.Completed{ID: 1, Took: time.Millisecond, Outcome: admission.OK}},
	}
	for _, events := range batches {
		for _, action := range controller.Handle(time.Since(start), events) {
			switch a := action.(type) {
			case admission.Take:
				fmt.Println("run", a.ID) // on the cores; a Completed follows
			case admission.Refuse:
				fmt.Println("refuse", a.ID)
			case admission.Abort:
				fmt.Println("fail", a.ID)
			case admission.Defer:
				// ask the clock for a Due with this Ref after a.Span
			}
		}
	}
	// Output: run 1
}
