package service_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/service"
	"lentilmux.example/lentilmux/standin"
)

// silentService is a plain service behind a link that may fall silent. It answers
// each request after a time.
type silentService struct {
	link       *standin.SilentLink
	answerTime time.Duration
	silences   sync.WaitGroup
}

// startSilentService serves until the test ends.
func startSilentService(t *testing.T, answerTime time.Duration) *silentService {
	t.Helper()
	link, err := standin.ListenSilentLink(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &silentService{link: link, answerTime: answerTime}
	t.Cleanup(func() {
		s.silences.Wait()
		_ = link.Close()
	})
	go func() {
		for {
			conn, err := link.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// serve answers the requests of one connection.
func (s *silentService) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		time.Sleep(s.answerTime)
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"); err != nil {
			return
		}
	}
}

// fallSilent makes the link silent for a duration after quiet, and then, if again is
// set, once more after it went on for 1.2 s. The test waits for the end.
func (s *silentService) fallSilent(t *testing.T, quiet, duration time.Duration, again bool) {
	t.Helper()
	s.silences.Add(1)
	go func() {
		defer s.silences.Done()
		time.Sleep(quiet)
		for {
			if err := s.link.Silence(); err != nil {
				t.Error(err)
			}
			time.Sleep(duration)
			if err := s.link.Resume(); err != nil {
				t.Error(err)
			}
			if !again {
				return
			}
			again = false
			time.Sleep(1200 * time.Millisecond)
		}
	}()
}

// send sends one call and checks its reply.
func (s *silentService) send(t *testing.T, client *service.Client) (err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	request, err := service.NewRequest(ctx, http.MethodPost, "http://"+s.link.Addr().String()+"/book", []byte("two"))
	if err != nil {
		return err
	}
	response, err := client.Send(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = service.ReadBody(response, 100, nil)
	return err
}

// TestLinkSilenceEndsNoCall guards against calls that may run once and end as
// unknown: a link is silent for a second or so after a call was quiet for some
// time, and the connection is closed although the service goes on.
func TestLinkSilenceEndsNoCall(t *testing.T) {
	t.Parallel()
	for _, silence := range []time.Duration{300 * time.Millisecond, 800 * time.Millisecond, lentilmux.ToleratedSilence} {
		for quiet := 100 * time.Millisecond; quiet <= 2*time.Second; quiet += 270 * time.Millisecond {
			t.Run(fmt.Sprintf("%s after %s", silence, quiet), func(t *testing.T) {
				t.Parallel()
				s := startSilentService(t, quiet+silence+1200*time.Millisecond)
				s.fallSilent(t, quiet, silence, false)
				if err := s.send(t, service.NewClient(service.WithToleratedSilence(lentilmux.ToleratedSilence))); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// TestLinkSilenceBeforeCall guards against calls that fail since their kept
// connection was closed during a silence, or since the silence began before them.
func TestLinkSilenceBeforeCall(t *testing.T) {
	t.Parallel()
	for _, rest := range []time.Duration{200 * time.Millisecond, 950 * time.Millisecond, 1900 * time.Millisecond} {
		t.Run(rest.String(), func(t *testing.T) {
			t.Parallel()
			s := startSilentService(t, 10*time.Millisecond)
			client := service.NewClient(service.WithToleratedSilence(lentilmux.ToleratedSilence))
			if err := s.send(t, client); err != nil {
				t.Fatal(err)
			}
			time.Sleep(rest)
			s.fallSilent(t, 0, lentilmux.ToleratedSilence, false)
			time.Sleep(100 * time.Millisecond)
			if err := s.send(t, client); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestLinkSilenceTwice guards against a second silence that closes a connection
// together with the first, although the peer was heard between them.
func TestLinkSilenceTwice(t *testing.T) {
	t.Parallel()
	s := startSilentService(t, 6*time.Second)
	s.fallSilent(t, 950*time.Millisecond, lentilmux.ToleratedSilence, true)
	if err := s.send(t, service.NewClient(service.WithToleratedSilence(lentilmux.ToleratedSilence))); err != nil {
		t.Error(err)
	}
}

// TestDeadLinkIsNoticed guards against calls that hang on a connection whose peer
// is gone for good.
func TestDeadLinkIsNoticed(t *testing.T) {
	t.Parallel()
	const maxDelay = 5 * time.Second // to the first probe, the silence, two more probes
	s := startSilentService(t, time.Minute)
	time.AfterFunc(500*time.Millisecond, func() { _ = s.link.Silence() })
	started := time.Now()
	if err := s.send(t, service.NewClient(service.WithToleratedSilence(lentilmux.ToleratedSilence))); failureKindOf(err) != lentilmux.FailureTimeout {
		t.Errorf("error %v, want a timeout", err)
	}
	if took := time.Since(started); took > maxDelay {
		t.Errorf("noticed after %s, want at most %s", took, maxDelay)
	}
}
