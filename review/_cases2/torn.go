package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// plainWorker stands in for a worker of a plain service. It writes its answers byte for
// byte, so that it can also send more than one.
type plainWorker struct {
	d         *deployment
	id        string
	addr      string
	born      int64
	slots     int           // requests that it runs at once
	queue     int           // requests that wait
	work      time.Duration // mean time of a request
	extra     float64       // share of the answers after which it sends a part of a second copy, late
	slotFree  chan struct{}
	mu        sync.Mutex
	waiting   int
	sentExtra int
}

// start starts the worker.
func (k *plainWorker) start(number int) {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:8080", k.d.network, 100+number))
	if err != nil {
		k.d.cannotRun("listening for worker %s: %v", k.id, err)
	}
	k.addr, k.born, k.slotFree = listener.Addr().String(), time.Now().UnixMilli(), make(chan struct{}, k.slots)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go k.serve(conn)
		}
	}()
	go func() {
		for sequence := 0; ; sequence++ {
			k.d.store.put("keyed.servers", k.id, map[string]any{
				"service": "app", "address": k.addr, "zone": "kochi", "version": "v1", "slots": k.slots, "state": "ready", "cold_left_ms": 0, "sequence": sequence, "born": k.born,
			})
			time.Sleep(heartbeat)
		}
	}()
}

// serve serves one connection, one request at a time.
func (k *plainWorker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	late := "" // what is sent when the next answer is expected
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late != "" {
			k.d.record("worker %s first sends %q, which belongs to no request", k.id, late)
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
			late = ""
		}
		answer := k.answer(r, body)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if k.garbles() {
			late = k.part(answer)
		}
	}
}

// garbles reports whether the answer just written is followed by a part of a second one.
func (k *plainWorker) garbles() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return rand.Float64() < k.extra
}

// setExtra sets the share of the answers that are followed by a part of a second one.
func (k *plainWorker) setExtra(share float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.extra = share
}

// The garble disruption: for 5 s, again and again, each time of 0.03 of the answers.
const (
	garbleDuration = 5 * time.Second
	garblePause    = 2500 * time.Millisecond
	garbleShare    = 0.03
	bookingTime    = 90 * time.Second
)

// part returns the beginning of a second copy of an answer, torn off in its head: of a
// refusal after its first header, of any other answer in its first line.
func (k *plainWorker) part(answer string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sentExtra++
	if len(answer) > len(refusalHead) && answer[:len(refusalHead)] == refusalHead {
		return refusalHead
	}
	return answer[:len("HTTP/1.1 200 ")]
}

// refusalHead is how the head of a refusal begins, as the pages show it.
const refusalHead = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1"

// answer runs a request, or refuses it if the queue is full, and returns the answer.
func (k *plainWorker) answer(r *http.Request, body []byte) string {
	id := r.Header.Get("Request-Id")
	echo := "Request-Id: " + id + "\r\n"
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != k.id {
		return "HTTP/1.1 421 Misdirected Request\r\n" + echo + "Instance-Id: " + k.id + "\r\nContent-Length: 0\r\n\r\n"
	}
	k.mu.Lock()
	full := k.waiting >= k.slots+k.queue
	if !full {
		k.waiting++
	}
	k.mu.Unlock()
	if full {
		k.d.record("worker %s is full and refuses %s, which does not run", k.id, id)
		return refusalHead + "\r\n" + echo + "Content-Length: 0\r\n\r\n"
	}
	k.slotFree <- struct{}{}
	k.d.run(id, &worker{id: k.id}, r, body)
	time.Sleep(time.Duration(float64(k.work) * (0.5 + rand.Float64())))
	<-k.slotFree
	k.mu.Lock()
	k.waiting--
	k.mu.Unlock()
	text := plainAnswer(id, r.URL.Path, body)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sServer-Stamp: stamp-%s-%s\r\nContent-Length: %d\r\n\r\n%s", echo, k.id, id, len(text), text)
}

// runTorn sends bookings while one of three workers sends parts of second answers.
func runTorn(d *deployment, trouble bool) {
	d.putConfig()
	var workers []*plainWorker
	for i := range 3 {
		k := &plainWorker{d: d, id: fmt.Sprintf("i-app-%d", i+1), slots: 2, queue: 2, work: 30 * time.Millisecond}
		k.start(i)
		workers = append(workers, k)
	}
	var live []*machine
	for i := range 3 {
		live = append(live, d.addMachine(fmt.Sprintf("edge-kochi-%d", i+1), "kochi", 11+i, true))
	}
	ready := func() bool {
		for _, m := range live {
			if !m.ready() {
				return false
			}
		}
		return true
	}
	if !d.waitUntil(15*time.Second, ready) || !d.waitUntil(10*time.Second, func() bool { return d.ask(live[0], "GET", "/slots/a", nil, 2*time.Second, 0).whole }) {
		d.cannotRun("nothing is served after the start")
	}
	if trouble {
		go func() {
			for {
				workers[0].setExtra(garbleShare)
				time.Sleep(garbleDuration)
				workers[0].setExtra(0)
				time.Sleep(garblePause)
			}
		}()
	}
	var mu sync.Mutex
	var clients sync.WaitGroup
	answers := make(map[int]int)
	twice, refused, sent := 0, 0, 0
	for end := time.Now().Add(bookingTime); time.Now().Before(end); {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / 160))
		sent++
		m := live[sent%len(live)]
		n := sent
		clients.Go(func() {
			a := d.ask(m, "POST", fmt.Sprintf("/book/%d", n), []byte("book"), 2*time.Second, 0)
			time.Sleep(500 * time.Millisecond) // until a late run would be seen
			runs := d.runCount(a.id)
			mu.Lock()
			defer mu.Unlock()
			answers[a.status]++
			if runs > 1 {
				twice++
				d.record("TWICE: %s ran %d times, its client got %d", a.id, runs, a.status)
			}
			if runs > 0 && a.status == http.StatusServiceUnavailable {
				refused++
				d.record("REFUSED: %s got 503 and ran", a.id)
			}
		})
	}
	clients.Wait()
	d.say("%d bookings, answers %v; %d ran twice, %d got 503 although they ran; worker %s sent %d parts of second answers", sent, answers, twice, refused, workers[0].id, workers[0].sentExtra)
	if twice > 0 {
		d.say("TWICE is broken")
		d.end(1)
	}
	d.say("TWICE holds")
	d.end(0)
}
