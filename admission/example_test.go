package admission_test

import (
	"fmt"
	"time"

	"oxbowbridge/admission"
)

// A server passes events to the controller and executes the returned actions. It uses its own clock
// and makes one call at a time.
func Example() {
	controller, err := admission.New(admission.Settings{
		MinInterval: time.Millisecond, Cores: 4, Servers: 1, MemoryKB: 1 << 20, RunMemoryFactor: 4,
		MaxRunsPerCore: 8, OverloadWindow: 2 * time.Second, AnswerGracePeriod: 50 * time.Millisecond,
		Classes: []admission.Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	start := time.Now()
	batches := [][]admission.Event{
		nil, // no events at the start
		{admission.Arrival{ID: 1, Timeout: 2 * time.Second, MemoryKB: 20}},
		{admission.Completed{ID: 1, Elapsed: time.Millisecond, Outcome: admission.OutcomeOK}},
	}
	for _, events := range batches {
		for _, action := range controller.Handle(time.Since(start), events) {
			switch a := action.(type) {
			case admission.Run:
				fmt.Println("run", a.ID) // start the run; report Completed when it ends
			case admission.Reject:
				fmt.Println("reject", a.ID)
			case admission.Fail:
				fmt.Println("fail", a.ID)
			case admission.SetTimer:
				// after a.After, report TimerFired with a.TimerID and the gauges
			}
		}
	}
	// Output: run 1
}
