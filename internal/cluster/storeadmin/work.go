package storeadmin

import (
	"net/http"

	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/maintenance"
)

const workMost = 8 << 10 // bytes of a request about work

// atLeader reads a request, and has the leader answer it: do is called there.
func atLeader[T any](a *admin, w http.ResponseWriter, r *http.Request, do func(T) (any, error)) {
	var q T
	var text []byte
	if r.Method != http.MethodGet && r.Method != http.MethodDelete {
		var err error
		if text, err = decode(w, r, workMost, &q); err != nil {
			fail(w, err)
			return
		}
	}
	if a.passOn(w, r, text, true) {
		return
	}
	out, err := do(q)
	switch {
	case err != nil:
		fail(w, err)
	case out == nil:
		w.WriteHeader(http.StatusNoContent)
	default:
		storeapi.WriteJSON(w, out)
	}
}

// workStatus is GET /work.
func (a *admin) workStatus(w http.ResponseWriter, r *http.Request) {
	atLeader(a, w, r, func(struct{}) (any, error) { return a.order.Status(r.Context()) })
}

// askWork is POST /work.
func (a *admin) askWork(w http.ResponseWriter, r *http.Request) {
	atLeader(a, w, r, func(j maintenance.Order) (any, error) { return a.order.Submit(r.Context(), j) })
}

// cancelWork is DELETE /work/NODE.
func (a *admin) cancelWork(w http.ResponseWriter, r *http.Request) {
	atLeader(a, w, r, func(struct{}) (any, error) { return nil, a.order.Cancel(r.Context(), r.PathValue("node")) })
}

// pauseWork is POST /work/pause and /work/resume.
func (a *admin) pauseWork(paused bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		atLeader(a, w, r, func(q maintenance.PauseRequest) (any, error) {
			return nil, a.order.SetPause(r.Context(), paused, q.Reason)
		})
	}
}

// sayWork is PUT /work/NODE.
func (a *admin) sayWork(w http.ResponseWriter, r *http.Request) {
	atLeader(a, w, r, func(q maintenance.PhaseReport) (any, error) {
		return nil, a.order.Report(r.Context(), r.PathValue("node"), q)
	})
}

// beatWork is PUT /work/NODE/beat.
func (a *admin) beatWork(w http.ResponseWriter, r *http.Request) {
	atLeader(a, w, r, func(b maintenance.Heartbeat) (any, error) {
		b.Name = r.PathValue("node")
		j, err := a.order.RecordHeartbeat(r.Context(), b)
		return j, err // null, if nothing is asked for
	})
}
