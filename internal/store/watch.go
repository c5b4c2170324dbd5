package store

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

	"oxbowbridge/internal/kv"
	"oxbowbridge/internal/watch"
)

const (
	watchersMost  = 64
	watcherSlow   = 5 * time.Second            // a write that takes longer ends the stream
	watchProgress = 2 * time.Second            // a quiet stream says so often how far it is
	watchSilence  = 3 * watchProgress          // after which a client takes its node for lost
	eventMost     = 2 * kv.Ops * kv.ValueBytes // bytes of one event
	headRevision  = "Store-Revision"           // up to which an answer knows the store
	headEventID   = "Last-Event-ID"
)

// watchPage bounds what one watcher takes at a time, and so what it holds.
var watchPage = watch.Page{Revisions: 512, Bytes: 64 << 10}

// compacted is the typed answer to a position that is gone.
type compacted struct {
	Error  string `json:"error"` // "compacted"
	Oldest uint64 `json:"oldest"`
}

// watch streams the changes under a prefix as server-sent events, from a revision on
// or else from now. Each event is one revision: its id is where to go on after it.
func (a *admin) watch(w http.ResponseWriter, r *http.Request) {
	prefix, text := r.URL.Query().Get("prefix"), r.URL.Query().Get("from")
	from, err := uint64(0), error(nil)
	if last := r.Header.Get(headEventID); last != "" {
		from, err = strconv.ParseUint(last, 10, 63)
		from++
	} else if text != "" {
		from, err = strconv.ParseUint(text, 10, 64)
	}
	if err != nil || len(prefix) > kv.KeyBytes {
		fail(w, fmt.Errorf("%w: from: want the number of a revision; prefix: at most %d bytes", kv.ErrRequest, kv.KeyBytes))
		return
	}
	select { // guards the memory and the descriptors
	case a.watchers <- struct{}{}:
		defer func() { <-a.watchers }()
	default:
		unavailable(w, fmt.Errorf("%d watchers already", watchersMost))
		return
	}
	if from == 0 {
		if !a.fresh(w, r) { // now is after all that was acknowledged
			return
		}
		at, _ := a.store.state.progress()
		from = at + 1
	}
	s := &stream{w: w, out: http.NewResponseController(w)}
	s.out.SetReadDeadline(time.Time{}) // the server's is for requests that end
	a.stream(r.Context(), s, from, prefix)
}

// stream sends what comes until the watcher is gone, too slow or too far behind.
func (a *admin) stream(ctx context.Context, s *stream, from uint64, prefix string) {
	quiet := time.NewTicker(watchProgress)
	defer quiet.Stop()
	told := from // the position that the watcher knows of
	s.progress(from)
	for {
		list, next, more, err := a.store.state.follow(from, prefix, watchPage)
		var gone *watch.CompactedError
		if errors.As(err, &gone) {
			s.compacted(gone.Oldest)
			return
		}
		for _, rev := range list {
			s.event("change", rev.Number, rev)
			told = rev.Number + 1
		}
		if !s.flush() {
			return
		}
		if next > from {
			from = next
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-more:
		case <-quiet.C:
			if from > told { // what came belongs to others
				told = from
				s.progress(from)
			} else {
				s.buf.WriteString(":\n\n")
			}
		}
	}
}

// stream is one watcher's answer.
type stream struct {
	w     http.ResponseWriter
	out   *http.ResponseController
	buf   bytes.Buffer
	begun bool
}

func (s *stream) event(kind string, id uint64, data any) {
	text, _ := json.Marshal(data) // what came out of JSON goes into it
	fmt.Fprintf(&s.buf, "id: %d\nevent: %s\ndata: %s\n\n", id, kind, text)
}

// progress tells a position, so that the watcher can go on from it elsewhere.
func (s *stream) progress(next uint64) {
	s.event("progress", next-1, struct {
		Revision uint64 `json:"revision"`
	}{next - 1})
}

// compacted tells that the position is gone: as the answer, or in the middle.
func (s *stream) compacted(oldest uint64) {
	body := compacted{"compacted", oldest}
	if s.begun {
		text, _ := json.Marshal(body)
		fmt.Fprintf(&s.buf, "event: compacted\ndata: %s\n\n", text)
		s.flush()
		return
	}
	s.w.Header().Set("Content-Type", "application/json")
	s.w.WriteHeader(http.StatusGone)
	json.NewEncoder(s.w).Encode(body)
}

// flush sends what is written. Guards against a watcher that does not read: it holds
// one page, and is cut off.
func (s *stream) flush() bool {
	if !s.begun {
		s.begun = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
	} else if s.buf.Len() == 0 {
		return true
	}
	s.out.SetWriteDeadline(time.Now().Add(watcherSlow))
	_, err := s.w.Write(s.buf.Bytes())
	if s.buf.Reset(); s.buf.Cap() > 4*watchPage.Bytes {
		s.buf = bytes.Buffer{}
	}
	return errors.Join(err, s.out.Flush()) == nil
}

// event is one server-sent event.
type event struct {
	id, kind string
	data     []byte
}

// events reads server-sent events until one is refused or the stream ends.
func events(r io.Reader, each func(event) error) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, eventMost)
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
			if len(e.data)+len(value) > eventMost {
				return fmt.Errorf("event of more than %d bytes", eventMost)
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
		if failed++; failed > c.Budget.Attempts {
			return fmt.Errorf("no node to watch in %d attempts: %w", failed, err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(c.Budget.Pause(failed, rand.Float64())):
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
	var gone compacted
	switch {
	case code == http.StatusGone && json.Unmarshal(text, &gone) == nil && gone.Error == "compacted":
		return &stopError{&watch.CompactedError{Oldest: gone.Oldest}}
	case code == http.StatusServiceUnavailable:
		return statusError(code, text)
	}
	return &stopError{statusError(code, text)}
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
