package backup

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"oxbowbridge/internal/cluster/kv"
)

// Read reads a backup, all of it or nothing. Its error wraps ErrCorrupt, or the error of r.
func Read(r io.Reader) (Header, []Entry, error) {
	text, err := io.ReadAll(io.LimitReader(r, maxHeaderBytes+MaxBytes+1))
	if err != nil {
		return Header{}, nil, fmt.Errorf("read backup: %w", err)
	}
	first, lines, found := bytes.Cut(text, []byte("\n"))
	if !found {
		return Header{}, nil, errNoHeader()
	}
	header, err := decodeHeader(first)
	if err != nil {
		return Header{}, nil, err
	}
	if header.Bytes != len(lines) {
		return Header{}, nil, fmt.Errorf("%w: %d bytes, not %d, after its first line", ErrCorrupt, len(lines), header.Bytes)
	}
	if sum := header.checksum(lines); sum != header.SHA256 {
		return Header{}, nil, fmt.Errorf("%w: checksum %s, not %s", ErrCorrupt, sum, header.SHA256)
	}
	entries, err := decodeEntries(lines, header.Keys)
	if err != nil {
		return Header{}, nil, err
	}
	return header, entries, nil
}

func errNoHeader() error { return fmt.Errorf("%w: no line of %s at its start", ErrCorrupt, format) }

// decodeHeader decodes the first line. JSON has many forms of one value; only the one that Write
// writes is accepted, so that any changed byte is recognized.
func decodeHeader(line []byte) (Header, error) {
	var header Header
	if len(line) > maxHeaderBytes || json.Unmarshal(line, &header) != nil || header.Format != format {
		return Header{}, errNoHeader()
	}
	if again, _ := json.Marshal(header); !bytes.Equal(again, line) {
		return Header{}, fmt.Errorf("%w: its first line was changed", ErrCorrupt)
	}
	return header, nil
}

func decodeEntries(lines []byte, count int) ([]Entry, error) {
	entries := make([]Entry, 0, min(max(count, 0), kv.MaxKeys))
	for line := range bytes.Lines(lines) {
		var e Entry
		if err := json.Unmarshal(line, &e); err != nil {
			return nil, fmt.Errorf("%w: key %d: %w", ErrCorrupt, len(entries)+1, err)
		}
		entries = append(entries, e)
	}
	if len(entries) != count {
		return nil, fmt.Errorf("%w: %d keys, not %d", ErrCorrupt, len(entries), count)
	}
	return entries, nil
}
