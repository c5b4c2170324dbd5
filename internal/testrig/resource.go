package testrig

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Act is one that a resource has accepted, from begin to end by its own clock.
type Action struct {
	Holder     string
	Token      uint64
	Begin, End time.Time
}

// Resource is something that only one process may act on at a time: POST
// /act?holder=H&token=T takes Work to do. It keeps the highest token that it has seen, and
// refuses lower ones, also those that are overtaken while they are at work.
type Resource struct {
	URL            string
	ActionDuration time.Duration

	server  *httptest.Server
	mu      sync.Mutex
	open    bool // without the fence
	highest uint64
	acts    []Action
	refused int
}

// NewResource begins one; without a fence it takes any token.
func NewResource(t T, fence bool) *Resource {
	r := &Resource{ActionDuration: 2 * time.Millisecond, open: !fence}
	r.server = httptest.NewServer(r)
	t.Cleanup(r.server.Close)
	r.URL = r.server.URL
	return r
}

// ServeHTTP is one act.
func (r *Resource) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	token, err := strconv.ParseUint(q.URL.Query().Get("token"), 10, 64)
	a := Action{Holder: q.URL.Query().Get("holder"), Token: token, Begin: time.Now()}
	if err != nil || !r.admit(token) {
		http.Error(w, "a higher token was here", http.StatusPreconditionFailed)
		return
	}
	time.Sleep(r.ActionDuration)
	a.End = time.Now()
	if !r.effect(a) {
		http.Error(w, "a higher token came meanwhile", http.StatusPreconditionFailed)
	}
}

func (r *Resource) admit(token uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if token < r.highest && !r.open {
		r.refused++
		return false
	}
	r.highest = max(r.highest, token)
	return true
}

func (r *Resource) effect(a Action) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Token < r.highest && !r.open {
		r.refused++
		return false
	}
	r.acts = append(r.acts, a)
	return true
}

// Wrong names what no run may show: a token that took effect after a higher one, acts of
// two holders that overlap, or a token that two holders had.
func (r *Resource) Violations() (wrong []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	holders, last := map[uint64]string{}, Action{}
	for _, a := range r.acts {
		if h, ok := holders[a.Token]; ok && h != a.Holder {
			wrong = append(wrong, fmt.Sprintf("token %d of %s and %s", a.Token, h, a.Holder))
		}
		holders[a.Token] = a.Holder
		switch {
		case a.Token < last.Token:
			wrong = append(wrong, fmt.Sprintf("token %d of %s after %d of %s", a.Token, a.Holder, last.Token, last.Holder))
		case a.Holder != last.Holder && a.Begin.Before(last.End):
			wrong = append(wrong, fmt.Sprintf("acts of %s and %s overlap", a.Holder, last.Holder))
		}
		last = a
	}
	return wrong
}

// Counts are the tokens and the acts that took effect, and the acts that were refused.
func (r *Resource) Counts() (tokens, acts, refused int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[uint64]bool{}
	for _, a := range r.acts {
		seen[a.Token] = true
	}
	return len(seen), len(r.acts), r.refused
}

// Last is the last act that took effect.
func (r *Resource) LastAction() (a Action, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.acts) == 0 {
		return a, false
	}
	return r.acts[len(r.acts)-1], true
}

// ActsAfter tells whether one took effect that began after a time.
func (r *Resource) ActedAfter(at time.Time) bool {
	a, ok := r.LastAction()
	return ok && a.Begin.After(at)
}

// Gap is the longest time since a time in which nothing took effect.
func (r *Resource) LongestGap(since time.Time) (longest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, _ := slices.BinarySearchFunc(r.acts, since, func(a Action, t time.Time) int { return a.End.Compare(t) })
	for _, a := range r.acts[i:] {
		longest, since = max(longest, a.End.Sub(since)), a.End
	}
	return longest
}
