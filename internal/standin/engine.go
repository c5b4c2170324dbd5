package standin

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// callReplyTimeout limits how long a run waits for the reply to its call. A run that is halted during this
// wait also waits until the timeout.
const callReplyTimeout = time.Minute

// Engine executes runs of a fixed duration. A run waits if no core is free.
type Engine struct {
	// Cores is the maximum number of concurrent runs.
	Cores int
	// RunDuration is the duration of each run.
	RunDuration time.Duration
	// DurationFunc, if set, returns the duration of each run and replaces RunDuration.
	DurationFunc func() time.Duration
	// CommandDelayFunc, if set, returns how long the engine waits before it executes each command. The
	// wait also delays all later commands on the same connection.
	CommandDelayFunc func() time.Duration
	// CallingClasses lists the classes whose runs call the records service before they end.
	CallingClasses []string
	// OnRun, if set, is called at the start of each run. It must not block.
	OnRun func(class, body string)

	mu      sync.Mutex
	conn    net.Conn               // the connection that attached last
	notices []string               // all notices sent; after a reconnect, the missed ones are resent
	replies map[string]chan []byte // by run id; receives the reply to the run's call
	cores   chan struct{}          // has one element for each core in use
	started time.Time
}

// Serve accepts connections until the listener is closed.
func (e *Engine) Serve(listener net.Listener) error {
	e.replies = map[string]chan []byte{}
	e.cores = make(chan struct{}, e.Cores)
	e.started = time.Now()
	hasBody := func(name string) bool { return name == "RUN" || name == "FEED" }
	return serve(listener, func(conn net.Conn) {
		readCommands(conn, hasBody, func(command lineCommand) { e.handle(conn, command) })
	})
}

// handle executes one command from the service.
func (e *Engine) handle(conn net.Conn, command lineCommand) {
	if e.CommandDelayFunc != nil {
		time.Sleep(e.CommandDelayFunc())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch command.name() {
	case "ATTACH":
		e.attach(conn, command.words[1])
	case "RUN":
		if len(command.words) > 2 {
			e.startRun(command.id(), command.words[2], command.body)
		}
	case "FEED":
		select {
		case e.replies[command.id()] <- command.body:
		default: // the run does not exist, or already has its reply
		}
	case "HALT":
		e.finish(command.id(), "STOPPED", nil)
	case "STAT":
		coresInUse := float64(len(e.cores)) / float64(e.Cores)
		fmt.Fprintf(conn, "STATS %s %.2f %d 0.1 1\r\n", command.words[1], coresInUse, len(e.replies))
	}
}

// attach sends the notices that the service has missed: those with a number above lastNotice. If the
// service has received no notice, it was restarted, and the engine discards its runs and notices. The
// caller must hold mu.
func (e *Engine) attach(conn net.Conn, lastNotice string) {
	received, _ := strconv.Atoi(lastNotice)
	if received == 0 {
		e.notices = nil
		e.replies = map[string]chan []byte{}
	}
	e.conn = conn
	missed := e.notices[min(received, len(e.notices)):]
	fmt.Fprintf(conn, "HELLO WARM %d\r\n%s", time.Since(e.started).Milliseconds(), strings.Join(missed, ""))
}

// startRun starts a run unless a run with this id exists already. The caller must hold mu.
func (e *Engine) startRun(id, class string, body []byte) {
	if e.replies[id] != nil {
		return
	}
	reply := make(chan []byte, 1)
	e.replies[id] = reply
	if e.OnRun != nil {
		e.OnRun(class, string(body))
	}
	go e.run(id, class, body, reply)
}

// run waits for a free core and executes one run. It releases the core while it waits for the reply to its
// call.
func (e *Engine) run(id, class string, body []byte, reply chan []byte) {
	e.cores <- struct{}{}
	defer func() { <-e.cores }()
	time.Sleep(e.nextRunDuration())
	result := fmt.Appendf(nil, "%s done: %s", class, body)
	if slices.Contains(e.CallingClasses, class) {
		e.sendCall(id, body)
		<-e.cores
		select {
		case response := <-reply:
			result = fmt.Appendf(result, " (%s)", response)
		case <-time.After(callReplyTimeout):
		}
		e.cores <- struct{}{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finish(id, "OK", result)
}

func (e *Engine) nextRunDuration() time.Duration {
	if e.DurationFunc != nil {
		return e.DurationFunc()
	}
	return e.RunDuration
}

func (e *Engine) sendCall(id string, body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notify(fmt.Sprintf("NEED %d %s %d\r\n%s\r\n", e.nextNotice(), id, len(body), body))
}

// finish removes a run and notifies the service of its outcome. It does nothing if the run does not exist.
// The caller must hold mu.
func (e *Engine) finish(id, outcome string, result []byte) {
	if e.replies[id] == nil {
		return
	}
	delete(e.replies, id)
	e.notify(fmt.Sprintf("DONE %d %s %s %d %d\r\n%s\r\n",
		e.nextNotice(), id, outcome, e.RunDuration.Milliseconds(), len(result), result))
}

// nextNotice returns the number of the next notice. The first notice has number 1. The caller must hold mu.
func (e *Engine) nextNotice() int { return len(e.notices) + 1 }

// notify sends a notice and stores it so that it can be resent on a new connection. The caller must hold mu.
func (e *Engine) notify(notice string) {
	e.notices = append(e.notices, notice)
	io.WriteString(e.conn, notice)
}
