package service

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"lentilmux.example/lentilmux"
)

// TestSocketOptions guards against options that the kernel has not, or has in another
// unit: net rounds keep-alive times up to whole seconds.
func TestSocketOptions(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client := NewClient(WithToleratedSilence(lentilmux.ToleratedSilence))
	conn, err := client.dialer.DialContext(t.Context(), "tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	want := newSilenceTimers(lentilmux.ToleratedSilence)
	for _, option := range []struct {
		name   string
		number int
		want   int
	}{
		{"TCP_KEEPIDLE", unix.TCP_KEEPIDLE, int(want.idle / time.Second)},
		{"TCP_KEEPINTVL", unix.TCP_KEEPINTVL, int(want.interval / time.Second)},
		{"TCP_KEEPCNT", unix.TCP_KEEPCNT, want.count},
		{"TCP_USER_TIMEOUT", unix.TCP_USER_TIMEOUT, int(want.userTimeout / time.Millisecond)},
	} {
		if got := tcpOption(t, conn, option.number); got != option.want {
			t.Errorf("%s is %d, want %d", option.name, got, option.want)
		}
	}
}

// tcpOption reads an option of a TCP connection back.
func tcpOption(t *testing.T, conn net.Conn, number int) (value int) {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var optionErr error
	if err := raw.Control(func(fd uintptr) { value, optionErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, number) }); err != nil || optionErr != nil {
		t.Fatal(err, optionErr)
	}
	return value
}
