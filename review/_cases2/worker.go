package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two entries of a worker.
const heartbeat = 1200 * time.Millisecond

// crashDuration is the time until a worker that a request has crashed is back.
const crashDuration = 3 * time.Second

// layerRange is a range of layers as workers report and are ordered to hold it.
type layerRange struct {
	From    int `json:"from"`
	Target  int `json:"target"` // exclusive
	Version int `json:"version"`
}

// worker stands in for a worker of a service. One with a kind of card holds layers and
// passes requests on to the other workers of a path.
type worker struct {
	d                       *deployment
	id, service, zone, kind string
	addr                    string
	load                    time.Duration // time to load all layers
	events                  int           // of a stream
	gap                     time.Duration // between two events
	work                    time.Duration // of a plain request

	mu       sync.Mutex
	held     *layerRange // that it holds when it is first started
	layers   *layerRange
	sequence int
	born     int64
	state    string
	busy     bool
	server   *http.Server
	alive    chan struct{} // closed when the process ends
}

// start starts a process of the worker, empty, at its address or at a free one.
func (k *worker) start() {
	listen := k.addr
	if listen == "" {
		listen = fmt.Sprintf("%s.%d:8080", k.d.network, 100+k.d.nextWorker.Add(1))
	}
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", listen); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil {
		k.d.cannotRun("listening for worker %s: %v", k.id, err)
	}
	k.mu.Lock()
	k.addr = listener.Addr().String()
	k.layers, k.sequence, k.born, k.state, k.busy = k.held, 0, time.Now().UnixMilli(), "ready", false
	if k.held != nil {
		k.held, k.sequence = nil, 1 // by an order before the case began
	}
	k.alive = make(chan struct{})
	k.server = &http.Server{Handler: k}
	server, alive := k.server, k.alive
	k.mu.Unlock()
	k.d.register(k)
	go func() { _ = server.Serve(listener) }()
	go k.beat(alive)
	k.d.record("worker %s starts, empty, at %s", k.id, k.addr)
}

// crash ends the process of the worker. It sends nothing.
func (k *worker) crash() {
	k.mu.Lock()
	defer k.mu.Unlock()
	select {
	case <-k.alive:
		return
	default:
	}
	close(k.alive)
	_ = k.server.Close()
	k.layers = nil
	k.d.record("worker %s crashes", k.id)
}

// lose crashes the worker for good; its entry expires after three heartbeats.
func (k *worker) lose() {
	k.crash()
	time.AfterFunc(3*heartbeat, func() { k.d.store.drop("keyed.servers", k.id) })
}

// beat writes the entry of the worker until the process ends.
func (k *worker) beat(alive chan struct{}) {
	for {
		select {
		case <-alive:
			return
		default:
		}
		k.writeEntry()
		select {
		case <-alive:
			return
		case <-time.After(heartbeat):
		}
	}
}

// writeEntry writes the worker's entry to the store.
func (k *worker) writeEntry() {
	k.mu.Lock()
	entry := map[string]any{
		"service": k.service, "address": k.addr, "zone": k.zone, "version": "v1", "slots": 192, "state": k.state, "cold_left_ms": 0, "sequence": k.sequence, "born": k.born,
	}
	if k.kind != "" {
		entry["phase"], entry["models"], entry["route_type"] = "unified", []any{map[string]any{"name": "m1", "version": 1, "adapters": []any{}}}, k.kind
		if k.layers != nil {
			entry["layers"] = *k.layers
		}
	} else {
		entry["slots"] = 6
	}
	k.mu.Unlock()
	k.d.store.put("keyed.servers", k.id, entry)
}

// holds reports whether the worker holds a range of layers.
func (k *worker) holds(from, target int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.layers != nil && from >= k.layers.From && target <= k.layers.Target && from < target
}

func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Request-Id"); id != "" {
		w.Header().Set("Request-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != k.id {
		w.Header().Set("Instance-Id", k.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/report":
		k.report(w)
	case "/api/order":
		k.order(w, r)
	case "/healthz":
		w.Header().Set("Instance-Id", k.id)
		w.WriteHeader(http.StatusOK)
	default:
		k.serveRequest(w, r)
	}
}

// report answers with the state of the worker.
func (k *worker) report(w http.ResponseWriter) {
	k.mu.Lock()
	report := map[string]any{
		"phase": "unified", "models": []any{}, "busy": k.busy, "sequence": k.sequence, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 4000000, "handles": 0,
		"pace": 1.0, "born": k.born, "route_type": k.kind,
	}
	if k.layers != nil {
		report["layers"] = *k.layers
	}
	k.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// order takes an order to hold layers.
func (k *worker) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation string `json:"operation"`
		From      int    `json:"from"`
		Target    int    `json:"target"`
		Expect    *int   `json:"expect"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if order.Operation != "place" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if order.Expect != nil && *order.Expect != k.sequence || k.busy {
		w.WriteHeader(http.StatusConflict)
		return
	}
	k.sequence++
	k.busy = true
	born := k.born
	k.d.record("worker %s is ordered to hold layers %d to %d", k.id, order.From, order.Target)
	time.AfterFunc(time.Duration(float64(k.load)*float64(order.Target-order.From)/modelLayers), func() {
		k.mu.Lock()
		same := k.born == born
		if same {
			k.layers, k.busy = &layerRange{From: order.From, Target: order.Target, Version: 1}, false
		}
		k.mu.Unlock()
		if same {
			k.writeEntry()
		}
	})
	w.WriteHeader(http.StatusAccepted)
}

// serveRequest runs a request, over the workers of its path if it has one.
func (k *worker) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	if k.kind != "" {
		path := r.Header.Get("Hop-Count")
		if path == "" {
			path = fmt.Sprintf("%s=0-%d", k.addr, modelLayers)
		}
		for i, part := range strings.Split(path, ",") {
			address, span, _ := strings.Cut(part, "=")
			from, target, _ := strings.Cut(span, "-")
			first, err1 := strconv.Atoi(from)
			end, err2 := strconv.Atoi(target)
			other := k.d.workerAt(address)
			switch {
			case err1 != nil || err2 != nil || i == 0 && other != k:
				w.WriteHeader(http.StatusBadRequest)
				return
			case other == nil:
				w.Header().Set("At-Server", address)
				w.Header().Set("Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			case !other.holds(first, end):
				w.Header().Set("At-Server", address)
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
		}
	}
	k.d.run(id, k, r, body)
	deadly := k.d.isDeadly(r.URL.Path)
	w.Header().Set("Server-Stamp", "stamp-"+k.id+"-"+id)
	if k.kind == "" {
		time.Sleep(k.work)
		_, _ = io.WriteString(w, plainAnswer(id, r.URL.Path, body))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for i := first; i < k.events; i++ {
		select {
		case <-time.After(k.gap):
		case <-r.Context().Done():
			return
		}
		fmt.Fprint(w, event(id, i))
		_ = http.NewResponseController(w).Flush()
		if deadly {
			time.Sleep(10 * time.Millisecond)
			k.crash()
			time.AfterFunc(crashDuration, k.start)
			panic(http.ErrAbortHandler)
		}
	}
}

// plainAnswer is the body of the answer to a plain request.
func plainAnswer(id, path string, body []byte) string {
	return fmt.Sprintf("answer to %s at %s, %d bytes\n", id, path, len(body))
}

// event is an event of the answer to a streaming request.
func event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, number, id)
}
