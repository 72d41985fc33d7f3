package engine

import (
	"net"
	"os"
	"syscall"
	"testing"

	"connectrpc.com/connect"

	"lentilmux.example/lentilmux"
)

// TestFailureKindOfABrokenConnection checks that a connection that broke while
// the client wrote counts as a crash, though the client calls it canceled.
func TestFailureKindOfABrokenConnection(t *testing.T) {
	for _, cause := range []syscall.Errno{syscall.EPIPE, syscall.ECONNRESET} {
		broken := &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", cause)}
		for _, code := range []connect.Code{connect.CodeCanceled, connect.CodeUnavailable, connect.CodeUnknown} {
			if kind := failureKind(connect.NewError(code, broken)); kind != lentilmux.FailureCrash {
				t.Errorf("%v as %v gave %v", cause, code, kind)
			}
		}
	}
}
