package http1_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux/http1"
	"lentilmux.example/lentilmux/standin"
)

const (
	// uploadBytes is the size of a request that cannot be written while nothing of it is
	// read, in bytes.
	uploadBytes = 1 << 20
	// smallSendBuffer is the send buffer of a client that waits for such a request to be
	// read, in bytes.
	smallSendBuffer = 64 << 10
	// defaultSendBuffer stands for the send buffer that the kernel chooses. On loopback it
	// holds such a request, which is written at once and sent as it is read.
	defaultSendBuffer = 0
	// caseHeader carries the number of the case that a request belongs to.
	caseHeader = "Case"
	// earlyTries is how often each early answer is tried.
	earlyTries = 10
	// maxParallel bounds the requests at the same time.
	maxParallel = 16
)

// framing is a way to mark the end of an answer.
type framing struct{ name, answer string }

// earlyBody is the body of the answers that have one.
const earlyBody = "event one\n\n"

// framings are answers with the same body, first those without length or chunks.
var framings = []framing{
	{"no length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nevent one\n\n"},
	{"no length, status 500", "HTTP/1.1 500 Error\r\nX-Id: 1\r\n\r\nevent one\n\n"},
	{"no length, HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\nevent one\n\n"},
	{"no length, after 103", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nevent one\n\n"},
	{"no length, no body", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"},
	{"length", "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nevent one\n\n"},
	{"length, short", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nevent one\n\n"},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nevent one\n\n\r\n0\r\n\r\n"},
	{"chunks, no last one", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nevent one\n\n\r\n"},
}

// earlyEnds are the ways to end the connection of an early answer.
var earlyEnds = []standin.EarlyEnd{standin.EndReset, standin.EndUnread, standin.EndHalfReset, standin.EndDrained}

// unframedCount is the number of framings without length or chunks, which come first.
const unframedCount = 5

// earlyClient returns a client with a send buffer in bytes, or defaultSendBuffer.
func earlyClient(t *testing.T, sendBuffer int) *http.Client {
	t.Helper()
	dialer := &net.Dialer{}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dialer.DialContext(ctx, network, address)
		if err != nil || sendBuffer == defaultSendBuffer {
			return opened, err
		}
		return opened, opened.(*net.TCPConn).SetWriteBuffer(sendBuffer)
	}
	client := &http.Client{Transport: http1.NewTransport(&http.Transport{DialContext: dial}), Timeout: 10 * time.Second}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// upload sends a long request and returns status and body of the answer.
func upload(ctx context.Context, client *http.Client, server *standin.EarlyServer, number int) (status int, body string, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Addr().String()+"/", bytes.NewReader(make([]byte, uploadBytes)))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set(caseHeader, strconv.Itoa(number))
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// startEarlyServer starts a stand-in that gives each request the answer with the number
// in its header.
func startEarlyServer(t *testing.T, answers []standin.EarlyAnswer) *standin.EarlyServer {
	t.Helper()
	server, err := standin.StartEarlyServer(func(request *http.Request) standin.EarlyAnswer {
		number, _ := strconv.Atoi(request.Header.Get(caseHeader)) // as the test sent it
		return answers[number]
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

// TestEarlyAnswers compares with the golden file how often an answer is returned that
// came while its request was being written. It guards against one without a length that
// is taken for whole although its connection was reset, and one that is dropped although
// its connection ended in order.
func TestEarlyAnswers(t *testing.T) {
	goldie.New(t).Assert(t, "early_answers", []byte(describeEarlyAnswers(t, framings, smallSendBuffer)))
}

// TestEarlyAnswersToBufferedRequests is [TestEarlyAnswers] for requests that were written
// in full, but most of which has not left the buffers of the client. It guards against an answer
// without a length that is taken for whole since nothing is left to write.
func TestEarlyAnswersToBufferedRequests(t *testing.T) {
	goldie.New(t).Assert(t, "early_answers_to_buffered_requests", []byte(describeEarlyAnswers(t, framings[:unframedCount], defaultSendBuffer)))
}

// describeEarlyAnswers plays early answers to clients with a send buffer and describes how
// many are returned.
func describeEarlyAnswers(t *testing.T, framings []framing, sendBuffer int) string {
	t.Helper()
	var out strings.Builder
	for _, framing := range framings {
		for _, end := range earlyEnds {
			for _, wait := range []time.Duration{time.Millisecond, 20 * time.Millisecond} {
				server, client := startEarlyServer(t, []standin.EarlyAnswer{{Text: framing.answer, Wait: wait, End: end}}), earlyClient(t, sendBuffer)
				returned := 0
				for range earlyTries {
					if _, _, err := upload(t.Context(), client, server, 0); err == nil {
						returned++
					}
				}
				fmt.Fprintf(&out, "%s, %s after %s: %s\n", framing.name, end, wait, describeReturned(framing, returned))
			}
		}
	}
	return out.String()
}

// describeReturned describes how many of earlyTries answers were returned. One that length
// or chunks show to be whole may arrive before its connection is reset, or not, and
// net/http drops some whose request it has not written yet.
func describeReturned(framing framing, returned int) string {
	switch {
	case isFramedWhole(framing.name):
		return "any number returned"
	case returned == 0:
		return "none returned"
	case returned == earlyTries:
		return "all returned"
	default:
		return fmt.Sprintf("%d of %d returned", returned, earlyTries)
	}
}

// isFramedWhole reports whether length or chunks show that the answer of a framing is
// whole.
func isFramedWhole(name string) bool { return name == "length" || name == "chunks" }

// cutCase is an answer that is cut after some of its bytes, while the request is being
// written or sent.
type cutCase struct {
	framing    framing
	length     int // bytes of the answer that are sent
	end        standin.EarlyEnd
	kept       bool // whether the connection served a request before
	sendBuffer int  // of the client, in bytes, or defaultSendBuffer
}

// isWhole reports whether what a client gets of a cut answer is a whole answer. certain
// is false if it depends on how fast it reads and writes.
func (c cutCase) isWhole() (whole, certain bool) {
	sent := c.framing.answer[:c.length]
	switch complete := c.length == len(c.framing.answer); {
	case isFramedWhole(c.framing.name):
		return complete, !complete
	case !strings.HasPrefix(c.framing.name, "no length"):
		return false, true
	default:
		head := c.framing.answer[:strings.LastIndex(c.framing.answer, "\r\n\r\n")+4]
		return c.end == standin.EndDrained && strings.HasPrefix(sent, head), true
	}
}

// body returns the body of the part of the answer that is sent.
func (c cutCase) body() string {
	if isFramedWhole(c.framing.name) {
		return earlyBody
	}
	sent := c.framing.answer[:c.length]
	return sent[strings.LastIndex(sent, "\r\n\r\n")+4:]
}

// cutCases returns answers cut after each byte, in each of the ways to end, on a new and
// on a kept connection, with both send buffers.
func cutCases() (cases []cutCase) {
	for _, framing := range framings {
		for length := range len(framing.answer) + 1 {
			for _, end := range earlyEnds {
				for _, sendBuffer := range []int{smallSendBuffer, defaultSendBuffer} {
					cases = append(cases, cutCase{framing, length, end, false, sendBuffer}, cutCase{framing, length, end, true, sendBuffer})
				}
			}
		}
	}
	return cases
}

// TestCutAnswers guards against an answer that is taken for whole although it was cut, at
// any byte, and against a whole one that is dropped.
func TestCutAnswers(t *testing.T) {
	cases := cutCases()
	answers := []standin.EarlyAnswer{{Text: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", End: standin.EndKept}}
	for _, c := range cases {
		answers = append(answers, standin.EarlyAnswer{Text: c.framing.answer[:c.length], Wait: time.Millisecond, End: c.end})
	}
	server := startEarlyServer(t, answers)
	var running sync.WaitGroup
	slots := make(chan struct{}, maxParallel)
	for i, c := range cases {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			client := earlyClient(t, c.sendBuffer)
			if c.kept {
				if _, _, err := upload(t.Context(), client, server, 0); err != nil {
					t.Errorf("before %+v: %v", c, err)
				}
			}
			_, body, err := upload(t.Context(), client, server, i+1)
			whole, certain := c.isWhole()
			if returned := err == nil; returned != whole && (certain || returned) || returned && body != c.body() {
				t.Errorf("%+v: returned %q, error %v; expected whole=%t", c, body, err, whole)
			}
		})
	}
	running.Wait()
}

// TestCutTLS guards against an answer without a length that is taken for whole although
// its TLS connection ended without close_notify.
func TestCutTLS(t *testing.T) {
	for _, notifies := range []bool{true, false} {
		server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			hijacked, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(hijacked, framings[0].answer)
			if notifies {
				_ = hijacked.Close()
			} else {
				_ = netConn(hijacked).Close()
			}
		}))
		config := server.Client().Transport.(*http.Transport).TLSClientConfig
		client := &http.Client{Transport: http1.NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext, TLSClientConfig: config})}
		response, err := client.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if notifies && (err != nil || string(body) != "event one\n\n") || !notifies && !errors.Is(err, http1.ErrNoCloseNotify) {
			t.Errorf("close_notify=%t: body %q, error %v", notifies, body, err)
		}
		_ = response.Body.Close()
		client.CloseIdleConnections()
		server.Close()
	}
}

// netConn returns the connection under TLS.
func netConn(secured net.Conn) net.Conn {
	return secured.(interface{ NetConn() net.Conn }).NetConn()
}
