// Package admission decides, inside one server, which requests are admitted, run,
// refused or failed when there is more work than the server can do.
//
// A server owns one Controller. It tells the controller what happened with
// Handle and carries out the returned actions in order, at the same instant.
// The controller has no clock, goroutine, I/O or global state: the server owns
// the clock, calls must be serialised, and equal calls give equal actions.
//
// Every Arrive obliges the server to hold the request until an action starts
// or answers it; a request for which no action comes simply stays held. Each
// Take that starts a run, and each Share, is followed by one Completed.
// Defer asks for one Due event, which must carry the server's gauges.
package admission

import (
	"fmt"
	"time"
)

// Effect says how often a class may be run.
type Effect uint8

// The effects of a class.
const (
	Idempotent   Effect = iota // may be run again
	Deduplicated               // once here within its window
	AtMostOnce                 // once, never again after it may have run
)

// Halt says what Suspend does to running work.
type Halt uint8

// The kinds of Halt.
const (
	HaltNone  Halt = iota // running work can't be stopped
	HaltDrop              // progress is lost, the request is held again
	HaltPause             // progress and memory are kept until Take
)

// Advert says how callers read the value set by Publish.
type Advert uint8

// The kinds of Advert.
const (
	AdvertNone   Advert = iota // no value may be published
	AdvertLevel                // requests placed below the value stay away
	AdvertCredit               // requests that each caller may have outstanding
	AdvertWeight               // chance, 0 to 1, that a caller doesn't skip the server
)

// Below says what calls go to.
type Below uint8

// The kinds of Below.
const (
	BelowNone   Below = iota // nothing
	BelowShared              // one dependency that all servers share
	BelowTier                // another tier of servers running this code
)

// Outcome is the result of a run or a call.
type Outcome uint8

// The outcomes. Full, Unreachable and TooLate prove that nothing was run.
const (
	OK Outcome = iota
	Internal
	Full
	DeadlineExceeded
	Unreachable
	Broken
	Cancelled
	TooLate
)

// Class describes one class of requests.
type Class struct {
	Aim        time.Duration // an answer this long after the first try earns the full worth
	Deadline   time.Duration // how long a client waits across all of its tries
	AimStretch float64       // the aim grows by this multiple of the request's own work
	Window     time.Duration // Deduplicated: how long a repeat may arrive
	Effect     Effect
	Value      float64 // worth of one request, or of one unit of work with PerWork
	LateShare  float64 // share of the worth kept after the aim
	Calls      bool    // its requests may call below
	SkipWorth  float64 // share of the worth kept when a call is left out
}

// Tenant describes one tenant.
type Tenant struct {
	Allowance float64 // requests per second within its share, over all servers
}

// Settings is all that a controller is told at its start.
type Settings struct {
	Tick    time.Duration // least time between two calls of Handle
	Depth   int           // tiers above this one, whose work a refusal here wastes
	Cores   int
	Servers int // servers of this tier
	Callers int // callers of this tier
	Classes []Class
	Tenants []Tenant // may be empty

	PerWork        bool    // worth is counted per unit of work
	OverShareWorth float64 // worth beyond a tenant's share, as a fraction

	Fresh       bool          // started cold
	ColdShare   float64       // least share of its speed that a cold server has
	ColdFor     time.Duration // longest time until it is warm
	CrowdFactor float64       // requests on the cores, per core, that a warm server survives
	CrowdOver   time.Duration // the time over which they are averaged

	MemoryKB  float64
	RunFactor float64       // memory of a running request over that of a held one
	KeyKB     float64       // memory of one kept key
	ShareFor  time.Duration // how long a read's answer may serve others; 0: never

	Below      Below
	CallShare  float64       // BelowShared: this server's share of calls in hand
	CallWindow time.Duration // the time over which calls in hand are averaged
	Linger     time.Duration // longest time that an abandoned call stays in hand

	Halt          Halt
	Advert        Advert
	TellsGone     bool // Lapsed may come
	DeepChecks    bool // health checks do real work unless Status is Light
	IdleMax       time.Duration
	HeardFor      time.Duration // how long callers remember a published value
	AdviceMax     time.Duration // longest retry advice that is honoured; 0: none
	AnswerSlack   time.Duration // how long after its due time an answer still counts
	DrainGrace    time.Duration // arrivals later than this after Drain must not run
	RetriesMarked bool
}

