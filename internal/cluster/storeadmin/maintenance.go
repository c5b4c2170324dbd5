package storeadmin

import (
	"net/http"

	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/maintenance"
)

const maxMaintenanceBytes = 8 << 10 // of the body of a request under /work

// answerAtLeader decodes a request's body, forwards the request to the leader, and answers there
// with what answer returns: as JSON, or with 204 if it is an untyped nil.
func answerAtLeader[Body any](s *server, w http.ResponseWriter, r *http.Request, answer func(Body) (any, error)) error {
	var decoded Body
	var body []byte
	if r.Method != http.MethodGet && r.Method != http.MethodDelete {
		var err error
		body, err = decodeJSON(w, r, maxMaintenanceBytes, &decoded)
		if err != nil {
			return err
		}
	}
	if done, err := s.forwardIdempotent(w, r, body); done || err != nil {
		return err
	}
	out, err := answer(decoded)
	if err != nil || out == nil {
		return noContent(w, err)
	}
	storeapi.WriteJSON(w, out)
	return nil
}

// none is the body of requests without one.
type none struct{}

// maintenanceStatus serves GET /work.
func (s *server) maintenanceStatus(w http.ResponseWriter, r *http.Request) error {
	return answerAtLeader(s, w, r, func(none) (any, error) { return s.controller.Status(r.Context()) })
}

// submitOrder serves POST /work.
func (s *server) submitOrder(w http.ResponseWriter, r *http.Request) error {
	return answerAtLeader(s, w, r, func(order maintenance.Order) (any, error) {
		return s.controller.Submit(r.Context(), order)
	})
}

// cancelOrder serves DELETE /work/MACHINE.
func (s *server) cancelOrder(w http.ResponseWriter, r *http.Request) error {
	return answerAtLeader(s, w, r, func(none) (any, error) {
		return nil, s.controller.Cancel(r.Context(), r.PathValue("machine"))
	})
}

// setPause serves POST /work/pause and /work/resume.
func (s *server) setPause(paused bool) handler {
	return func(w http.ResponseWriter, r *http.Request) error {
		return answerAtLeader(s, w, r, func(request maintenance.PauseRequest) (any, error) {
			return nil, s.controller.SetPause(r.Context(), paused, request.Reason)
		})
	}
}

// reportPhase serves PUT /work/MACHINE.
func (s *server) reportPhase(w http.ResponseWriter, r *http.Request) error {
	return answerAtLeader(s, w, r, func(report maintenance.PhaseReport) (any, error) {
		return nil, s.controller.Report(r.Context(), r.PathValue("machine"), report)
	})
}

// recordHeartbeat serves PUT /work/MACHINE/beat. The answer is the machine's order, or null.
func (s *server) recordHeartbeat(w http.ResponseWriter, r *http.Request) error {
	return answerAtLeader(s, w, r, func(heartbeat maintenance.Heartbeat) (any, error) {
		heartbeat.Name = r.PathValue("machine")
		order, err := s.controller.RecordHeartbeat(r.Context(), heartbeat)
		return order, err // a nil *Order is answered as null
	})
}
