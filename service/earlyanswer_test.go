package service_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/service"
	"lentilmux.example/lentilmux/standin"
)

const (
	// longBodyBytes is the size of a call that the buffers of a connection do not hold, in
	// bytes.
	longBodyBytes = 12 << 20
	// earlyTries is how often each early answer is tried.
	earlyTries = 5
)

// TestEarlyAnswers compares with the golden file what a call returns whose connection ends
// after an answer without a length, while the call is being written. It guards against a
// part of a reply that is taken for the whole, and against a whole one that is dropped.
func TestEarlyAnswers(t *testing.T) {
	var out strings.Builder
	for _, end := range []standin.EarlyEnd{standin.EndReset, standin.EndUnread, standin.EndDrained} {
		server, err := standin.StartEarlyServer(func(*http.Request) standin.EarlyAnswer {
			return standin.EarlyAnswer{Text: "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart", Wait: 5 * time.Millisecond, End: end}
		})
		if err != nil {
			t.Fatal(err)
		}
		for range earlyTries {
			reply, err := service.NewClient().Call(t.Context(), server.Addr(), lentilmux.ServiceCall{Method: http.MethodPost, Path: "/book", Body: make([]byte, longBodyBytes)})
			fmt.Fprintf(&out, "%s: %s\n", end, describeReply(reply, err))
		}
		if server.Requests() != earlyTries {
			t.Errorf("%s: sent %d times, expected %d", end, server.Requests(), earlyTries)
		}
		server.Close()
	}
	goldie.New(t).Assert(t, "early_answers", []byte(out.String()))
}
