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

// upstreamReplyTimeout bounds the wait for the reply to a run's call. The wait of a run
// that was halted meanwhile ends with it too.
const upstreamReplyTimeout = time.Minute

// Engine runs requests, each for the same time. Requests that find no core free wait
// for one.
type Engine struct {
	// Cores is how many requests run at once.
	Cores int
	// RunDuration is how long each of them runs.
	RunDuration time.Duration
	// DurationFunc is called for the duration of each run in place of RunDuration, if it is set.
	DurationFunc func() time.Duration
	// CommandDelayFunc is called for the time that passes before each command is carried out, and those
	// behind it on the same connection, if it is set.
	CommandDelayFunc func() time.Duration
	// CallingClasses are the classes whose runs call the records service half way.
	CallingClasses []string
	// OnRun is called at the begin of each run, if it is set. It must not block.
	OnRun func(class, body string)

	mu      sync.Mutex
	conn    net.Conn               // the attached one
	notices []string               // all that were sent; those not received are sent again
	replies map[string]chan []byte // by run: where the reply to its call arrives
	cores   chan struct{}          // one element for each core in use
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

// handle carries out one command of the service.
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
			e.start(command.id(), command.words[2], command.body)
		}
	case "FEED":
		select {
		case e.replies[command.id()] <- command.body:
		default: // no run, or one that has its reply
		}
	case "HALT":
		e.finish(command.id(), "STOPPED", nil)
	case "STAT":
		coresInUse := float64(len(e.cores)) / float64(e.Cores)
		fmt.Fprintf(conn, "STATS %s %.2f %d 0.1 1\r\n", command.words[1], coresInUse, len(e.replies))
	}
}

// attach sends the notices after the number that the service has received. A service
// that has received none was restarted; its runs are forgotten. The lock is held.
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

// start begins a run, unless it has begun before. The lock is held.
func (e *Engine) start(id, class string, body []byte) {
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

// run waits for a core, and runs one request. During its call the core is free.
func (e *Engine) run(id, class string, body []byte, reply chan []byte) {
	e.cores <- struct{}{}
	defer func() { <-e.cores }()
	time.Sleep(e.duration())
	result := fmt.Appendf(nil, "%s done: %s", class, body)
	if slices.Contains(e.CallingClasses, class) {
		e.sendCall(id, body)
		<-e.cores
		select {
		case response := <-reply:
			result = fmt.Appendf(result, " (%s)", response)
		case <-time.After(upstreamReplyTimeout):
		}
		e.cores <- struct{}{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finish(id, "OK", result)
}

func (e *Engine) duration() time.Duration {
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

// finish sends the end of a run, once. The lock is held.
func (e *Engine) finish(id, outcome string, result []byte) {
	if e.replies[id] == nil {
		return
	}
	delete(e.replies, id)
	e.notify(fmt.Sprintf("DONE %d %s %s %d %d\r\n%s\r\n",
		e.nextNotice(), id, outcome, e.RunDuration.Milliseconds(), len(result), result))
}

// nextNotice is the number of the next notice, from 1. The lock is held.
func (e *Engine) nextNotice() int { return len(e.notices) + 1 }

// notify sends a notice and stores it for a new connection. The lock is held.
func (e *Engine) notify(notice string) {
	e.notices = append(e.notices, notice)
	io.WriteString(e.conn, notice)
}
