// Package storeadmin is the HTTP server on a store node's admin port, which listens on a loopback
// address. It serves operators, lease holders and the other nodes. It forwards requests that only the
// leader can serve. Types and header fields are in package storeapi.
package storeadmin

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/maintenance/controller"
)

// Limits of concurrent requests, which bound memory and file descriptors.
const (
	maxWatchers   = 64
	maxForwards   = 256 // requests that are being forwarded
	maxLeaseWaits = 512 // requests that wait for a lease, on this node or forwarded
)

// Timeouts for reading a request. Handlers of long requests extend or remove the deadline set by readTimeout.
const (
	readHeaderTimeout = time.Second
	readTimeout       = 5 * time.Second
)

// server serves the admin port of one node.
type server struct {
	store             *store.Store
	controller        *controller.Controller
	client            *http.Client // for forwarded requests
	longTimeoutClient *http.Client // for forwarded requests that may take longer; see forwardingClient
	watcherSlots      slots
	forwardSlots      slots
	leaseWaitSlots    slots
	restoreLock       sync.Mutex // held while a backup is being restored through this node
}

// slots is a counting semaphore that limits concurrent requests.
type slots chan struct{}

// newSlots returns a semaphore with count slots.
func newSlots(count int) slots { return make(slots, count) }

func (s slots) tryAcquire() bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s slots) release() { <-s }

// Open starts a node of the store, its admin port and its maintenance controller. The node discovers the
// other nodes and catches up in the background. Closing the store closes all three.
func Open(cfg store.Config, log *zap.Logger) (*store.Store, *controller.Controller, error) {
	node, err := store.New(cfg, log)
	if err != nil {
		return nil, nil, err
	}
	maintenanceController := controller.New(node, log.Named("maintenance"))
	node.OnClose(maintenanceController.Close)
	if err := serve(node, maintenanceController); err != nil {
		maintenanceController.Close()
		return nil, nil, err
	}
	if err := node.Start(); err != nil {
		node.Close()
		return nil, nil, err
	}
	return node, maintenanceController, nil
}

// serve listens on the node's admin address and serves it until the node is closed.
func serve(node *store.Store, maintenanceController *controller.Controller) error {
	s := &server{
		store:             node,
		controller:        maintenanceController,
		client:            &http.Client{Timeout: storeapi.CommitTimeout + time.Second},
		longTimeoutClient: &http.Client{Timeout: storeapi.RestoreTimeout},
		watcherSlots:      newSlots(maxWatchers),
		forwardSlots:      newSlots(maxForwards),
		leaseWaitSlots:    newSlots(maxLeaseWaits),
	}
	listener, err := net.Listen("tcp", node.AdminAddress())
	if err != nil {
		return fmt.Errorf("listen on the admin address: %w", err)
	}
	httpServer := &http.Server{
		Handler:           s.checkCluster(s.routes()),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		ErrorLog:          zap.NewStdLog(node.Log()),
	}
	go httpServer.Serve(listener)
	node.OnClose(func() { httpServer.Close() })
	return nil
}

func (s *server) routes() *http.ServeMux {
	mux := http.NewServeMux()
	for pattern, handle := range map[string]handler{
		// This node.
		"GET /status": s.getStatus,
		"GET /self":   s.getSelf,
		"GET /index":  s.getIndex,
		// Keys.
		"GET /store":             s.listKeys,
		"GET /store/{key...}":    s.getKey,
		"PUT /store/{key...}":    s.writeKey,
		"DELETE /store/{key...}": s.writeKey,
		"GET /watch":             s.watch,
		"POST /session":          s.openSession,
		"POST /txn":              s.txn,
		"GET /backup":            s.getBackup,
		"POST /restore":          s.restore,
		"DELETE /restore":        s.restore,
		// Members.
		"GET /members":           s.listMembers,
		"POST /members":          s.joinMember,
		"PUT /members/{name}":    s.changeMember(s.store.AllowRejoin),
		"DELETE /members/{name}": s.changeMember(s.store.RequestRemoval),
		"POST /members/{name}":   s.changeMember(s.store.PreferAsVoter),
		// Leases.
		"GET /lease":              s.listLeases,
		"PUT /lease":              s.renewLeases,
		"GET /lease/{name...}":    s.getLease,
		"POST /lease/{name...}":   s.acquireLease,
		"PUT /lease/{name...}":    s.renewLease,
		"DELETE /lease/{name...}": s.releaseOrRevokeLease,
		// Maintenance.
		"GET /work":                s.maintenanceStatus,
		"POST /work":               s.submitOrder,
		"POST /work/pause":         s.setPause(true),
		"POST /work/resume":        s.setPause(false),
		"DELETE /work/{machine}":   s.cancelOrder,
		"PUT /work/{machine}":      s.reportPhase,
		"PUT /work/{machine}/beat": s.recordHeartbeat,
	} {
		mux.Handle(pattern, handle)
	}
	return mux
}

// checkCluster adds this node's cluster to each response, and rejects requests that are meant for another
// cluster.
func (s *server) checkCluster(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		local := s.store.ClusterID()
		wanted := r.Header.Get(storeapi.HeaderCluster)
		if local != "" {
			w.Header().Set(storeapi.HeaderCluster, local)
		}
		if local != "" && wanted != "" && local != wanted {
			http.Error(w, fmt.Sprintf("this node is of cluster %s, not of %s", local, wanted), http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}
