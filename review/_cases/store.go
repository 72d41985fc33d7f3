package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the store, from the settings of a small deployment and the page on the
// protocol.
const (
	appendTime     = 2 * time.Millisecond // append_ms
	ingressPerS    = 20e6                 // bytes a second, ingress_per_s
	egressPerS     = 80e6                 // bytes a second, egress_per_s
	defaultMaxKiB  = 1024                 // of one read, max_kib
	maxReadWait    = 30 * time.Second
	maxNewestItems = 500
	maxNewestBytes = 1 << 20
)

// store is the platform's store: partition 0 of each keyed topic.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	egress sync.Mutex
}

type topic struct {
	appending sync.Mutex // one append at a time
	records   [][]byte
	newest    map[string]newestEntry
	grown     chan struct{} // closed and replaced at each append
}

type newestEntry struct {
	value  []byte
	offset int
}

func newStore() *store { return &store{topics: make(map[string]*topic)} }

func (s *store) topic(name string) *topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]newestEntry), grown: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends one keyed record and returns after the store has accepted it. A nil value
// drops the key.
func (s *store) put(topicName, key string, value []byte) (offset int) {
	t := s.topic(topicName)
	t.appending.Lock()
	defer t.appending.Unlock()
	time.Sleep(appendTime + time.Duration(float64(len(value))/ingressPerS*float64(time.Second)))
	body := append([]byte{byte(len(key))}, key...)
	body = append(body, value...)
	s.mu.Lock()
	defer s.mu.Unlock()
	offset = len(t.records)
	t.records = append(t.records, body)
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = newestEntry{value: value, offset: offset}
	}
	close(t.grown)
	t.grown = make(chan struct{})
	return offset
}

// endpoint is the store as one VM reaches it.
type endpoint struct {
	store  *store
	server *http.Server
	silent atomic.Bool // whether nothing is answered

	mu    sync.Mutex
	conns map[net.Conn]*atomic.Bool // open connections, and whether they went silent for good
}

type silenceKey struct{}

// serve answers calls at the listener.
func (s *store) serve(listener net.Listener) *endpoint {
	e := &endpoint{store: s, conns: make(map[net.Conn]*atomic.Bool)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/log-read", e.read)
	mux.HandleFunc("GET /api/log-newest", e.listNewest)
	mux.HandleFunc("POST /api/log-append", e.append)
	e.server = &http.Server{
		Handler: mux,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			silent := &atomic.Bool{}
			e.mu.Lock()
			e.conns[conn] = silent
			e.mu.Unlock()
			return context.WithValue(ctx, silenceKey{}, silent)
		},
		ConnState: func(conn net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				e.mu.Lock()
				delete(e.conns, conn)
				e.mu.Unlock()
			}
		},
	}
	go func() { _ = e.server.Serve(listener) }()
	return e
}

// silenceConns makes all open connections silent for good: nothing that arrives on them is
// received any more, and nothing is sent. New ones work. If packets cannot be dropped here,
// err says why; then the kernel still acknowledges what arrives, and nothing is answered.
func (e *endpoint) silenceConns() (count int, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn, silent := range e.conns {
		silent.Store(true)
		err = errors.Join(err, dropPackets(conn))
		count++
	}
	return count, err
}

// dropPackets makes a socket of this process drop all packets that arrive.
func dropPackets(conn net.Conn) (err error) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = syscall.AttachLsf(int(fd), []syscall.SockFilter{{Code: syscall.BPF_RET | syscall.BPF_K, K: 0}})
	})
	return errors.Join(err, optionErr)
}

// awaitAnswer holds back an answer for as long as the endpoint or the connection is silent.
// Then the connection returns nothing further.
func (e *endpoint) awaitAnswer(r *http.Request) {
	if !e.silent.Load() && !r.Context().Value(silenceKey{}).(*atomic.Bool).Load() {
		return
	}
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (e *endpoint) send(w http.ResponseWriter, r *http.Request, contentType string, body []byte) {
	e.store.egress.Lock()
	time.Sleep(time.Duration(float64(len(body)) / egressPerS * float64(time.Second)))
	e.store.egress.Unlock()
	e.awaitAnswer(r)
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(body)
}

func (e *endpoint) read(w http.ResponseWriter, r *http.Request) {
	e.awaitAnswer(r)
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	waitMs, _ := strconv.Atoi(query.Get("wait_ms"))
	maxKiB, err := strconv.Atoi(query.Get("max_kib"))
	if err != nil {
		maxKiB = defaultMaxKiB
	}
	t := e.store.topic(query.Get("topic"))
	deadline := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxReadWait))
	defer deadline.Stop()
	for waiting := true; waiting; {
		e.store.mu.Lock()
		end, grown := len(t.records), t.grown
		e.store.mu.Unlock()
		if end > from {
			break
		}
		select {
		case <-grown:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	e.store.mu.Lock()
	body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, record := range t.records[min(from, len(t.records)):] {
		if len(body) > 16 && len(body)+4+len(record) > maxKiB<<10 {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	e.store.mu.Unlock()
	e.send(w, r, "application/octet-stream", body)
}

func (e *endpoint) listNewest(w http.ResponseWriter, r *http.Request) {
	e.awaitAnswer(r)
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	response := struct {
		Items     []item `json:"items"`
		HasMore   bool   `json:"has_more"`
		EndOffset int    `json:"end_offset"`
	}{Items: []item{}}
	query := r.URL.Query()
	t, after := e.store.topic(query.Get("topic")), query.Get("after")
	e.store.mu.Lock()
	keys := make([]string, 0, len(t.newest))
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	size := 0
	for _, key := range keys {
		entry := t.newest[key]
		if len(response.Items) == maxNewestItems || len(response.Items) > 0 && size+len(entry.value) > maxNewestBytes {
			response.HasMore = true
			break
		}
		size += len(entry.value)
		response.Items = append(response.Items, item{Key: key, Value: entry.value, Offset: entry.offset})
	}
	response.EndOffset = len(t.records)
	e.store.mu.Unlock()
	body, _ := json.Marshal(response)
	e.send(w, r, "application/json", body)
}

func (e *endpoint) append(w http.ResponseWriter, r *http.Request) {
	e.awaitAnswer(r)
	topicName := r.URL.Query().Get("topic")
	if topicName == "keyed.op" || topicName == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	first, end := -1, 0
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		if body = body[4:]; length > len(body) || length == 0 || int(body[0])+1 > length {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		keyEnd := int(body[0]) + 1
		offset := e.store.put(topicName, string(body[1:keyEnd]), body[keyEnd:length:length])
		if first < 0 {
			first = offset
		}
		end, body = offset+1, body[length:]
	}
	answer, _ := json.Marshal(map[string]int{"offset": max(first, 0), "end_offset": end})
	e.send(w, r, "application/json", answer)
}
