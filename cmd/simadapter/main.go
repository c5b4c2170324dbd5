// Simadapter runs the admission controllers of many simulated servers, identified by name. It speaks
// the simulator's protocol: it reads batches of events from standard input and writes one reply per
// batch to standard output. It exits at the end of the input. If the input is malformed, it prints an
// error to standard error and exits with status 1.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"oxbowbridge/internal/simproto"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run reads batches until the input ends and writes each reply with a single write call.
func run(in io.Reader, out io.Writer) error {
	h := newHost()
	reader := simproto.NewReader(in)
	var reply []byte
	for {
		batch, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.deliver(batch); err != nil {
			return err
		}
		reply = h.reply(batch.Now, reply[:0])
		if _, err := out.Write(simproto.AppendAck(reply)); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}
