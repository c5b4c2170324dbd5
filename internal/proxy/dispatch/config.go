package dispatch

import (
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/sitesettings"
)

// Frontend accepts connections of callers and submits their requests to the exchange.
type Frontend interface {
	// StopListening stops accepting connections. It does not block.
	StopListening()
	// CloseIdle closes connections that have had no open request for at least the given time.
	// It returns the number of remaining connections and of response bytes not yet sent.
	CloseIdle(idle time.Duration) (remaining, unsentBytes int)
	// CloseIdleAndStalled closes idle connections like CloseIdle. It also closes stalled connections, whose callers
	// leave a message incomplete or do not read responses.
	CloseIdleAndStalled(idle time.Duration)
	// DrainConnections closes each connection as soon as all requests read from it have a response.
	DrainConnections()
}

// LingeringConns are connections of frontends and clients that this process has shut down and that
// wait for their peers to close.
type LingeringConns interface {
	// ReapLingering closes the connections whose linger time is over and returns the number that
	// remain. now is read from time.Now, the event loop's clock, not from Config.Now.
	ReapLingering(now time.Time) (remaining int)
}

// Registry registers the service for the balancers.
type Registry interface {
	// Register registers the service as available.
	Register()
	// SetAvailable sets whether the registered service accepts requests.
	SetAvailable(available bool)
	// Deregister removes the service from the registry.
	Deregister()
}

// Config holds the dependencies and settings of a Dispatcher. Fields without a default are required.
type Config struct {
	// Exchange delivers requests and outcomes to the dispatcher.
	Exchange *exchange.Exchange
	// Timers is shared with the backend clients. Only the dispatcher's goroutine uses it.
	Timers *timerqueue.Queue
	// Runner runs requests: the engine, or AJP upstreams.
	Runner exchange.Runner
	// RunnerCannotPause says that the runner ends every run that it stops, even if the settings ask
	// for pauses. Runs are not preempted then, because they could not be resumed. Default false.
	RunnerCannotPause bool
	// Dependency sends the calls of runs to the records service.
	Dependency exchange.DependencyClient
	// Registry registers the service for the balancers.
	Registry Registry
	// Frontends receive requests from callers.
	Frontends []Frontend
	// Lingering are the closing connections of frontends and backend clients.
	Lingering LingeringConns
	// MaxIdempotencyKeyBytes limits the size of the idempotency table. If it is 0, all requests of
	// deduplicated classes are rejected.
	MaxIdempotencyKeyBytes int
	// Now is a monotonic clock: the time since the start of the process.
	Now func() time.Duration
	// Log receives the dispatcher's messages.
	Log *zap.Logger
	// SiteSettings are the service's settings as configured.
	SiteSettings *sitesettings.Settings
}
