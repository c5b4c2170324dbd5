package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"oxbowbridge/internal/storage/durable"
)

const (
	// maxInFlightPuts bounds the number of puts that are submitted but not printed yet.
	maxInFlightPuts = 256
	// readBufferBytes is the size of the input buffer.
	readBufferBytes = 64 << 10
)

// loadResult is a key that is on disk, or the error of its put.
type loadResult struct {
	key []byte
	err error
}

// loader writes lines to a store, and prints their keys in the order of the lines.
type loader struct {
	store    *durable.Store
	asHex    bool
	results  chan loadResult // in the order of the input lines
	inFlight chan struct{}   // one element for each put that is not printed yet
}

// loadDirectory writes the lines of the input to a store, synced to disk, and prints each key once
// it is on disk. It stops at the first line that fails.
func loadDirectory(dir string, in io.Reader, out io.Writer, asHex bool) (err error) {
	store, err := openDurableStore(dir)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	l := &loader{
		store:    store,
		asHex:    asHex,
		results:  make(chan loadResult, maxInFlightPuts),
		inFlight: make(chan struct{}, maxInFlightPuts),
	}
	printed := make(chan error, 1)
	go func() { printed <- l.printResults(out) }()
	err = l.putLines(in)
	for range maxInFlightPuts { // waits until all results are printed
		l.inFlight <- struct{}{}
	}
	close(l.results)
	return errors.Join(err, <-printed)
}

// putLines submits a put for each line. It stops at the end of the input, at an invalid line, or
// when the store is read-only.
func (l *loader) putLines(in io.Reader) error {
	limits := durable.DefaultOptions()
	maxLineBytes := 2*(limits.MaxKeyBytes+limits.MaxValueBytes) + 1 // two hex digits for each byte, and a tab
	lines := bufio.NewReaderSize(in, readBufferBytes)
	for number := 1; l.store.ReadOnlyError() == nil; number++ {
		line, err := readLine(lines, maxLineBytes)
		if errors.Is(err, io.EOF) {
			return nil
		}
		var key, value []byte
		if err == nil {
			key, value, err = parseLine(line, l.asHex)
		}
		if err != nil {
			return usageError(fmt.Errorf("line %d: %w", number, err))
		}
		l.put(number, key, value)
	}
	return nil
}

func (l *loader) put(number int, key, value []byte) {
	l.inFlight <- struct{}{}
	var b durable.Batch
	b.Put(key, value, 0)
	l.store.Submit(&b, durable.Synced, func(_ uint64, err error) {
		if err != nil {
			err = fmt.Errorf("line %d: %w", number, err)
		}
		l.results <- loadResult{key, err}
	})
}

// printResults prints keys as they become durable, up to the first failed put. It flushes the
// output when no further result is queued.
func (l *loader) printResults(out io.Writer) error {
	w := bufio.NewWriter(out)
	var firstErr error
	for result := range l.results {
		<-l.inFlight
		moreWaiting := len(l.results) > 0
		if firstErr == nil {
			firstErr = result.err
		}
		if firstErr == nil {
			fmt.Fprintf(w, "ok %s\n", result.key)
		}
		if moreWaiting {
			continue
		}
		if err := w.Flush(); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return errors.Join(firstErr, w.Flush())
}

var errLineTooLong = errors.New("line too long")

// readLine reads a line of at most maxBytes and returns it without its line break.
func readLine(r *bufio.Reader, maxBytes int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		if len(line)+len(part) > maxBytes+1 {
			return nil, errLineTooLong
		}
		line = append(line, part...)
		switch {
		case err == nil:
			return line[:len(line)-1], nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(line) > 0:
			return line, nil
		default:
			return nil, err
		}
	}
}
