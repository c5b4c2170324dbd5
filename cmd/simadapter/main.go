// Simadapter hosts the controllers of many simulated servers by name and drives
// them over the simulator's protocol: batches of events on standard input, one
// reply for each on standard output. It exits at the end of the input, with
// status 1 and a message on standard error if the input is malformed.
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

// run answers batches until the input ends. Each reply is one write.
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
