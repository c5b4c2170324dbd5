package storeclient

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"oxbowbridge/internal/cluster/backup"
	"oxbowbridge/internal/cluster/storeapi"
)

// Backup reads a backup, and gives it only if it is whole.
func (c *Client) Backup(ctx context.Context) (backup.Header, []byte, error) {
	res, text, err := c.do(ctx, http.MethodGet, "/backup", nil)
	if err != nil {
		return backup.Header{}, nil, err
	}
	if res.StatusCode != http.StatusOK {
		return backup.Header{}, nil, storeapi.NewStatusError(res.StatusCode, text)
	}
	head, _, err := backup.Read(bytes.NewReader(text))
	return head, text, err
}

// Restore puts a backup back. It may be asked for again until it is done.
func (c *Client) Restore(ctx context.Context, r io.Reader) (out storeapi.RestoreResponse, err error) {
	text, err := io.ReadAll(r)
	if err != nil {
		return out, err
	}
	if _, _, err := backup.Read(bytes.NewReader(text)); err != nil {
		return out, err // without a word to anybody
	}
	slow := *c
	slow.HTTP = &http.Client{Transport: c.HTTP.Transport, Timeout: storeapi.RestoreTimeout}
	return out, slow.ask(ctx, http.MethodPost, "/restore", text, &out)
}

// UndoRestore empties a store in which a restore was cut off.
func (c *Client) UndoRestore(ctx context.Context) error {
	res, text, err := c.do(ctx, http.MethodDelete, "/restore", nil)
	if err == nil && res.StatusCode >= 300 {
		err = storeapi.NewStatusError(res.StatusCode, text)
	}
	return err
}
