package backup

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"oxbowbridge/internal/cluster/kv"
)

// Read reads and verifies a complete backup. The error wraps ErrCorrupt or the error of r.
func Read(r io.Reader) (Header, []Entry, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxHeaderBytes+MaxBytes+1))
	if err != nil {
		return Header{}, nil, fmt.Errorf("read backup: %w", err)
	}
	headerLine, entryLines, found := bytes.Cut(data, []byte("\n"))
	if !found {
		return Header{}, nil, errNoHeader()
	}
	header, err := decodeHeader(headerLine)
	if err != nil {
		return Header{}, nil, err
	}
	if header.Bytes != len(entryLines) {
		return Header{}, nil, fmt.Errorf("%w: %d bytes, not %d, after its first line", ErrCorrupt, len(entryLines), header.Bytes)
	}
	if sum := header.checksum(entryLines); sum != header.SHA256 {
		return Header{}, nil, fmt.Errorf("%w: checksum %s, not %s", ErrCorrupt, sum, header.SHA256)
	}
	entries, err := decodeEntries(entryLines, header.Keys)
	if err != nil {
		return Header{}, nil, err
	}
	return header, entries, nil
}

func errNoHeader() error { return fmt.Errorf("%w: no line of %s at its start", ErrCorrupt, formatName) }

// decodeHeader decodes the first line. The same value can be encoded as JSON in several ways. Only the
// encoding that Write produces is accepted, so that a change of any byte is detected.
func decodeHeader(line []byte) (Header, error) {
	var header Header
	if len(line) > maxHeaderBytes || json.Unmarshal(line, &header) != nil || header.Format != formatName {
		return Header{}, errNoHeader()
	}
	if reencoded, _ := json.Marshal(header); !bytes.Equal(reencoded, line) {
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
