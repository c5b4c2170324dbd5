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

// Action is one that a resource has accepted. Its times are of the resource's clock.
type Action struct {
	Holder string
	Token  uint64
	Begin  time.Time
	End    time.Time
}

// defaultActionDuration is how long an action takes where the test sets nothing else.
const defaultActionDuration = 2 * time.Millisecond

// Resource is something that only one process may act on at a time: POST
// /act?holder=H&token=T takes ActionDuration. A fenced resource keeps the highest token
// that it has received, and rejects lower ones, also of actions during which a higher
// one arrived.
type Resource struct {
	URL            string // of the server, without /act
	ActionDuration time.Duration

	server *httptest.Server
	fenced bool // rejects stale tokens

	mu       sync.Mutex
	highest  uint64 // token that was received
	actions  []Action
	rejected int // actions
}

// NewResource starts a resource; one without a fence accepts any token.
func NewResource(t T, fenced bool) *Resource {
	r := &Resource{ActionDuration: defaultActionDuration, fenced: fenced}
	r.server = httptest.NewServer(r)
	t.Cleanup(r.server.Close)
	r.URL = r.server.URL
	return r
}

// ServeHTTP carries out one action.
func (r *Resource) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	token, err := strconv.ParseUint(q.URL.Query().Get("token"), 10, 64)
	action := Action{Holder: q.URL.Query().Get("holder"), Token: token, Begin: time.Now()}
	if err != nil || !r.admit(token) {
		http.Error(w, "a higher token was received before", http.StatusPreconditionFailed)
		return
	}
	time.Sleep(r.ActionDuration)
	action.End = time.Now()
	if !r.commit(action) {
		http.Error(w, "a higher token was received meanwhile", http.StatusPreconditionFailed)
	}
}

// admit begins an action, unless the fence rejects its token.
func (r *Resource) admit(token uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rejectStale(token) {
		return false
	}
	r.highest = max(r.highest, token)
	return true
}

// commit has an action take effect, unless a higher token arrived during it.
func (r *Resource) commit(action Action) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rejectStale(action.Token) {
		return false
	}
	r.actions = append(r.actions, action)
	return true
}

// rejectStale reports whether the fence rejects a token, and counts it. The lock is held.
func (r *Resource) rejectStale(token uint64) bool {
	if !r.fenced || token >= r.highest {
		return false
	}
	r.rejected++
	return true
}

// Violations names what no run may show: a token that took effect after a higher one,
// actions of two holders that overlap, or a token that two holders had.
func (r *Resource) Violations() (violations []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	holders := map[uint64]string{} // by token
	var last Action
	for _, a := range r.actions {
		if holder, ok := holders[a.Token]; ok && holder != a.Holder {
			violations = append(violations, fmt.Sprintf("token %d of %s and %s", a.Token, holder, a.Holder))
		}
		holders[a.Token] = a.Holder
		switch {
		case a.Token < last.Token:
			violations = append(violations, fmt.Sprintf("token %d of %s after %d of %s", a.Token, a.Holder, last.Token, last.Holder))
		case a.Holder != last.Holder && a.Begin.Before(last.End):
			violations = append(violations, fmt.Sprintf("actions of %s and %s overlap", a.Holder, last.Holder))
		}
		last = a
	}
	return violations
}

// Counts are the tokens and the actions that took effect, and the rejected actions.
func (r *Resource) Counts() (tokens, actions, rejected int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	distinct := map[uint64]bool{}
	for _, a := range r.actions {
		distinct[a.Token] = true
	}
	return len(distinct), len(r.actions), r.rejected
}

// LastAction is the last action that took effect.
func (r *Resource) LastAction() (a Action, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.actions) == 0 {
		return a, false
	}
	return r.actions[len(r.actions)-1], true
}

// ActedAfter reports whether the last action that took effect began after a time.
func (r *Resource) ActedAfter(at time.Time) bool {
	a, ok := r.LastAction()
	return ok && a.Begin.After(at)
}

// LongestGap is the longest time between two actions that took effect, after a time.
func (r *Resource) LongestGap(since time.Time) (longest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first, _ := slices.BinarySearchFunc(r.actions, since, func(a Action, t time.Time) int { return a.End.Compare(t) })
	for _, a := range r.actions[first:] {
		longest = max(longest, a.End.Sub(since))
		since = a.End
	}
	return longest
}
