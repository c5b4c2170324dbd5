package session

import "oxbowbridge/internal/transport/lineproto"

// LineHandler is the eventloop.Handler of a connection that speaks a line protocol.
type LineHandler struct {
	Config Config
	Parser lineproto.Parser // of the event loop's goroutine
	// IsCurrent reports whether the session still uses the connection; if not, nothing more is
	// reported. It and the other functions are called on the dispatcher's goroutine.
	IsCurrent func() bool
	OnMessage func(lineproto.Message)
	// OnLost is called when the connection is closed, and when its input is malformed: nothing after
	// that can be trusted.
	OnLost func(error)

	malformed bool // of the event loop's goroutine
}

// OnData parses received bytes.
func (h *LineHandler) OnData(received []byte) {
	if h.malformed {
		return
	}
	err := h.Parser.Feed(received, func(m lineproto.Message) {
		h.post(func() { h.OnMessage(m) })
	})
	if err != nil {
		h.malformed = true
		h.OnClose(err)
	}
}

// OnClose reports the loss of the connection.
func (h *LineHandler) OnClose(err error) { h.post(func() { h.OnLost(err) }) }

func (h *LineHandler) post(f func()) {
	h.Config.post(func() {
		if h.IsCurrent() {
			f()
		}
	})
}
