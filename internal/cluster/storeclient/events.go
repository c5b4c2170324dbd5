package storeclient

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"oxbowbridge/internal/cluster/storeapi"
)

// event is one server-sent event.
type event struct {
	id        string
	eventType storeapi.EventType
	data      []byte
}

// readEvents reads server-sent events and passes them to handle, until handle or the stream fails. It
// returns io.ErrUnexpectedEOF when the stream ends, because servers do not end a watch stream normally.
func readEvents(r io.Reader, handle func(event) error) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, storeapi.MaxEventBytes)
	var e event
	for lines.Scan() {
		line := lines.Bytes()
		if len(line) > 0 {
			if err := e.addLine(line); err != nil {
				return err
			}
			continue
		}
		if e.eventType != "" {
			if err := handle(e); err != nil {
				return err
			}
		}
		e = event{}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// addLine adds one line of the form "FIELD: VALUE" to the event. Unknown fields are ignored.
func (e *event) addLine(line []byte) error {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "id":
		e.id = string(value)
	case "event":
		e.eventType = storeapi.EventType(value)
	case "data":
		if len(e.data)+len(value) > storeapi.MaxEventBytes {
			return fmt.Errorf("event exceeds %d bytes", storeapi.MaxEventBytes)
		}
		if e.data != nil {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
	}
	return nil
}
