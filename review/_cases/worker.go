package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond // heartbeat_ms
	// missedHeartbeats is the number of silent heartbeat intervals after which the store
	// removes an entry.
	missedHeartbeats = 3
	workTime         = 30 * time.Millisecond
	crashDowntime    = 3 * time.Second
	linger           = 1500 * time.Millisecond // how long a worker serves after drain_ms
	answerBytes      = 800
)

// workerRun is a request that a worker began to run.
type workerRun struct {
	At        time.Time
	Worker    string
	RequestID string
	Method    string
	Target    string // the request target as the worker received it
	Host      string
	Tenant    string
	Body      string
}

// worker is a worker of a plain service.
type worker struct {
	d       *deployment
	service string
	zone    string
	addr    netip.AddrPort

	mu       sync.Mutex
	id       string
	born     time.Time
	sequence int
	server   *http.Server
	stop     context.CancelFunc // ends the heartbeats
	draining bool
	crashes  func(run workerRun) bool
}

// startWorker starts a worker. crashes reports whether a request crashes it; nil for never.
func (d *deployment) startWorker(service, zone string, crashes func(run workerRun) bool) (*worker, error) {
	w := &worker{d: d, service: service, zone: zone, addr: d.nextAddr(8080), crashes: crashes}
	return w, w.start()
}

// start starts a new incarnation.
func (w *worker) start() (err error) {
	listener, err := net.Listen("tcp", w.addr.String())
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.id, w.born, w.sequence, w.stop, w.draining = w.d.newID("i-"), time.Now(), 0, stop, false
	id := w.id
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.handle(id, rw, r) })}
	server := w.server
	go func() { _ = server.Serve(listener) }()
	go w.beat(ctx, id)
	w.d.record.add("worker %s of %s starts at %s", id, w.service, w.addr)
	return nil
}

// beat writes the entry of an incarnation until it ends. After the end the entry is removed
// as the store does it.
func (w *worker) beat(ctx context.Context, id string) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		w.mu.Lock()
		w.sequence++
		entry := w.entry()
		w.mu.Unlock()
		w.d.store.put("keyed.servers", id, entry)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			time.Sleep(missedHeartbeats * heartbeat)
			w.d.store.put("keyed.servers", id, nil)
			return
		}
	}
}

// entry returns the worker's entry. The caller holds the lock.
func (w *worker) entry() []byte {
	state := "ready"
	if w.draining {
		state = "draining"
	}
	entry, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.addr.String(), "zone": w.zone, "version": "v1", "slots": 6, "state": state,
		"cold_left_ms": 0, "sequence": w.sequence, "born": w.born.UnixMilli(),
	})
	return entry
}

// drain announces that the worker leaves and returns when the store has accepted that. The
// worker goes on serving for drain_ms and a little longer, and then ends.
func (w *worker) drain() (id string, ackedAt time.Time) {
	w.mu.Lock()
	w.draining = true
	w.sequence++
	id = w.id
	entry, server, stop := w.entry(), w.server, w.stop
	w.mu.Unlock()
	w.d.store.put("keyed.servers", id, entry)
	ackedAt = time.Now()
	time.AfterFunc(drainTime+linger, func() {
		w.d.record.add("worker %s ends", id)
		stop()
		_ = server.Shutdown(context.Background())
		w.d.store.put("keyed.servers", id, nil)
	})
	return id, ackedAt
}

// isDraining reports whether the worker leaves.
func (w *worker) isDraining() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.draining
}

// handle serves one request.
func (w *worker) handle(id string, rw http.ResponseWriter, r *http.Request) {
	requestID := r.Header.Get("Request-Id")
	header := rw.Header()
	header.Set("Request-Id", requestID)
	header.Set("Instance-Load", "1,0,6")
	draining := w.isDraining()
	if draining {
		header.Set("Connection", "close")
	}
	if r.Method == http.MethodGet && r.URL.Path == "/healthz" {
		header.Set("Instance-Id", id)
		if draining {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
		header.Set("Instance-Id", id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if requestID == "" {
		header.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := workerRun{At: time.Now(), Worker: id, RequestID: requestID, Method: r.Method, Target: r.RequestURI, Host: r.Host, Tenant: r.Header.Get("Tenant"), Body: string(body)}
	w.d.addRun(run)
	if w.crashes != nil && w.crashes(run) {
		w.crash()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(workTime):
	case <-r.Context().Done():
		return // a worker drops a request when its connection closes
	}
	header.Set("Server-Stamp", "stamp."+id+"."+requestID)
	_, _ = io.WriteString(rw, strings.Repeat("a", answerBytes))
}

// crash ends the incarnation without a word. The next one starts after some seconds.
func (w *worker) crash() {
	w.mu.Lock()
	server, stop, id := w.server, w.stop, w.id
	w.mu.Unlock()
	w.d.record.add("worker %s crashes", id)
	_ = server.Close()
	stop()
	time.AfterFunc(crashDowntime, func() {
		if err := w.start(); err != nil {
			w.d.record.note("worker at %s does not start again: %v", w.addr, err)
		}
	})
}

func (r workerRun) String() string {
	return fmt.Sprintf("worker %s runs %s: %s %s, host %s, tenant %q", r.Worker, r.RequestID, r.Method, r.Target, r.Host, r.Tenant)
}
