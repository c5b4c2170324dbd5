package frontend

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// failingListener is a listener whose Close fails.
type failingListener struct{ net.Listener }

func (failingListener) Close() error { return errors.New("close failed") }

// TestListenerFailureIsLogged checks that a failed close of the listener, which may reset connections of
// callers, is logged.
func TestListenerFailureIsLogged(t *testing.T) {
	core, logged := observer.New(zapcore.WarnLevel)
	s := NewServer(Config{Log: zap.New(core)})
	s.listener = failingListener{}
	s.StopListening()
	require.Eventually(t, func() bool {
		remaining, _ := s.CloseIdle(0)
		return remaining == 0
	}, 10*time.Second, time.Millisecond)
	require.Equal(t, 1, logged.FilterMessage("closing the listener failed").Len())
}
