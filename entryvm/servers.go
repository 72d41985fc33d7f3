package entryvm

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"lentilmux.example/lentilmux/operator"
	"lentilmux.example/lentilmux/peer"
)

const (
	// headerTimeout bounds the arrival of a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a connection may wait for its next request.
	idleTimeout = 2 * time.Minute
	// headerMost is the largest header, in bytes.
	headerMost = 32 << 10
	// callersMost is how many connections of callers are served at once.
	callersMost = 10000
	// controlMost is how many connections of peers and operators are.
	controlMost = 2000
)

// servers are the two listeners of an entry VM.
type servers struct {
	caller          *http.Server
	control         *http.Server
	callerListener  net.Listener
	controlListener net.Listener
	logger          *logrus.Logger
}

// listen opens both addresses and makes their servers.
func (v *VM) listen() (s *servers, err error) {
	callerListener, err := net.Listen("tcp", v.config.CallerAddr.String())
	if err != nil {
		return nil, errors.Annotate(err, "listening for callers")
	}
	controlListener, err := net.Listen("tcp", v.config.ControlAddr.String())
	if err != nil {
		_ = callerListener.Close() // nothing was served yet
		return nil, errors.Annotate(err, "listening for peers and operators")
	}
	return &servers{
		caller:          newServer(v.Handler()),
		control:         newServer(v.controlHandler()),
		callerListener:  v.secure(limit(callerListener, callersMost)),
		controlListener: v.secure(limit(controlListener, controlMost)),
		logger:          v.config.Logger,
	}, nil
}

// secure puts TLS on a listener if the entry VM has a certificate.
func (v *VM) secure(listener net.Listener) net.Listener {
	if v.config.TLS == nil {
		return listener
	}
	return tls.NewListener(listener, v.config.TLS.ServerConfig())
}

// controlHandler serves peers, operators and metrics.
func (v *VM) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.NewHandler(v.node, v.config.PeerKey))
	mux.Handle(operator.NewHandler(v.node, v.config.Operators, v.Drain))
	mux.Handle("GET /metrics", v.metrics.handler())
	return mux
}

// newServer returns a server with bounds on header, idle time and size. Bodies
// and answers have bounds of their own, since answers may stream for long.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerMost,
	}
}

// serve serves both addresses until they are closed.
func (s *servers) serve() {
	go s.run(s.caller, s.callerListener)
	go s.run(s.control, s.controlListener)
}

func (s *servers) run(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.logger.WithError(err).Error("server ended")
	}
}

// shutdown closes both servers once no request is served.
func (s *servers) shutdown(ctx context.Context) {
	for _, server := range []*http.Server{s.caller, s.control} {
		if err := server.Shutdown(ctx); err != nil {
			s.logger.WithError(err).Warn("connections were cut off by the stop")
		}
	}
}

// close closes both servers at once.
func (s *servers) close() {
	_ = s.caller.Close() // the process or the test ends anyway
	_ = s.control.Close()
}

// limitedListener accepts no more connections than it has places for.
type limitedListener struct {
	net.Listener
	places chan struct{}
}

// limit bounds the connections of a listener. Others wait in the kernel.
func limit(listener net.Listener, most int) net.Listener {
	return &limitedListener{Listener: listener, places: make(chan struct{}, most)}
}

// Accept implements [net.Listener].
func (l *limitedListener) Accept() (conn net.Conn, err error) {
	l.places <- struct{}{}
	conn, err = l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	return &limitedConn{Conn: conn, places: l.places, open: make(chan struct{}, 1)}, nil
}

// limitedConn gives its place back when it is closed.
type limitedConn struct {
	net.Conn
	places chan struct{}
	open   chan struct{} // takes one value when the connection was closed
}

// Close implements [net.Conn].
func (c *limitedConn) Close() (err error) {
	select {
	case c.open <- struct{}{}:
		<-c.places
	default:
	}
	return c.Conn.Close()
}
