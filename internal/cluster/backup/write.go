package backup

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// Write writes a backup. It sets Format and the header fields that describe the entries, and returns the
// header that it wrote.
func Write(w io.Writer, header Header, entries []Entry) (Header, error) {
	entryLines, err := encodeEntries(entries)
	if err != nil {
		return header, err
	}
	header.Format = formatName
	header.Keys = len(entries)
	header.Bytes = len(entryLines)
	header.SHA256 = header.checksum(entryLines)
	headerLine, err := json.Marshal(header)
	if err == nil {
		_, err = w.Write(append(headerLine, '\n'))
	}
	if err == nil {
		_, err = w.Write(entryLines)
	}
	if err != nil {
		return header, fmt.Errorf("write backup: %w", err)
	}
	return header, nil
}

func encodeEntries(entries []Entry) ([]byte, error) {
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	encoder.SetEscapeHTML(false)
	for _, e := range entries {
		if err := encoder.Encode(e); err != nil {
			return nil, fmt.Errorf("key %s: %w", e.Key, err)
		}
	}
	return lines.Bytes(), nil
}
