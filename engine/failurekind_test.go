package engine

import (
	"net"
	"os"
	"syscall"
	"testing"

	"connectrpc.com/connect"

	"lentilmux.example/lentilmux"
)

// TestFailureKindOfBrokenConnection guards against classifying a connection that
// broke during a write as a timeout. The Connect client may return such an error
// with the code canceled; it must count as a crash.
func TestFailureKindOfBrokenConnection(t *testing.T) {
	for _, cause := range []syscall.Errno{syscall.EPIPE, syscall.ECONNRESET} {
		broken := &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", cause)}
		for _, code := range []connect.Code{connect.CodeCanceled, connect.CodeUnavailable, connect.CodeUnknown} {
			if kind := failureKind(connect.NewError(code, broken)); kind != lentilmux.FailureCrash {
				t.Errorf("failure kind of %v with code %v: got %v, want crash", cause, code, kind)
			}
		}
	}
}
