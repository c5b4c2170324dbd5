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

// dumpDirectory prints all keys, including those with an expiry time, in ascending order, as
// lines of KEY TAB VALUE. It omits values that can't be read; the store then counts as damaged,
// and the result is an error.
func dumpDirectory(dir string, out io.Writer, asHex bool) error {
	return withView(dir, func(view *durable.View, _ vfs.FS) error {
		if err := dumpKeys(view, out, asHex); err != nil {
			return err
		}
		if view.Uninitialized() {
			fmt.Fprintln(os.Stderr, "oxbowbridge: directory contains no store")
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
		_, err = w.Write(line) // Flush also returns this error
		return err == nil
	})
	return errors.Join(formatErr, w.Flush())
}

// formatLine formats a line of KEY TAB VALUE, as hex digits or as raw bytes.
func formatLine(key, value []byte, asHex bool) ([]byte, error) {
	if asHex {
		return fmt.Appendf(nil, "%x\t%x\n", key, value), nil
	}
	if bytes.ContainsAny(key, "\t\n") || bytes.IndexByte(value, '\n') >= 0 {
		return nil, fmt.Errorf("key %q or its value contains a tab or line break: use --hex", key)
	}
	return fmt.Appendf(nil, "%s\t%s\n", key, value), nil
}

// parseLine parses a line that formatLine wrote, without its line break.
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
