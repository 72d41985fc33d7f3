package http1_test

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux/http1"
	"lentilmux.example/lentilmux/standin"
)

// startServer starts a stand-in that gives each request the answer of its turn, and the
// last one to all further requests.
func startServer(t *testing.T, answers ...standin.RawAnswer) *standin.RawServer {
	t.Helper()
	var server *standin.RawServer
	server, err := standin.StartRawServer(func(*http.Request) standin.RawAnswer {
		return answers[min(server.Requests(), len(answers))-1]
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

// callTimeout ends a call whose answer never ends, as one without a length does on a
// connection that stays open.
const callTimeout = 2 * time.Second

// newClient returns a client that keeps its connections.
func newClient(t *testing.T) *http.Client {
	t.Helper()
	client := &http.Client{Transport: http1.NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext}), Timeout: callTimeout}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// get sends a request and returns status and body of the answer.
func get(t *testing.T, client *http.Client, server *standin.RawServer) (status int, body string, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+server.Addr().String()+"/", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// TestMalformedHeads guards against answers with a malformed head that are returned, and
// against a connection that is used again after one.
func TestMalformedHeads(t *testing.T) {
	sound := standin.RawAnswer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound", KeepsConn: true}
	for _, head := range standin.RawHeads {
		if head.Sound {
			continue
		}
		server, client := startServer(t, sound, standin.RawAnswer{Text: head.Answer(""), KeepsConn: true}, sound), newClient(t)
		if status, body, err := get(t, client, server); err != nil || body != "sound" {
			t.Fatalf("%s: before it status %d, body %q, error %v", head.Name, status, body, err)
		}
		if status, body, err := get(t, client, server); !errors.Is(err, http1.ErrMalformedHead) {
			t.Errorf("%s: status %d, body %q, error %v", head.Name, status, body, err)
		}
		if status, body, err := get(t, client, server); err != nil || body != "sound" {
			t.Errorf("%s: after it status %d, body %q, error %v", head.Name, status, body, err)
		}
		if conns := server.Conns(); conns != 2 || server.Requests() != 3 {
			t.Errorf("%s: %d connections, %d requests; expected 2 and 3", head.Name, conns, server.Requests())
		}
	}
}

// TestKeptConnection guards against sound answers on a kept connection that are taken for
// malformed, such as an answer without a body or one that comes in two pieces.
func TestKeptConnection(t *testing.T) {
	server := startServer(t,
		standin.RawAnswer{Text: "HTTP/1.1 204 No Content\r\n\r\n", KeepsConn: true},
		standin.RawAnswer{Text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\n: c\r\n0\r\n\r\n", KeepsConn: true},
		standin.RawAnswer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", KeepsConn: true},
		standin.RawAnswer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nHTTP/1.1 ", KeepsConn: true},
	)
	client := newClient(t)
	for call, expected := range []string{"", "ab: c", "", "HTTP/1.1 ", "HTTP/1.1 "} {
		if status, body, err := get(t, client, server); err != nil || body != expected {
			t.Errorf("call %d: status %d, body %q, error %v; expected %q", call, status, body, err, expected)
		}
	}
	if conns := server.Conns(); conns != 1 {
		t.Errorf("%d connections, expected 1", conns)
	}
}

const (
	// fuzzSeeds is the number of random answers of TestRandomHeads.
	fuzzSeeds = 1000
	// fuzzBytes are the bytes that a mutation writes into a head.
	fuzzBytes = " \t\x00\x01\x1f\x7f\xe9:;\r\na0"
	// maxMutations is the largest number of bytes that are changed in a head.
	maxMutations = 3
	// seedHeader carries the seed of the answer to a request.
	seedHeader = "Seed"
)

// soundHeads matches an answer that begins with a sound head, after any number of sound
// interim ones, by the grammar of RFC 9112 without folded lines.
var soundHeads = func() *regexp.Regexp {
	const text = `[\t -~\x80-\xff]*`
	const fields = `([!#$%&'*+.^_\x60|~0-9A-Za-z-]+:` + text + `\r?\n)*\r?\n`
	const reason = `( ` + text + `)?\r?\n`
	return regexp.MustCompile(`^(HTTP/1\.[0-9] 1(0[02-9]|[1-9][0-9])` + reason + fields + `)*HTTP/1\.[0-9] [2-5][0-9][0-9]` + reason + fields)
}()

// mutatedAnswer returns a sound answer with some bytes of its head replaced, inserted or
// deleted, as the seed decides.
func mutatedAnswer(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 0))
	heads := slices.DeleteFunc(slices.Clone(standin.RawHeads), func(h standin.RawHead) bool { return !h.Sound })
	answer := []byte(heads[random.IntN(len(heads))].Answer("X-Id: r1\r\n"))
	for range random.IntN(maxMutations + 1) {
		i := random.IntN(len(answer) - len("OK"))
		b := fuzzBytes[random.IntN(len(fuzzBytes))]
		switch random.IntN(3) {
		case 0:
			answer[i] = b
		case 1:
			answer = slices.Insert(answer, i, b)
		default:
			answer = slices.Delete(answer, i, i+1)
		}
	}
	return string(answer)
}

// isSound reports whether an answer begins with sound heads. The bytes are matched as
// Latin-1, since a regular expression matches no bytes that are not UTF-8. The sound
// heads of the stand-in have no transfer coding, and mutations spell none.
func isSound(answer string) bool {
	runes := make([]rune, len(answer))
	for i := range len(answer) {
		runes[i] = rune(answer[i])
	}
	return soundHeads.MatchString(string(runes))
}

// TestRandomHeads guards against malformed heads that no table names: it compares what a
// caller gets of random answers with the grammar. An answer with a sound head may still
// be an error, since its length may be damaged, but not a malformed head.
func TestRandomHeads(t *testing.T) {
	server, err := standin.StartRawServer(func(request *http.Request) standin.RawAnswer {
		seed, _ := strconv.ParseUint(request.Header.Get(seedHeader), 10, 64) // as the test sent it
		return standin.RawAnswer{Text: mutatedAnswer(seed)}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	client := newClient(t)
	var sound int
	for seed := range uint64(fuzzSeeds) {
		answer := mutatedAnswer(seed)
		err := getSeeded(t, client, server, seed)
		switch isSound := isSound(answer); {
		case !isSound && err == nil:
			t.Errorf("seed %d: the malformed answer %q is returned", seed, answer)
		case isSound && errors.Is(err, http1.ErrMalformedHead):
			t.Errorf("seed %d: the sound answer %q: %v", seed, answer, err)
		case isSound:
			sound++
		}
	}
	if sound < fuzzSeeds/10 || sound > fuzzSeeds*9/10 {
		t.Errorf("%d of %d answers have a sound head: the mutations show little", sound, fuzzSeeds)
	}
}

// getSeeded sends a request for the answer of a seed and returns the error of its head.
func getSeeded(t *testing.T, client *http.Client, server *standin.RawServer, seed uint64) (err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Addr().String()+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(seedHeader, strconv.FormatUint(seed, 10))
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// TestResentRequest guards against a request that net/http sends again by itself, since a
// kept connection was closed before its answer, and that is taken for the one before.
func TestResentRequest(t *testing.T) {
	sound := standin.RawAnswer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound", KeepsConn: true}
	unframed := standin.RawAnswer{Text: "HTTP/1.1 200 OK\r\n\r\nsound"}
	server, client := startServer(t, sound, standin.RawAnswer{}, unframed), newClient(t)
	for range 2 {
		response, err := client.Get("http://" + server.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || string(body) != "sound" {
			t.Errorf("body %q, error %v", body, err)
		}
		_ = response.Body.Close()
	}
	if conns := server.Conns(); conns != 2 || server.Requests() != 3 {
		t.Errorf("%d connections, %d requests; expected 2 and 3", conns, server.Requests())
	}
}
