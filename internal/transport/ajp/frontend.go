package ajp

import (
	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/fdquota"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/frontend"
)

// Frontend accepts requests over AJP13.
type Frontend struct {
	*frontend.Server
	secret string
}

// NewFrontend returns a Frontend that does not listen yet. The classes are those of the settings, by name.
// Each request must carry the secret unless the secret is empty.
func NewFrontend(x *exchange.Exchange, classes map[string]frontend.Class, secret string, log *zap.Logger) *Frontend {
	server := frontend.NewServer(frontend.Config{Exchange: x, Classes: classes, Log: log, Protocol: "AJP"})
	return &Frontend{Server: server, secret: secret}
}

// Listen accepts at most maxConns connections on the address, or fewer if the pool has no descriptors left.
func (f *Frontend) Listen(loop *eventloop.Loop, addr string, maxConns int, pool *fdquota.ConnPool) error {
	return f.Server.Listen(loop, addr, maxConns, pool, func(raw *eventloop.Conn) *frontend.Conn { return f.newConn(raw).Conn })
}

func (f *Frontend) newConn(raw *eventloop.Conn) *conn {
	c := &conn{frontend: f, parser: newParser(magicToServer)}
	c.Conn = frontend.NewConn(f.Server, raw, c)
	return c
}
