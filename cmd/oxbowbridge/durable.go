package main

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"oxbowbridge/internal/storage/durable"
	"oxbowbridge/internal/storage/durable/vfs"
)

func durableCommand() *cobra.Command {
	c := &cobra.Command{Use: "durable", Short: "Work on the folder of a durable store that no service has open"}
	asHex := false
	add := func(use, short string, run func(c *cobra.Command, dir string) error) *cobra.Command {
		sub := &cobra.Command{Use: use + " DIR", Short: short, Args: oneArg,
			RunE: func(c *cobra.Command, args []string) error { return run(c, args[0]) }}
		c.AddCommand(sub)
		return sub
	}
	load := add("load", "Put lines of KEY TAB VALUE from standard input, and print each key that is on disk",
		func(c *cobra.Command, dir string) error { return load(dir, c.InOrStdin(), c.OutOrStdout(), asHex) })
	dump := add("dump", "Print what the folder holds, or would recover to, without changing it",
		func(c *cobra.Command, dir string) error { return dump(dir, c.OutOrStdout(), asHex) })
	for _, sub := range []*cobra.Command{load, dump} {
		sub.Flags().BoolVar(&asHex, "hex", false, "keys and values as hex digits, so that any bytes fit on a line")
	}
	add("verify", "Read every byte that counts, and print a report", func(c *cobra.Command, dir string) error {
		return withView(dir, func(v *durable.View, fs vfs.FS) error {
			if err := v.Verify(fs); err != nil {
				return err
			}
			return errors.Join(printJSON(c.OutOrStdout(), v.Report), damaged(v.Report))
		})
	})
	add("stat", "Print the figures of a folder", func(c *cobra.Command, dir string) error {
		return withView(dir, func(v *durable.View, _ vfs.FS) error {
			return errors.Join(printJSON(c.OutOrStdout(), v.Stats()), damaged(v.Report))
		})
	})
	add("compact", "Give back all space that can be", func(c *cobra.Command, dir string) error { return compact(c, dir) })
	add("repair", "Make a damaged folder one that opens, and print what was lost", func(c *cobra.Command, dir string) error {
		if err := exists(dir); err != nil {
			return err
		}
		fs, err := vfs.OpenDir(dir)
		if err != nil {
			return err
		}
		report, err := durable.Repair(fs, durable.Options{})
		if report != nil {
			err = errors.Join(printJSON(c.OutOrStdout(), report), err)
		}
		if errors.Is(err, durable.ErrUnrecoverable) {
			return &exitError{exitCodeDamaged, err}
		}
		return err
	})
	return c
}

func exists(dir string) error {
	_, err := vfs.OpenDirReadOnly(dir)
	return err
}

func printJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// damaged is the error of a folder that may miss what was acknowledged.
func damaged(r *durable.Report) error {
	if r.Loss != durable.AcknowledgedLoss {
		return nil
	}
	return &exitError{exitCodeDamaged, &durable.DamagedError{Report: r}}
}

// withView reads a folder that nobody else may have open, and changes nothing in it.
func withView(dir string, do func(*durable.View, vfs.FS) error) error {
	fs, err := vfs.OpenDirReadOnly(dir)
	if err != nil {
		return err
	}
	lock, err := fs.Lock(durable.LockName)
	if err != nil {
		return err
	}
	defer lock.Close()
	v, err := durable.Inspect(fs, durable.Options{})
	if err != nil {
		return err
	}
	defer v.Close()
	return do(v, fs)
}

func openStore(dir string) (*durable.Store, error) {
	fs, err := vfs.OpenDir(dir)
	if err != nil {
		return nil, err
	}
	s, r, err := durable.Open(fs, durable.Options{})
	if errors.Is(err, durable.ErrDamaged) {
		return nil, &exitError{exitCodeDamaged, err}
	}
	if err != nil {
		return nil, err
	}
	if r.Loss == durable.TailLoss {
		fmt.Fprintf(os.Stderr, "oxbowbridge: %d bytes of a tail that was never synced were cut off\n", r.TruncatedBytes)
	}
	return s, nil
}

const loadAhead = 256 // puts on their way to the disk

