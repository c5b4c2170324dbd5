package fastcgi

import (
	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/fdquota"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/frontend"
)

// Frontend accepts requests over FastCGI.
type Frontend struct{ *frontend.Server }

// New returns a Frontend that does not listen yet. The classes are those of the settings, by name.
func New(x *exchange.Exchange, classes map[string]frontend.Class, log *zap.Logger) *Frontend {
	return &Frontend{frontend.NewServer(frontend.Config{Exchange: x, Classes: classes, Log: log, Protocol: "FastCGI"})}
}

// Listen accepts at most maxConns connections on the address, or fewer if the pool has no descriptors left.
func (f *Frontend) Listen(loop *eventloop.Loop, addr string, maxConns int, pool *fdquota.ConnPool) error {
	return f.Server.Listen(loop, addr, maxConns, pool, func(raw *eventloop.Conn) *frontend.Conn { return f.newConn(raw).Conn })
}

func (f *Frontend) newConn(raw *eventloop.Conn) *conn {
	c := &conn{server: f.Server, parser: newParser(), openRequests: map[uint16]*openRequest{}}
	c.Conn = frontend.NewConn(f.Server, raw, c)
	return c
}
