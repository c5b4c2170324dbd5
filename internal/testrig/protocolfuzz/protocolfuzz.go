// Package protocolfuzz has peers of a session say and do things at moments when nobody expects
// them. The same seed gives the same things in the same order.
package protocolfuzz

import (
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"
)

// SeedCount is how many seeds a test plays.
const SeedCount = 40

const (
	steps    = 60
	maxSteps = 200 // of a script that the fuzzer has made

	scriptStream  = 1
	chatterStream = 2

	maxMessages   = 12 // on a connection
	pauseInterval = 3  // messages, on average, of which one is followed by a pause
	maxPause      = 500 * time.Microsecond
)

// Scenario is a session whose dispatcher and peers are the test.
type Scenario interface {
	// Step does one of the things that the dispatcher or a peer does. The two bytes choose it.
	Step(what, which byte)
	// ProcessEvents has what came of a step handled, and checks what holds after each turn.
	ProcessEvents()
	// VerifyRecovery has the peers behave, and checks that the session does its work.
	VerifyRecovery()
}

// Fuzz plays scripts of steps, each of them on a new Play.
func Fuzz(f *testing.F, start func(*testing.T) Scenario) {
	for seed := range uint64(SeedCount) {
		f.Add(script(seed))
	}
	f.Fuzz(func(t *testing.T, script []byte) {
		play := start(t)
		for i := 0; i+1 < min(len(script), 2*maxSteps); i += 2 {
			play.Step(script[i], script[i+1])
			play.ProcessEvents()
		}
		play.VerifyRecovery()
	})
}

// script returns two bytes for each step.
func script(seed uint64) []byte {
	rng := rand.New(rand.NewPCG(seed, scriptStream))
	script := make([]byte, 2*steps)
	for i := range script {
		script[i] = byte(rng.Uint32())
	}
	return script
}

// SendRandomMessages accepts a number of connections, one after another, and says some messages on each
// before it closes it.
func SendRandomMessages(listener net.Listener, seed uint64, connections int, message func(*rand.Rand) string) {
	rng := rand.New(rand.NewPCG(seed, chatterStream))
	for range connections {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		for range 1 + rng.IntN(maxMessages) {
			io.WriteString(conn, message(rng))
			if rng.IntN(pauseInterval) == 0 {
				time.Sleep(time.Duration(rng.IntN(int(maxPause/time.Microsecond))) * time.Microsecond)
			}
		}
		conn.Close()
	}
}
