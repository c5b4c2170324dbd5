package storeadmin

import (
	"net/http"

	"oxbowbridge/internal/cluster/storeapi"
)

const maxJoinBodyBytes = 4 << 10 // maximum size of the body of POST /members

// listMembers serves GET /members: the members as the leader sees them.
func (s *server) listMembers(w http.ResponseWriter, r *http.Request) error {
	if done, err := s.forwardIdempotent(w, r, nil); done || err != nil {
		return err
	}
	members, err := s.store.Members(r.Context())
	if err != nil {
		return err
	}
	storeapi.WriteJSON(w, members)
	return nil
}

// joinMember serves POST /members: a node joins as a learner.
func (s *server) joinMember(w http.ResponseWriter, r *http.Request) error {
	var request storeapi.JoinRequest
	body, err := decodeJSON(w, r, maxJoinBodyBytes, &request)
	if err != nil {
		return err
	}
	if done, err := s.forwardIdempotent(w, r, body); done || err != nil {
		return err
	}
	return writeNoContent(w, s.store.Join(r.Context(), request))
}

// changeMember returns a handler of /members/NAME that applies change to the member.
func (s *server) changeMember(change func(name string) error) handler {
	return func(w http.ResponseWriter, r *http.Request) error {
		if done, err := s.forwardIdempotent(w, r, nil); done || err != nil {
			return err
		}
		return writeNoContent(w, change(r.PathValue("name")))
	}
}
