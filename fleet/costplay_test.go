package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lentilmux.example/lentilmux"
)

const (
	playedLayers  = 4                     // of each upstream
	playedPrompt  = 400                   // tokens
	playedMemory  = 60000                 // bytes of an upstream beside its layers, as many tokens times layers
	playedRetry   = 50 * time.Millisecond // after which an upstream tries again to read a preempted stream
	playedPatient = 20 * time.Second      // for which a caller waits
)

// playedStream is a stream that runs on the upstreams of a cost play.
type playedStream struct {
	request   *simulatedRequest
	attempt   lentilmux.Attempt
	tokens    int           // of the whole answer
	events    int           // so far
	at        time.Time     // of the last event
	longest   time.Duration // between two events
	next      time.Time
	sentAt    time.Time
	first     time.Duration // from the send to the first event
	preempted bool          // whether it waits for room to be read again
}

// costPlay plays streams whose answers hold KV cache and take time by the upstreams'
// actual speed. What callers, upstreams and the model's profile say may differ from it.
type costPlay struct {
	*simulation
	streams     []*playedStream
	tokens      map[*simulatedRequest]int // of the answers
	slow        map[string]float64        // factor on the time of an upstream, which does not report it; 1 if missing
	leak        map[string]float64        // part of an upstream's room that is lost; 0 if missing
	load        map[string]int            // sends by upstream
	late        int                       // first events after 500 ms
	preemptions int
	pauses      int // of more than 250 ms
	counted     int // index of the first request that counts
	answered    int
	gaps        time.Duration // sum over all events after the first
	gapCount    int
}

// newCostPlay starts VMs and pairs of upstreams.
func newCostPlay(t *testing.T, seed uint64, vms, pairs int) *costPlay {
	p := &costPlay{
		simulation: newSimulationOf(t, seed, vms, pairs, playedMemory+playedLayers*1000), tokens: make(map[*simulatedRequest]int),
		slow: make(map[string]float64), leak: make(map[string]float64), load: make(map[string]int),
	}
	p.runs = p.start
	return p
}

// arrive sends a request to a random VM.
func (p *costPlay) arrive(part lentilmux.PromptPart, hint, tokens int) {
	request := &simulatedRequest{vm: p.vms[p.random.IntN(len(p.vms))]}
	request.inbound = inboundRequest(fmt.Sprintf("r%d", len(p.requests)), map[string]string{"path": "/llm/x", "key": "k1", "timeout": playedPatient.String()}, p.now)
	request.inbound.PromptTokens, request.inbound.ExpectedTokens, request.inbound.SharedParts = playedPrompt, hint, []lentilmux.PromptPart{part}
	p.requests = append(p.requests, request)
	p.tokens[request] = tokens
	p.ask(request, lentilmux.ForwardMsg{Inbound: request.inbound})
}

// start starts an attempt.
func (p *costPlay) start(request *simulatedRequest, attempt lentilmux.Attempt) {
	stream := &playedStream{request: request, attempt: attempt, tokens: p.tokens[request], sentAt: p.now}
	stream.next = p.now.Add(p.prefill(stream) + p.gap(stream))
	p.streams = append(p.streams, stream)
	for _, hop := range attempt.Path {
		p.load[hop.Upstream]++
	}
}

// speed returns the factor on the time of an upstream.
func (p *costPlay) speed(id string) (factor float64) {
	if factor, ok := p.slow[id]; ok {
		return factor
	}
	return 1
}

// prefill returns the time that the prefill of a stream takes.
func (p *costPlay) prefill(stream *playedStream) (duration time.Duration) {
	for _, hop := range stream.attempt.Path {
		duration += time.Duration(float64(hop.Layers.Len()) / 8 * 2 * p.speed(hop.Upstream) * float64(playedPrompt+stream.events*3) / 100000 * float64(time.Second))
	}
	return duration
}

// gap returns the time from one event of a stream to the next.
func (p *costPlay) gap(stream *playedStream) (duration time.Duration) {
	for _, hop := range stream.attempt.Path {
		step := time.Millisecond + time.Duration(p.streamsAt(hop.Upstream))*10*time.Microsecond
		duration += time.Duration(float64(hop.Layers.Len())/8*2*3*p.speed(hop.Upstream)*float64(step)) + 3*200*time.Microsecond
	}
	return duration
}

// streamsAt returns the number of streams at an upstream.
func (p *costPlay) streamsAt(id string) (count int) {
	for _, stream := range p.streams {
		for _, hop := range stream.attempt.Path {
			if hop.Upstream == id {
				count++
			}
		}
	}
	return count
}