// validate refuses settings with which no server could work.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("classes: at least one is needed")
	}
	for _, v := range []struct {
		name string
		x    float64
		low  float64
	}{
		{"cores", float64(s.Cores), 1}, {"servers", float64(s.Servers), 1}, {"memory", s.MemoryKB, 1e-9},
		{"run factor", s.RunFactor, 1}, {"crowd factor", s.CrowdFactor, 1}, {"tick", float64(s.Tick), 0},
		{"callers", float64(s.Callers), 0}, {"depth", float64(s.Depth), 0}, {"cold share", s.ColdShare, 0}, {"key size", s.KeyKB, 0},
		{"call share", s.CallShare, 0}, {"over-share worth", s.OverShareWorth, 0},
		{"cold time", float64(s.ColdFor), 0}, {"answer slack", float64(s.AnswerSlack), 0},
		{"drain grace", float64(s.DrainGrace), 0}, {"crowd time", float64(s.CrowdOver), 0},
		{"share time", float64(s.ShareFor), 0}, {"call window", float64(s.CallWindow), 0},
		{"linger", float64(s.Linger), 0}, {"longest advice", float64(s.AdviceMax), 0},
		{"idle time", float64(s.IdleMax), 0}, {"heard time", float64(s.HeardFor), 0},
	} {
		if !(v.x >= v.low) {
			return fmt.Errorf("%s: %g is impossible, want at least %g", v.name, v.x, v.low)
		}
	}
	for i, k := range s.Classes {
		if k.Aim <= 0 || k.Deadline < k.Aim || k.Window < 0 || !(k.Value >= 0) || !(k.LateShare >= 0) {
			return fmt.Errorf("class %d: impossible aim, deadline, window, value or late share", i)
		}
	}
	for i, t := range s.Tenants {
		if !(t.Allowance >= 0) {
			return fmt.Errorf("tenant %d: impossible allowance %g", i, t.Allowance)
		}
	}
	return nil
}

// Event is something that happened to the server: one of the types below.
type Event interface{ event() }

// Arrive reports a request that was read and is now held.
type Arrive struct {
	ID       uint32
	Class    int
	Tenant   int
	TimeLeft time.Duration // until the caller gives up; 0 if not known
	Hint     time.Duration // expected work on a standard core; 0 if not known
	Waited   time.Duration // since it reached the machine
	HeldKB   float64
	Keyed    bool    // it names a subject
	Repeat   bool    // marked as a later try
	Place    float64 // rank, 0 to 1, by class worth
	DupOf    uint32  // kept request that it repeats; 0 if none
}

// Completed reports that a run or a Share ended, or that Suspend took effect.
type Completed struct {
	ID      uint32
	Took    time.Duration
	Outcome Outcome
}

// Lapsed reports that the caller is gone: no answer is owed.
type Lapsed struct{ ID uint32 }

// Awaiting reports that a running request left the cores and stands at a call.
type Awaiting struct{ ID uint32 }

// Replied reports the end of a Call.
type Replied struct {
	ID      uint32
	Took    time.Duration
	Outcome Outcome
}

// Drain is the notice that the server will be stopped.
type Drain struct {
	TimeLeft time.Duration // until then
	Waited   time.Duration // since the notice came, where it was not told at once
}

// Due answers a Defer.
type Due struct {
	Ref    uint64
	Gauges Gauges
}

// Gauges are the server's own measurements; a negative value is not known.
type Gauges struct {
	CoreUse float64 // share of the cores busy lately
	OnCores float64 // everything that wants a core now
	Memory  float64 // share of the memory in use
	Links   float64 // open connections
}

func (Arrive) event()    {}
func (Completed) event() {}
func (Lapsed) event()    {}
func (Awaiting) event()  {}
func (Replied) event()   {}
func (Drain) event()     {}
func (Due) event()       {}

// Action is something the server must do now: one of the types below.
type Action interface{ action() }

// Take starts a held request or resumes a paused one.
type Take struct{ ID uint32 }

// Suspend stops a running request, as Settings.Halt says.
type Suspend struct{ ID uint32 }

// Refuse answers a request that was never run.
type Refuse struct {
	ID       uint32
	Terminal bool          // asks the caller not to try elsewhere
	RetryIn  time.Duration // asks the caller to stay away this long; 0: no advice
}

// Abort answers a request with an error that promises nothing.
type Abort struct{ ID uint32 }

// Call makes the call at which a request stands.
type Call struct {
	ID     uint32
	Expire time.Duration // clock time at which the call is abandoned
}

// Degrade lets a request go on without its call.
type Degrade struct{ ID uint32 }

// RecordKey keeps the key of a request so that repeats are known as such.
type RecordKey struct {
	ID       uint32
	Lifetime time.Duration
}

// Evict forgets a kept key.
type Evict struct{ ID uint32 }

// Share answers a repeat with the result of the request that it repeats.
type Share struct{ ID uint32 }

// Status sets the answer to health checks.
type Status struct{ Active, Light bool }

// Publish sets the value that Settings.Advert describes.
type Publish struct{ Amount float64 }

// Idle closes connections that have been idle for Lifetime.
type Idle struct{ Lifetime time.Duration }

// Defer asks for a Due event after Span.
type Defer struct {
	Span time.Duration
	Ref  uint64
}

// Remark is a line for the operators' log.
type Remark struct{ Text string }

func (Take) action()      {}
func (Suspend) action()   {}
func (Refuse) action()    {}
func (Abort) action()     {}
func (Call) action()      {}
func (Degrade) action()   {}
func (RecordKey) action() {}
func (Evict) action()     {}
func (Share) action()     {}
func (Status) action()    {}
func (Publish) action()   {}
func (Idle) action()      {}
func (Defer) action()     {}
func (Remark) action()    {}