// load puts one line after the other, each synced, and says so in their order.
func load(dir string, in io.Reader, out io.Writer, asHex bool) (err error) {
	s, err := openStore(dir)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	type result struct {
		key []byte
		err error
	}
	results, ended := make(chan result, loadAhead), make(chan error, 1)
	ahead := make(chan struct{}, loadAhead)
	go func() {
		ended <- tellLoaded(out, func() (loadedKey, bool) {
			r, ok := <-results
			if ok {
				<-ahead
			}
			return loadedKey{r.key, len(results) == 0, r.err}, ok
		})
	}()
	limits := durable.DefaultOptions()
	lines := bufio.NewReaderSize(in, 64<<10)
	for n := 1; ; n++ {
		line, rerr := readLine(lines, 2*(limits.MaxKeyBytes+limits.MaxValueBytes)+1)
		if errors.Is(rerr, io.EOF) {
			break
		}
		var key, value []byte
		if rerr == nil {
			key, value, rerr = parseLine(line, asHex)
		}
		if rerr != nil {
			err = usageError(fmt.Errorf("line %d: %w", n, rerr))
			break
		}
		ahead <- struct{}{}
		var b durable.Batch
		b.Put(key, value, 0)
		s.Submit(&b, durable.Synced, func(_ uint64, err error) {
			if err != nil {
				err = fmt.Errorf("line %d: %w", n, err)
			}
			results <- result{key, err}
		})
		if s.ReadOnlyError() != nil {
			break
		}
	}
	for range loadAhead { // all answers are in
		ahead <- struct{}{}
	}
	close(results)
	return errors.Join(err, <-ended)
}

// loadedKey is a key that has become durable, or has not.
type loadedKey struct {
	key  []byte
	last bool // no other waits to be told
	err  error
}

// tellLoaded prints keys as they become durable, up to the first that did not.
func tellLoaded(out io.Writer, next func() (loadedKey, bool)) error {
	w := bufio.NewWriter(out)
	var failed error
	for {
		loaded, ok := next()
		if !ok {
			return errors.Join(failed, w.Flush())
		}
		if failed == nil {
			failed = loaded.err
		}
		if failed == nil {
			fmt.Fprintf(w, "ok %s\n", loaded.key)
		}
		if loaded.last {
			if err := w.Flush(); err != nil && failed == nil {
				failed = err
			}
		}
	}
}

var errLong = errors.New("line is too long")

// readLine reads a line without its end, of at most so many bytes.
func readLine(r *bufio.Reader, most int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		if len(line)+len(part) > most+1 {
			return nil, errLong
		}
		line = append(line, part...)
		switch {
		case err == nil:
			return line[:len(line)-1], nil
		case errors.Is(err, bufio.ErrBufferFull):
		case err == io.EOF && len(line) > 0:
			return line, nil
		default:
			return nil, err
		}
	}
}

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

// dump prints all keys, also those that expire, in their order.
func dump(dir string, out io.Writer, asHex bool) error {
	return withView(dir, func(v *durable.View, _ vfs.FS) error {
		w := bufio.NewWriter(out)
		var bad error
		v.Scan(0, func(i durable.Item) bool {
			value, err := i.Value()
			if err != nil {
				v.ReportUnreadable(i, err)
				return true
			}
			key := []byte(i.Key)
			if asHex {
				key, value = []byte(hex.EncodeToString(key)), []byte(hex.EncodeToString(value))
			} else if bytes.ContainsAny(key, "\t\n") || bytes.IndexByte(value, '\n') >= 0 {
				bad = fmt.Errorf("%q does not fit on a line: use --hex", key)
				return false
			}
			_, err = fmt.Fprintf(w, "%s\t%s\n", key, value)
			return err == nil
		})
		if err := errors.Join(bad, w.Flush()); err != nil {
			return err
		}
		if v.Uninitialized() {
			fmt.Fprintln(os.Stderr, "oxbowbridge: no store was ever written here")
		}
		if err := damaged(v.Report); err != nil {
			return errors.Join(err, printJSON(os.Stderr, v.Report))
		}
		return nil
	})
}

func compact(c *cobra.Command, dir string) error {
	if err := exists(dir); err != nil {
		return err
	}
	s, err := openStore(dir)
	if err != nil {
		return err
	}
	before := s.Stats().UsedBytes
	err = s.Compact(c.Context())
	after := s.Stats()
	if err = errors.Join(err, s.Close()); err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "%d bytes before, %d now, %d of them live\n", before, after.UsedBytes, after.LiveBytes)
	return nil
}
