package storeadmin

import (
	"net/http"

	"oxbowbridge/internal/cluster/storeapi"
)

const joinMost = 4 << 10 // bytes of a request for a place

// members answers with the members as the leader sees them.
func (a *admin) members(w http.ResponseWriter, r *http.Request) {
	if a.passOn(w, r, nil, true) {
		return
	}
	out, err := a.store.Members(r.Context())
	if err != nil {
		fail(w, err)
		return
	}
	storeapi.WriteJSON(w, out)
}

// join takes a node in as a learner.
func (a *admin) join(w http.ResponseWriter, r *http.Request) {
	var j storeapi.JoinRequest
	text, err := decode(w, r, joinMost, &j)
	if err != nil {
		fail(w, err)
		return
	}
	if a.passOn(w, r, text, true) {
		return
	}
	if err := a.store.Join(r.Context(), j); err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// changeMember removes a member, lets it in again, or gives it a vote.
func (a *admin) changeMember(w http.ResponseWriter, r *http.Request) {
	if a.passOn(w, r, nil, true) {
		return
	}
	do := a.store.PromoteMember
	switch r.Method {
	case http.MethodDelete:
		do = a.store.RemoveMember
	case http.MethodPut:
		do = a.store.AddMember
	}
	if err := do(r.PathValue("name")); err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
