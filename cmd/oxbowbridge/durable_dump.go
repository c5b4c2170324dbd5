package main

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"

	"oxbowbridge/internal/storage/durable"
	"oxbowbridge/internal/storage/durable/vfs"
)

// dumpFolder prints all keys, also those that expire, in their order, as lines of KEY
// TAB VALUE. Values that can't be read are left out, and the folder counts as damaged.
func dumpFolder(dir string, out io.Writer, asHex bool) error {
	return withView(dir, func(view *durable.View, _ vfs.FS) error {
		if err := dumpKeys(view, out, asHex); err != nil {
			return err
		}
		if view.Uninitialized() {
			fmt.Fprintln(os.Stderr, "oxbowbridge: no store was ever written here")
		}
		if err := damageError(view.Report); err != nil {
			return errors.Join(err, printJSON(os.Stderr, view.Report))
		}
		return nil
	})
}

func dumpKeys(view *durable.View, out io.Writer, asHex bool) error {
	w := bufio.NewWriter(out)
	var formatErr error
	view.Scan(0, func(i durable.Item) bool {
		value, err := i.Value()
		if err != nil {
			view.ReportUnreadable(i, err)
			return true
		}
		var line []byte
		if line, formatErr = formatLine([]byte(i.Key), value, asHex); formatErr != nil {
			return false
		}
		_, err = w.Write(line) // Flush returns the error again
		return err == nil
	})
	return errors.Join(formatErr, w.Flush())
}

// formatLine is a line of KEY TAB VALUE, in hex digits or as it is.
func formatLine(key, value []byte, asHex bool) ([]byte, error) {
	if asHex {
		return fmt.Appendf(nil, "%x\t%x\n", key, value), nil
	}
	if bytes.ContainsAny(key, "\t\n") || bytes.IndexByte(value, '\n') >= 0 {
		return nil, fmt.Errorf("%q does not fit on a line: use --hex", key)
	}
	return fmt.Appendf(nil, "%s\t%s\n", key, value), nil
}

// parseLine reads what formatLine wrote, without the end of the line.
func parseLine(line []byte, asHex bool) (key, value []byte, err error) {
	key, value, ok := bytes.Cut(line, []byte{'\t'})
	if !ok {
		return nil, nil, errors.New("want KEY TAB VALUE")
	}
	if !asHex {
		return key, value, nil
	}
	if key, err = hex.DecodeString(string(key)); err != nil {
		return nil, nil, err
	}
	value, err = hex.DecodeString(string(value))
	return key, value, err
}
