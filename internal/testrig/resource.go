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

// Action is an action that took effect on a resource. The times are taken from the clock of the resource.
type Action struct {
	Holder string
	Token  uint64
	Start  time.Time
	End    time.Time
}

// defaultActionDuration is the duration of an action unless a test sets another one.
const defaultActionDuration = 2 * time.Millisecond

// Resource is an HTTP server for a resource that only one lease holder may act on at a time. The request
// POST /act?holder=H&token=T performs an action, which takes ActionDuration. A fenced resource stores the
// highest token that it has received and rejects actions with a lower token. It also rejects an action if a
// higher token arrives before the action ends.
type Resource struct {
	URL            string // base URL of the server, without /act
	ActionDuration time.Duration

	server *httptest.Server
	fenced bool // rejects stale tokens

	mu       sync.Mutex
	highest  uint64 // highest token that was received
	actions  []Action
	rejected int // number of rejected actions
}

// NewResource starts a resource. If it is not fenced, it accepts any token.
func NewResource(t T, fenced bool) *Resource {
	r := &Resource{ActionDuration: defaultActionDuration, fenced: fenced}
	r.server = httptest.NewServer(r)
	t.Cleanup(r.server.Close)
	r.URL = r.server.URL
	return r
}

// ServeHTTP handles one action.
func (r *Resource) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	token, err := strconv.ParseUint(q.URL.Query().Get("token"), 10, 64)
	action := Action{Holder: q.URL.Query().Get("holder"), Token: token, Start: time.Now()}
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

// admit reports whether an action with this token may start.
func (r *Resource) admit(token uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rejectStale(token) {
		return false
	}
	r.highest = max(r.highest, token)
	return true
}

// commit records that an action took effect, unless a higher token has arrived since it started.
func (r *Resource) commit(action Action) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rejectStale(action.Token) {
		return false
	}
	r.actions = append(r.actions, action)
	return true
}

// rejectStale reports whether a token is lower than the highest one on a fenced resource, and counts the
// rejected action. The caller must hold mu.
func (r *Resource) rejectStale(token uint64) bool {
	if !r.fenced || token >= r.highest {
		return false
	}
	r.rejected++
	return true
}

// Violations describes violations of mutual exclusion: an action that took effect after one with a higher
// token, overlapping actions of two holders, or one token used by two holders.
func (r *Resource) Violations() (violations []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	holders := map[uint64]string{} // by token
	var last Action
	for _, a := range r.actions {
		if holder, ok := holders[a.Token]; ok && holder != a.Holder {
			violations = append(violations, fmt.Sprintf("token %d was used by both %s and %s", a.Token, holder, a.Holder))
		}
		holders[a.Token] = a.Holder
		switch {
		case a.Token < last.Token:
			violations = append(violations, fmt.Sprintf("token %d of %s took effect after token %d of %s", a.Token, a.Holder, last.Token, last.Holder))
		case a.Holder != last.Holder && a.Start.Before(last.End):
			violations = append(violations, fmt.Sprintf("actions of %s and %s overlap", a.Holder, last.Holder))
		}
		last = a
	}
	return violations
}

// Counts returns the numbers of distinct tokens, of actions that took effect, and of rejected actions.
func (r *Resource) Counts() (tokens, actions, rejected int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	distinct := map[uint64]bool{}
	for _, a := range r.actions {
		distinct[a.Token] = true
	}
	return len(distinct), len(r.actions), r.rejected
}

// LastAction returns the last action that took effect. It reports false if there is none.
func (r *Resource) LastAction() (a Action, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.actions) == 0 {
		return a, false
	}
	return r.actions[len(r.actions)-1], true
}

// ActedAfter reports whether the last action that took effect started after a given time.
func (r *Resource) ActedAfter(at time.Time) bool {
	a, ok := r.LastAction()
	return ok && a.Start.After(at)
}

// LongestGap returns the longest time between the ends of two consecutive actions that took effect after a given
// time. The time from since to the end of the first such action counts too.
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
