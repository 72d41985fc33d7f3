package caller

import (
	"crypto/tls"
	"net"
	"net/http"
)

// BreakResponse breaks the connection of a response that is not complete, so that
// the caller cannot take it for whole. It ends the handler and does not return.
//
// A response to HTTP/1.0 may have no framing and ends with its connection; that
// connection is reset, since its orderly end would complete the response. Under TLS that
// is also the message with which Close ends one, which is not sent.
func BreakResponse(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			if secured, ok := conn.(*tls.Conn); ok {
				conn = secured.NetConn()
			}
			resetOnClose(conn)
			_ = conn.Close() // nothing follows on it
		}
	}
	panic(http.ErrAbortHandler) // closes the connection without terminating the response
}

// resetOnClose makes the close of a connection reset it.
func resetOnClose(conn net.Conn) {
	for {
		switch x := conn.(type) {
		case *net.TCPConn:
			_ = x.SetLinger(0) // fails only if the connection has ended
			return
		case interface{ NetConn() net.Conn }:
			conn = x.NetConn()
		default:
			return
		}
	}
}
