// Package protocolfuzz tests sessions against peers that send messages and take actions when the protocol does
// not allow them. The same seed produces the same actions in the same order.
package protocolfuzz

import (
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"
)

// SeedCount is the number of seeds that a test uses.
const SeedCount = 40

const (
	stepsPerScript    = 60
	maxStepsPerScript = 200 // further steps of a script from the fuzzer are ignored

	// Stream numbers of the random generators.
	scriptRandomStream  = 1
	messageRandomStream = 2

	maxMessagesPerConn = 12
	messagesPerPause   = 3 // on average, one in this many messages is followed by a pause
	maxPause           = 500 * time.Microsecond
)

// Scenario is a session under test. The test acts as its dispatcher and its peers.
type Scenario interface {
	// Step executes one action of the dispatcher or a peer, which the two bytes select.
	Step(action, value byte)
	// ProcessEvents handles the events that a step has caused, and checks the invariants.
	ProcessEvents()
	// VerifyRecovery makes the peers follow the protocol and checks that the session works again.
	VerifyRecovery()
}

// Fuzz runs scripts of steps, each on a new Scenario. The random scripts of all seeds are the seed corpus.
func Fuzz(f *testing.F, start func(*testing.T) Scenario) {
	for seed := range uint64(SeedCount) {
		f.Add(randomScript(seed))
	}
	f.Fuzz(func(t *testing.T, script []byte) {
		scenario := start(t)
		for i := 0; i+1 < min(len(script), 2*maxStepsPerScript); i += 2 {
			scenario.Step(script[i], script[i+1])
			scenario.ProcessEvents()
		}
		scenario.VerifyRecovery()
	})
}

// randomScript returns a script with two random bytes per step.
func randomScript(seed uint64) []byte {
	rng := rand.New(rand.NewPCG(seed, scriptRandomStream))
	script := make([]byte, 2*stepsPerScript)
	for i := range script {
		script[i] = byte(rng.Uint32())
	}
	return script
}

// SendRandomMessages accepts the given number of connections, one after another. It sends up to
// maxMessagesPerConn messages on each connection and then closes it.
func SendRandomMessages(listener net.Listener, seed uint64, connections int, message func(*rand.Rand) string) {
	rng := rand.New(rand.NewPCG(seed, messageRandomStream))
	for range connections {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		for range 1 + rng.IntN(maxMessagesPerConn) {
			io.WriteString(conn, message(rng))
			if rng.IntN(messagesPerPause) == 0 {
				time.Sleep(time.Duration(rng.IntN(int(maxPause/time.Microsecond))) * time.Microsecond)
			}
		}
		conn.Close()
	}
}
