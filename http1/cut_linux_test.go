package http1_test

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"lentilmux.example/lentilmux/standin"
)

const (
	// briefSilence is how long a link drops the packets of a request that is cut.
	briefSilence = 50 * time.Millisecond
	// longSilence is long enough for several of them to be sent again.
	longSilence = 700 * time.Millisecond
	// slowReadBytes and slowReadPause are the rhythm of an upstream that would read a long
	// request for longer than a client waits.
	slowReadBytes = 4 << 10
	slowReadPause = 50 * time.Millisecond
)

// TestClosedWhileRequestIsOnItsWay guards against an answer without a length that is
// taken for whole although its upstream closed the connection before it had received the
// whole request. The kernel ends such a connection in order, also if the upstream was
// killed, and resets it when the next packet of the request arrives.
func TestClosedWhileRequestIsOnItsWay(t *testing.T) {
	body, err := callOverSilentLink(t, briefSilence, func(net.Conn, <-chan struct{}) {})
	if err == nil {
		t.Errorf("returned %q, expected an error", body)
	}
}

// TestEndedWhileRequestIsOnItsWay guards against a whole answer that is dropped since its
// upstream receives the rest of the request late.
func TestEndedWhileRequestIsOnItsWay(t *testing.T) {
	body, err := callOverSilentLink(t, longSilence, func(conn net.Conn, _ <-chan struct{}) {
		_ = conn.(interface{ CloseWrite() error }).CloseWrite()
		_, _ = io.Copy(io.Discard, conn) // until the client closes
	})
	if err != nil || body != earlyBody {
		t.Errorf("returned %q, error %v; expected %q", body, err, earlyBody)
	}
}

// TestEndedWhileRequestIsReadSlowly guards against a whole answer that is held until its
// upstream has read the rest of the request.
func TestEndedWhileRequestIsReadSlowly(t *testing.T) {
	body, err := callOverSilentLink(t, briefSilence, func(conn net.Conn, returned <-chan struct{}) {
		_ = conn.(interface{ CloseWrite() error }).CloseWrite()
		pause := time.NewTicker(slowReadPause)
		defer pause.Stop()
		for buffer := make([]byte, slowReadBytes); ; {
			select {
			case <-returned:
				return
			case <-pause.C:
				_, _ = conn.Read(buffer)
			}
		}
	})
	if err != nil || body != earlyBody {
		t.Errorf("returned %q, error %v; expected %q", body, err, earlyBody)
	}
}

// endFunc is what an upstream does with a connection before it closes it. returned is closed
// when the client has the answer, or an error.
type endFunc func(conn net.Conn, returned <-chan struct{})

// callOverSilentLink sends a long request, which is in the buffers of its connection when
// it is answered, and returns the answer's body. The link is silent for a time after the
// answer. Then, with no byte unread that has arrived, the upstream calls end and closes the
// connection.
func callOverSilentLink(t *testing.T, silence time.Duration, end endFunc) (body string, err error) {
	t.Helper()
	link, err := standin.ListenSilentLink(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = link.Close() }()
	served, returned := make(chan error, 1), make(chan struct{})
	go func() {
		served <- serveOverSilentLink(link, silence, func(conn net.Conn) { end(conn, returned) })
	}()
	response, err := earlyClient(t, defaultSendBuffer).Post("http://"+link.Addr().String()+"/", "text/plain", bytes.NewReader(make([]byte, uploadBytes)))
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		body = string(data)
		_ = response.Body.Close()
	}
	close(returned)
	if serveErr := <-served; serveErr != nil {
		t.Error(serveErr)
	}
	return body, err
}

// serveOverSilentLink serves one request of callOverSilentLink.
func serveOverSilentLink(link *standin.SilentLink, silence time.Duration, end func(conn net.Conn)) (err error) {
	conn, err := link.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if _, err = io.ReadFull(conn, make([]byte, 1)); err != nil {
		return err
	}
	if _, err = io.WriteString(conn, framings[0].answer); err != nil {
		return err
	}
	if err = link.Silence(); err != nil {
		return err
	}
	if err = conn.SetReadDeadline(time.Now().Add(silence)); err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, conn) // what has arrived
	if err = conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	if err = link.Resume(); err != nil {
		return err
	}
	end(conn)
	return nil
}
