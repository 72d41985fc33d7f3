package entryvm

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"lentilmux.example/lentilmux"
)

// connectionBytes is what an open connection of a caller or peer takes, with its
// goroutine and its buffers, in bytes.
const connectionBytes = 24 << 10

// countConnections makes the memory budget account for the connections of a server as
// they open and close, besides what else follows their states.
func (g *Gateway) countConnections(server *http.Server) {
	budget, next := g.dependencies.Memory, server.ConnState
	if budget == nil {
		return
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if next != nil {
			next(conn, state)
		}
		switch state {
		case http.StateNew:
			budget.Occupy(connectionBytes)
		case http.StateClosed, http.StateHijacked:
			budget.Occupy(-connectionBytes)
		}
	}
}

// refusalLogInterval is the least time between two log lines about refusals of memory.
const refusalLogInterval = time.Second

// refusalLog logs refusals of memory, at most one line per class and interval. It is
// safe for concurrent use.
type refusalLog struct {
	budget lentilmux.MemoryBudget
	clock  func() time.Time
	log    func(d lentilmux.Decision)

	mu     sync.Mutex
	nextAt [lentilmux.MemoryClassCount]time.Time
}

// record logs a refusal with what is held by whom, unless another one was logged
// lately. It names no holder of bodies, since these are keys.
func (l *refusalLog) record(holder lentilmux.MemoryHolder) {
	if !l.isDue(holder.Class) {
		return
	}
	usage := l.budget.Usage()
	subject := holder.Name
	if holder.Class == lentilmux.MemoryBodies {
		subject = "callers"
	}
	most := usage.Largest[lentilmux.MemoryAnswers]
	l.log(lentilmux.Decision{
		What: "memory_refused", Subject: subject, Chosen: holder.Class.String(),
		// capacity and what is held are in bytes; refused counts since the start; top is
		// the upstream whose answers hold most.
		Reason: fmt.Sprintf("capacity=%d answers=%d bodies=%d refused_answers=%d refused_bodies=%d top=%s top_held=%d", usage.Capacity,
			usage.Held[lentilmux.MemoryAnswers], usage.Held[lentilmux.MemoryBodies],
			usage.Refused[lentilmux.MemoryAnswers], usage.Refused[lentilmux.MemoryBodies], most.Holder.Name, most.Held),
	})
}

// isDue reports whether a line about a class may be logged now.
func (l *refusalLog) isDue(class lentilmux.MemoryClass) bool {
	now := l.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.nextAt[class]) {
		return false
	}
	l.nextAt[class] = now.Add(refusalLogInterval)
	return true
}

// observeMemory adds the bytes that requests in flight hold, how many they may, and
// how often more was refused.
func (m *metrics) observeMemory(budget lentilmux.MemoryBudget) (err error) {
	capacity, err := m.meter.Int64ObservableGauge("lentilmux_memory_capacity_bytes", metric.WithDescription("Bytes that requests in flight may hold together."))
	if err != nil {
		return err
	}
	held, err := m.meter.Int64ObservableGauge("lentilmux_memory_held_bytes", metric.WithDescription("Bytes that are held for requests in flight, by class: answers of upstreams or bodies of callers."))
	if err != nil {
		return err
	}
	refused, err := m.meter.Int64ObservableCounter("lentilmux_memory_refusals", metric.WithDescription("Answers and bodies that were refused since too many bytes were held."))
	if err != nil {
		return err
	}
	_, err = m.meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		usage := budget.Usage()
		observer.ObserveInt64(capacity, usage.Capacity)
		for class := range lentilmux.MemoryClassCount {
			label := metric.WithAttributes(attribute.String("class", class.String()))
			observer.ObserveInt64(held, usage.Held[class], label)
			observer.ObserveInt64(refused, int64(usage.Refused[class]), label)
		}
		return nil
	}, capacity, held, refused)
	return err
}
