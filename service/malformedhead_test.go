package service_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/service"
	"lentilmux.example/lentilmux/standin"
)

// TestMalformedHeads compares with the golden file what a call returns for each head of
// a stand-in. It guards against an answer with a malformed head that is taken for a
// reply: one with status 000, or one of which a damaged line says how long it is. The
// call may have run, and is sent once.
func TestMalformedHeads(t *testing.T) {
	var out strings.Builder
	for _, head := range standin.RawHeads {
		server, err := standin.StartRawServer(func(*http.Request) standin.RawAnswer {
			return standin.RawAnswer{Text: head.Answer("Content-Type: text/plain\r\n")}
		})
		if err != nil {
			t.Fatal(err)
		}
		reply, err := service.NewClient().Call(t.Context(), server.Addr(), lentilmux.ServiceCall{Method: http.MethodPost, Path: "/book", Body: []byte("two"), Key: "k"})
		fmt.Fprintf(&out, "%s: %s, sent %d times\n", head.Name, describeReply(reply, err), server.Requests())
		if (err == nil) != head.Sound || err == nil && string(reply.Body) != "OK" {
			t.Errorf("%s: reply %+v, error %v", head.Name, reply, err)
		}
		server.Close()
	}
	goldie.New(t).Assert(t, "malformed_heads", []byte(out.String()))
}

// describeReply describes the result of a call.
func describeReply(reply lentilmux.ServiceReply, err error) string {
	if err != nil {
		return "failure " + failureKindOf(err).String()
	}
	return fmt.Sprintf("%d %s %q", reply.Status, reply.ContentType, reply.Body)
}