// advance delivers the events that are due, and preempts streams where room is short.
func (p *costPlay) advance() {
	for _, stream := range slices.Clone(p.streams) { // an end may start others
		switch {
		case stream.next.After(p.now):
		case stream.preempted && !p.hasRoom(stream):
			stream.next = p.now.Add(playedRetry)
		default:
			p.deliverEvent(stream)
		}
	}
	p.streams = slices.DeleteFunc(p.streams, func(stream *playedStream) bool { return stream.request.done })
	p.preempt()
}

// deliverEvent delivers the next event of a stream, and its end after the last one.
func (p *costPlay) deliverEvent(stream *playedStream) {
	stream.preempted = false
	stream.events++
	gap := p.gap(stream)
	stream.next = stream.next.Add(gap)
	if stream.events > 1 {
		stream.longest = max(stream.longest, p.now.Sub(stream.at))
		if p.now.Sub(stream.at) > 250*time.Millisecond {
			p.pauses++
		}
	}
	stream.at = p.now
	p.recordEvent(stream)
	id := stream.request.inbound.ID
	if stream.events == 1 {
		stream.first = p.now.Sub(stream.sentAt)
		if stream.first > 500*time.Millisecond {
			p.late++
		}
		p.deliver(stream.request.vm, lentilmux.ForwardStartedMsg{Request: id, Epoch: stream.attempt.Epoch})
	} else {
		p.gaps, p.gapCount = p.gaps+gap, p.gapCount+1
	}
	if stream.events*3 >= stream.tokens {
		stream.request.done = true
		p.answered++
		p.deliver(stream.request.vm, lentilmux.ForwardDoneMsg{
			Request: id, Outcome: lentilmux.OutcomeAnswered, Status: 200, Events: stream.events, MaxEventGap: stream.longest, TimeToFirstByte: stream.first,
			Promised: stream.attempt.Promised, WaitedForFirst: stream.first, Duration: p.now.Sub(stream.request.inbound.ReceivedAt),
		})
	}
}

// hasRoom reports whether all hops of a preempted stream have room for it.
func (p *costPlay) hasRoom(stream *playedStream) (ok bool) {
	for _, hop := range stream.attempt.Path {
		if p.used(hop.Upstream)+p.size(stream, hop) > p.room(hop.Upstream) {
			return false
		}
	}
	return true
}

// size returns the KV cache that a stream needs at a hop, in tokens times layers.
func (p *costPlay) size(stream *playedStream, hop lentilmux.Hop) (size float64) {
	return float64((playedPrompt + stream.events*3) * hop.Layers.Len())
}

// room returns the KV cache of an upstream.
func (p *costPlay) room(id string) (size float64) { return playedMemory * (1 - p.leak[id]) }

// used returns the KV cache in use at an upstream.
func (p *costPlay) used(id string) (size float64) {
	for _, stream := range p.streams {
		for _, hop := range stream.attempt.Path {
			if hop.Upstream == id && !stream.preempted {
				size += p.size(stream, hop)
			}
		}
	}
	return size
}

// preempt takes the newest stream off each upstream whose KV cache is exceeded. It is
// read again.
func (p *costPlay) preempt() {
	used := make(map[string]float64)
	for _, stream := range p.streams {
		for _, hop := range stream.attempt.Path {
			if stream.preempted {
				continue
			}
			used[hop.Upstream] += p.size(stream, hop)
			if used[hop.Upstream] > p.room(hop.Upstream) {
				p.preemptions++
				stream.preempted = true
				stream.next = p.now.Add(p.prefill(stream) + p.gap(stream))
				break
			}
		}
	}
}

// play sends requests at a rate for a duration. next returns the first shared part,
// the caller's estimate and the actual tokens of a request.
func (p *costPlay) play(duration time.Duration, perSecond float64, next func() (part lentilmux.PromptPart, hint, tokens int)) {
	due := 0.0
	for end := p.now.Add(duration); p.now.Before(end); {
		for due += perSecond * simulatedTick.Seconds(); due >= 1; due-- {
			p.arrive(next())
		}
		p.advance()
		p.run(simulatedTick)
	}
}

// forget starts the counts anew, after the time in which the VMs learn.
func (p *costPlay) forget() {
	p.counted, p.late, p.pauses, p.preemptions, p.answered, p.gaps, p.gapCount = len(p.requests), 0, 0, 0, 0, 0, 0
	clear(p.load)
}

// refused returns the number of requests that were refused.
func (p *costPlay) refused() (count int) {
	for _, request := range p.requests[p.counted:] {
		if request.refused != "" {
			count++
		}
	}
	return count
}

// summary returns the result of a play.
func (p *costPlay) summary() string {
	gap := time.Duration(0)
	if p.gapCount > 0 {
		gap = p.gaps / time.Duration(p.gapCount)
	}
	return fmt.Sprintf("requests=%d answered=%d refused=%d preemptions=%d pauses=%d late=%d gap=%s\n", len(p.requests)-p.counted, p.answered, p.refused(), p.preemptions, p.pauses, p.late, gap.Round(100*time.Microsecond))
}
