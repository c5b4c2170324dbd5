package session

import "oxbowbridge/internal/transport/lineproto"

// LineHandler is the eventloop.Handler of a connection with a line protocol. It parses the input and
// calls the session on the dispatcher's goroutine.
type LineHandler struct {
	Config Config
	Parser lineproto.Parser // used on the event loop's goroutine only
	// IsCurrent reports whether the session still uses the connection. If not, messages and the loss
	// of the connection are dropped. IsCurrent, OnMessage and OnLost are called on the dispatcher's
	// goroutine.
	IsCurrent func() bool
	OnMessage func(lineproto.Message)
	// OnLost is called when the connection is closed, and when its input is malformed. Input after a
	// malformed message is dropped.
	OnLost func(error)

	malformed bool // used on the event loop's goroutine only
}

// OnData parses received bytes and posts each complete message.
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
