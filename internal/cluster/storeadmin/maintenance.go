package storeadmin

import (
	"net/http"

	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/maintenance"
)

const maxMaintenanceBodyBytes = 8 << 10 // maximum size of a request body under /work

// serveAtLeader decodes a request's body and forwards the request to the leader. On the leader, it responds with the
// result of serve as JSON, or with 204 if that is an untyped nil.
func serveAtLeader[Body any](s *server, w http.ResponseWriter, r *http.Request, serve func(Body) (any, error)) error {
	var decoded Body
	var body []byte
	if r.Method != http.MethodGet && r.Method != http.MethodDelete {
		var err error
		body, err = decodeJSON(w, r, maxMaintenanceBodyBytes, &decoded)
		if err != nil {
			return err
		}
	}
	if done, err := s.forwardIdempotent(w, r, body); done || err != nil {
		return err
	}
	out, err := serve(decoded)
	if err != nil || out == nil {
		return writeNoContent(w, err)
	}
	storeapi.WriteJSON(w, out)
	return nil
}

// noBody is the type of the body of requests that have none.
type noBody struct{}

// maintenanceStatus serves GET /work.
func (s *server) maintenanceStatus(w http.ResponseWriter, r *http.Request) error {
	return serveAtLeader(s, w, r, func(noBody) (any, error) { return s.controller.Status(r.Context()) })
}

// submitOrder serves POST /work.
func (s *server) submitOrder(w http.ResponseWriter, r *http.Request) error {
	return serveAtLeader(s, w, r, func(order maintenance.Order) (any, error) {
		return s.controller.Submit(r.Context(), order)
	})
}

// cancelOrder serves DELETE /work/MACHINE.
func (s *server) cancelOrder(w http.ResponseWriter, r *http.Request) error {
	return serveAtLeader(s, w, r, func(noBody) (any, error) {
		return nil, s.controller.Cancel(r.Context(), r.PathValue("machine"))
	})
}

// setPause serves POST /work/pause and /work/resume.
func (s *server) setPause(paused bool) handler {
	return func(w http.ResponseWriter, r *http.Request) error {
		return serveAtLeader(s, w, r, func(request maintenance.PauseRequest) (any, error) {
			return nil, s.controller.SetPause(r.Context(), paused, request.Reason)
		})
	}
}

// reportPhase serves PUT /work/MACHINE.
func (s *server) reportPhase(w http.ResponseWriter, r *http.Request) error {
	return serveAtLeader(s, w, r, func(report maintenance.PhaseReport) (any, error) {
		return nil, s.controller.Report(r.Context(), r.PathValue("machine"), report)
	})
}

// recordHeartbeat serves PUT /work/MACHINE/beat. The response is the machine's order, or null.
func (s *server) recordHeartbeat(w http.ResponseWriter, r *http.Request) error {
	return serveAtLeader(s, w, r, func(heartbeat maintenance.Heartbeat) (any, error) {
		heartbeat.Name = r.PathValue("machine")
		order, err := s.controller.RecordHeartbeat(r.Context(), heartbeat)
		return order, err // a nil *Order is encoded as null
	})
}
