package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux/standin"
)

const (
	// readyEvery is the time between two looks at an entry VM's readiness.
	readyEvery = 500 * time.Millisecond
	// readyTimeout bounds one look.
	readyTimeout = 500 * time.Millisecond
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
)

// balancer picks among the entry VMs that are ready.
type balancer struct {
	client *http.Client
	mu     sync.Mutex
	all    []netip.AddrPort
	ready  map[netip.AddrPort]bool
}

func newBalancer(targets []netip.AddrPort) *balancer {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &balancer{
		client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 512}},
		all:    targets, ready: make(map[netip.AddrPort]bool),
	}
}

// watch looks at the readiness of all entry VMs until ctx ends.
func (b *balancer) watch(ctx context.Context) {
	ticker := time.NewTicker(readyEvery)
	defer ticker.Stop()
	for {
		for _, target := range b.all {
			go b.look(ctx, target)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *balancer) look(ctx context.Context, target netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ready := false
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.String()+"/readyz", nil)
	if err == nil {
		if response, err := b.client.Do(request); err == nil {
			ready = response.StatusCode == http.StatusOK
			_ = response.Body.Close()
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[target] = ready
}

// pick returns a random entry VM that is ready.
func (b *balancer) pick() (target netip.AddrPort, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []netip.AddrPort
	for _, target := range b.all {
		if b.ready[target] {
			ready = append(ready, target)
		}
	}
	if len(ready) == 0 {
		return netip.AddrPort{}, false
	}
	return ready[rand.IntN(len(ready))], true
}

// result is what became of a request.
type result struct {
	outcome    string
	reason     string
	retryAfter time.Duration
	first      time.Duration   // until the first token
	gaps       []time.Duration // between tokens
	tokens     int
	arrivals   []time.Time // of the tokens
	wrong      string
	took       time.Duration
}

// send sends one request to an entry VM.
func (l *load) send(ctx context.Context, target netip.AddrPort, r request, attempt int, started time.Time) (res result) {
	defer func() { res.took = time.Since(started) }()
	httpRequest, err := l.httpRequest(ctx, target, r, attempt)
	if err != nil {
		return result{outcome: "unknown", reason: err.Error()}
	}
	response, err := l.balancer.client.Do(httpRequest)
	if err != nil {
		var opError *net.OpError
		if errors.As(err, &opError) && opError.Op == "dial" {
			return result{outcome: "not_run", reason: "dial"}
		}
		return result{outcome: "unknown", reason: "connection"}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return refusal(response.Body)
	}
	if r.kind != "answer" {
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return result{outcome: "unknown", reason: "connection"}
		}
		return result{outcome: "answered"}
	}
	return l.stream(response.Body, r, started)
}

func (l *load) httpRequest(ctx context.Context, target netip.AddrPort, r request, attempt int) (request *http.Request, err error) {
	base := "http://" + target.String()
	switch r.kind {
	case "booking":
		request, err = http.NewRequestWithContext(ctx, http.MethodPost, base+"/services/"+*l.options.service+"/book", strings.NewReader(r.prompt))
	case "lookup":
		request, err = http.NewRequestWithContext(ctx, http.MethodGet, base+"/services/"+*l.options.service+"/slots", nil)
	default:
		body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, *l.options.model, r.tokens, r.prompt)
		request, err = http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	}
	if err != nil {
		return nil, err
	}
	if r.kind == "booking" {
		request.Header.Set("Idempotency-Key", r.key)
		request.Header.Set("Lentilmux-Attempt", fmt.Sprint(attempt))
	}
	request.Header.Set("Lentilmux-Workspace", r.workspace)
	request.Header.Set("Lentilmux-Timeout-Ms", fmt.Sprint(l.options.timeout.Milliseconds()))
	return request, nil
}

// errorBody is the body of an error.
type errorBody struct {
	Error struct {
		Type         string `json:"type"`
		Outcome      string `json:"outcome"`
		RetryAfterMs int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// refusal reads an error.
func refusal(body io.Reader) (res result) {
	var e errorBody
	if err := json.NewDecoder(body).Decode(&e); err != nil {
		return result{outcome: "unknown", reason: "connection"}
	}
	return result{outcome: e.Error.Outcome, reason: e.Error.Type, retryAfter: time.Duration(e.Error.RetryAfterMs) * time.Millisecond}
}

// stream reads a streamed answer. Without its end mark it is not whole.
func (l *load) stream(body io.Reader, r request, started time.Time) (res result) {
	res = result{outcome: "unknown", reason: "connection"}
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	event := ""
	for scanner.Scan() {
		line := scanner.Bytes()
		if name, ok := bytes.CutPrefix(line, []byte("event: ")); ok {
			event = string(name)
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		switch {
		case !ok:
		case event == "error":
			failed := refusal(bytes.NewReader(data))
			res.outcome, res.reason = failed.outcome, failed.reason
			return res
		case string(data) == "[DONE]":
			res.outcome, res.reason = "answered", ""
			res.wrong = l.check(r, text.String(), res.tokens)
			return res
		default:
			res.token(data, &text, started)
		}
	}
	return res
}

// token takes one chunk of a stream.
func (res *result) token(data []byte, text *strings.Builder, started time.Time) {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &chunk) != nil || len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
		return
	}
	now := time.Now()
	if res.tokens == 0 {
		res.first = now.Sub(started)
	} else {
		res.gaps = append(res.gaps, now.Sub(res.arrivals[res.tokens-1]))
	}
	res.tokens++
	res.arrivals = append(res.arrivals, now)
	text.WriteString(chunk.Choices[0].Delta.Content)
}

// check compares an answer with what the stand-in model must say.
func (l *load) check(r request, text string, tokens int) (wrong string) {
	if tokens != r.tokens {
		return fmt.Sprintf("answer has %d tokens, not %d", tokens, r.tokens)
	}
	if *l.options.layers == 0 {
		return ""
	}
	expected := strings.Join(standin.ExpectedTokens(*l.options.model, *l.options.layers, "user: "+r.prompt+"\n", r.tokens), "")
	if text != expected {
		return "answer differs from the model's"
	}
	return ""
}
