package testrig

import "time"

const (
	// AwaitTimeout is the maximum time that Await waits for a condition.
	AwaitTimeout = 20 * time.Second
	// awaitInterval is the time between two checks of a condition.
	awaitInterval = 5 * time.Millisecond
)

// T is the part of testing.TB that this package uses. Benchmark programs implement it themselves.
type T interface {
	Helper()
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
	Cleanup(func())
	TempDir() string
}

// Await polls a condition until it is true. It fails the test after AwaitTimeout.
func Await(t T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(AwaitTimeout); time.Now().Before(end); time.Sleep(awaitInterval) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met in time: %s", description)
}
