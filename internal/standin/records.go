package standin

import (
	"fmt"
	"net"
	"time"
)

// Records answers every call with "recorded", after some time.
type RecordsService struct {
	ResponseDelay time.Duration
}

// Serve takes connections until the listener is closed.
func (r *RecordsService) Serve(ln net.Listener) error {
	return serve(ln, func(c net.Conn) {
		readLines(c, func(w []string) bool { return w[0] == "OP" }, func(w []string, _ []byte) {
			if w[0] == "OP" {
				time.Sleep(r.ResponseDelay)
				fmt.Fprintf(c, "%s DONE 8\r\nrecorded\r\n", w[1])
			}
		})
	})
}
