package storeclient

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"oxbowbridge/internal/cluster/backup"
	"oxbowbridge/internal/cluster/storeapi"
)

// Backup takes a backup of the store and returns its header and its bytes. It fails if the backup is
// incomplete or damaged.
func (c *Client) Backup(ctx context.Context) (backup.Header, []byte, error) {
	res, err := c.sendWithRetry(ctx, http.MethodGet, "/backup", nil)
	if err != nil {
		return backup.Header{}, nil, err
	}
	if res.statusCode != http.StatusOK {
		return backup.Header{}, nil, res.statusError()
	}
	header, _, err := backup.Read(bytes.NewReader(res.body))
	return header, res.body, err
}

// Restore checks a backup and restores the store from it. A failed restore can be retried.
func (c *Client) Restore(ctx context.Context, r io.Reader) (restored storeapi.RestoreResponse, err error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return restored, err
	}
	if _, _, err := backup.Read(bytes.NewReader(data)); err != nil {
		return restored, err
	}
	err = c.withAttemptTimeout(storeapi.RestoreTimeout).call(ctx, http.MethodPost, "/restore", data, &restored)
	return restored, err
}

// UndoRestore empties a store in which a restore was interrupted.
func (c *Client) UndoRestore(ctx context.Context) error {
	return c.call(ctx, http.MethodDelete, "/restore", nil, nil)
}
