package storeclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/cluster/watch"
)

const watchSilence = 3 * storeapi.WatchProgressInterval // after which a client takes its node for lost

// event is one server-sent event.
type event struct {
	id, kind string
	data     []byte
}

// events reads server-sent events until one is refused or the stream ends.
func events(r io.Reader, each func(event) error) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, storeapi.MaxEventBytes)
	var e event
	for lines.Scan() {
		line := lines.Bytes()
		if len(line) == 0 {
			if e.kind != "" {
				if err := each(e); err != nil {
					return err
				}
			}
			e = event{}
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			e.id = string(value)
		case "event":
			e.kind = string(value)
		case "data":
			if len(e.data)+len(value) > storeapi.MaxEventBytes {
				return fmt.Errorf("event of more than %d bytes", storeapi.MaxEventBytes)
			}
			if e.data != nil {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF // a stream has no end of its own
}

// Watch calls out for each revision that changes keys with a prefix, in order and
// once, from a position on (0 is now). It goes on at another node when one is lost,
// until ctx ends, the caller's error, or a *watch.CompactedError. All nodes away for
// the budget's attempts end it too.
func (c *Client) Watch(ctx context.Context, prefix string, from uint64, each func(watch.Revision) error) error {
	if len(c.Nodes) == 0 {
		return errNoNode
	}
	var stop *stopError
	failed := 0
	for at := rand.IntN(len(c.Nodes)); ; at++ {
		got, err := c.watchOne(ctx, c.Nodes[at%len(c.Nodes)], prefix, &from, each)
		switch {
		case errors.As(err, &stop):
			return stop.error
		case ctx.Err() != nil:
			return ctx.Err()
		case got:
			failed = 0
		}
		if failed++; failed > c.Retry.MaxRetries {
			return fmt.Errorf("no node to watch in %d attempts: %w", failed, err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(c.Retry.Backoff(failed, rand.Float64())):
		}
	}
}

// stopError ends a watch; any other has it go on elsewhere.
type stopError struct{ error }

// watchOne follows at one node, moves the position on, and tells whether anything came.
func (c *Client) watchOne(ctx context.Context, node, prefix string, from *uint64, each func(watch.Revision) error) (got bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lost := time.AfterFunc(watchSilence, cancel) // guards against a node that hangs
	defer lost.Stop()
	q := url.Values{"prefix": {prefix}}
	if *from > 0 {
		q.Set("from", strconv.FormatUint(*from, 10))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+"/watch?"+q.Encode(), nil)
	if err != nil {
		return false, &stopError{err}
	}
	c.ofCluster(req)
	res, err := (&http.Client{Transport: c.HTTP.Transport}).Do(req) // without a limit on the whole
	if err != nil {
		return false, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(res.Body, 1<<10))
		return false, refusedWatch(res.StatusCode, text)
	}
	return got, events(&alive{res.Body, lost}, func(e event) error {
		got = true
		if e.kind == "compacted" {
			return refusedWatch(http.StatusGone, e.data)
		}
		id, err := strconv.ParseUint(e.id, 10, 63)
		if err != nil {
			return fmt.Errorf("event %q: id %q is no revision", e.kind, e.id)
		}
		if e.kind == "change" && id >= *from {
			var rev watch.Revision
			if err := json.Unmarshal(e.data, &rev); err != nil || rev.Number != id {
				return fmt.Errorf("event %d can't be read: %w", id, err)
			}
			if err := each(rev); err != nil {
				return &stopError{err}
			}
		}
		*from = max(*from, id+1)
		return nil
	})
}

func refusedWatch(code int, text []byte) error {
	var gone storeapi.CompactedResponse
	switch {
	case code == http.StatusGone && json.Unmarshal(text, &gone) == nil && gone.Error == "compacted":
		return &stopError{&watch.CompactedError{OldestRevision: gone.OldestRevision}}
	case code == http.StatusServiceUnavailable:
		return storeapi.NewStatusError(code, text)
	}
	return &stopError{storeapi.NewStatusError(code, text)}
}

// alive puts a client's patience back whenever something comes.
type alive struct {
	io.Reader
	lost *time.Timer
}

func (a *alive) Read(b []byte) (int, error) {
	n, err := a.Reader.Read(b)
	if n > 0 {
		a.lost.Reset(watchSilence)
	}
	return n, err
}
