package tests

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
)

// recordsStandin stands in for the records service. reply selects how it answers calls. A text that is not a
// word of the protocol is sent as it is, with the call's trace id in place of %s.
type recordsStandin struct {
	addr          string
	mu            sync.Mutex
	reply         string
	nextReply     string // replaces reply for one call
	receivedLines []string
	acceptedConns int
	closedConns   int // accepted connections that have been closed
	lastConn      net.Conn
	lastTrace     string // trace id of the latest call
}

// replyToLast sends the reply to the latest call, which was not answered before.
func (r *recordsStandin) replyToLast(body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.lastConn, "%s DONE %d\r\n%s\r\n", r.lastTrace, len(body), body)
}

func newRecordsStandin(t *testing.T) *recordsStandin {
	r := &recordsStandin{reply: "DONE"}
	r.addr = startTCPServer(t, func(c net.Conn) {
		r.increment(&r.acceptedConns)
		defer r.increment(&r.closedConns)
		readLineProtocol(c, func(w []string) bool { return w[0] == "OP" }, func(w []string, body []byte) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.receivedLines = append(r.receivedLines, strings.Join(w, " "))
			if w[0] != "OP" {
				return
			}
			r.lastConn, r.lastTrace = c, w[1]
			reply := cmp.Or(r.nextReply, r.reply)
			r.nextReply = ""
			switch reply {
			case "DONE":
				fmt.Fprintf(c, "%s DONE %d\r\n%s\r\n", w[1], len(body)+6, "reply:"+string(body))
			case "WAIT", "ERROR", "PAST", "EMPTY":
				fmt.Fprintf(c, "%s %s\r\n", w[1], reply)
			case "break":
				c.Close()
			case "silence":
			default:
				reply, cut := strings.CutPrefix(reply, "cut:") // the connection is closed after the reply
				if strings.Contains(reply, "%") {
					reply = fmt.Sprintf(reply, w[1])
				}
				io.WriteString(c, reply)
				if cut {
					c.Close()
				}
			}
		})
	})
	return r
}

func (r *recordsStandin) increment(n *int) {
	r.mu.Lock()
	*n++
	r.mu.Unlock()
}

func (r *recordsStandin) closedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closedConns
}

func (r *recordsStandin) setNextReply(reply string) {
	r.mu.Lock()
	r.nextReply, r.reply = reply, "DONE"
	r.mu.Unlock()
}

func (r *recordsStandin) setReply(reply string) {
	r.mu.Lock()
	r.reply = reply
	r.mu.Unlock()
}

func (r *recordsStandin) countReceived(prefix string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return countWithPrefix(r.receivedLines, prefix)
}
