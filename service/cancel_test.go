package service_test

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/service"
)

// TestCanceledCallIsNoDialFailure guards against a call that is said not to have run and is written after its cancellation.
func TestCanceledCallIsNoDialFailure(t *testing.T) {
	var ran atomic.Int64
	server := startServer(t, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
	const calls = 200
	dialFailures := 0
	for range calls {
		ctx, cancel := context.WithCancel(t.Context())
		traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { cancel() }})
		request, err := service.NewRequest(traced, http.MethodPost, "http://"+server.String()+"/", []byte("x"))
		if err != nil {
			t.Fatal(err)
		}
		response, err := service.NewClient().Send(request)
		if err == nil {
			_ = response.Body.Close()
		} else if failureKindOf(err) == lentilmux.FailureDial {
			dialFailures++
		}
	}
	time.Sleep(100 * time.Millisecond)
	if dialFailures > 0 {
		t.Errorf("%d of %d calls that were canceled with a connection count as not sent; %d calls ran", dialFailures, calls, ran.Load())
	}
}
