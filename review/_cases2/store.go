package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store stands in for the platform's metadata store: compacted topics with one
// partition each. It is always up, and its answers are linearizable.
type store struct {
	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{} // closed when a record is appended
}

// storeRecord is a record of a topic. Without a value it drops the key.
type storeRecord struct {
	key   string
	value []byte
}

func newStore() *store {
	return &store{topics: make(map[string][]storeRecord), changed: make(chan struct{})}
}

// put appends a record, encoded as JSON.
func (s *store) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.append(topic, storeRecord{key: key, value: data})
}

// drop appends a record that drops a key.
func (s *store) drop(topic, key string) { s.append(topic, storeRecord{key: key}) }

func (s *store) append(topic string, record storeRecord) (offset int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset = len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], record)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/api/log-newest":
		s.newest(w, topic, r.URL.Query().Get("after"))
	case "/api/log-read":
		s.read(w, r, topic)
	case "/api/log-append":
		s.serveAppend(w, r, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// newest answers with the newest record of each key, 500 a page, in the order of keys.
func (s *store) newest(w http.ResponseWriter, topic, after string) {
	s.mu.Lock()
	records := s.topics[topic]
	s.mu.Unlock()
	last := make(map[string]int)
	for i, record := range records {
		last[record.key] = i
	}
	var keys []string
	for key, i := range last {
		if len(records[i].value) > 0 && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), 500)] {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(records[last[key]].value), "offset": last[key]})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": more, "end_offset": len(records)})
}

// read answers as soon as there is a record from an offset on, or after wait_ms.
func (s *store) read(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for ended := wait <= 0; ; {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from < len(records) || ended {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, record := range records[min(from, len(records)):] {
				if len(out) > 1<<20 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(record.key)+len(record.value)))
				out = append(out, byte(len(record.key)))
				out = append(append(out, record.key...), record.value...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// serveAppend appends one or more records.
func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	first := -1
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		if length > len(body)-4 || length < 1 || int(body[4])+1 > length {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		record := body[4 : 4+length]
		keyEnd := 1 + int(record[0])
		offset := s.append(topic, storeRecord{key: string(record[1:keyEnd]), value: record[keyEnd:]})
		if first < 0 {
			first = offset
		}
		body = body[4+length:]
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"offset": first, "end_offset": first + 1})
}
