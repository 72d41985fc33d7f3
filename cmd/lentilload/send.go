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
	// readinessInterval is the time between two readiness probes of an entry
	// VM.
	readinessInterval = 500 * time.Millisecond
	// readinessTimeout is the timeout of a readiness probe.
	readinessTimeout = 500 * time.Millisecond
	// dialTimeout is the timeout for opening a connection.
	dialTimeout = 500 * time.Millisecond
)

// balancer probes the readiness of the entry VMs and selects among those that
// are ready.
type balancer struct {
	client  *http.Client
	mu      sync.Mutex
	targets []netip.AddrPort
	ready   map[netip.AddrPort]bool
}

func newBalancer(targets []netip.AddrPort) *balancer {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &balancer{
		client:  &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 512}},
		targets: targets, ready: make(map[netip.AddrPort]bool),
	}
}

// watch probes the readiness of all entry VMs until ctx is done.
func (b *balancer) watch(ctx context.Context) {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		for _, target := range b.targets {
			go b.probe(ctx, target)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// probe sends one readiness probe to an entry VM and records the result. An
// entry VM that does not answer in time is not ready.
func (b *balancer) probe(ctx context.Context, target netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, readinessTimeout)
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

// pick returns a random entry VM that is ready. It returns false if none is.
func (b *balancer) pick() (target netip.AddrPort, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []netip.AddrPort
	for _, target := range b.targets {
		if b.ready[target] {
			ready = append(ready, target)
		}
	}
	if len(ready) == 0 {
		return netip.AddrPort{}, false
	}
	return ready[rand.IntN(len(ready))], true
}

// result is the result of an attempt.
type result struct {
	outcome          string // answered, not_run, unknown or another outcome that an error response gives
	reason           string // type of the error; empty if answered
	retryAfter       time.Duration
	timeToFirstToken time.Duration   // since the first attempt
	tokenGaps        []time.Duration // times between consecutive tokens
	tokens           int
	tokenTimes       []time.Time   // arrivals of the tokens
	mismatch         string        // how the response differs from the expected one; empty if it does not
	duration         time.Duration // since the first attempt
}

// send sends one attempt of a request to an entry VM and reads the response. The
// result's timeToFirstToken and duration count from started, the time of the
// first attempt.
func (g *generator) send(ctx context.Context, target netip.AddrPort, r request, attempt int, started time.Time) (res result) {
	defer func() { res.duration = time.Since(started) }()
	httpRequest, err := g.newHTTPRequest(ctx, target, r, attempt)
	if err != nil {
		return result{outcome: "unknown", reason: err.Error()}
	}
	response, err := g.balancer.client.Do(httpRequest)
	if err != nil {
		var opError *net.OpError
		if errors.As(err, &opError) && opError.Op == "dial" {
			return result{outcome: "not_run", reason: "dial"}
		}
		return result{outcome: "unknown", reason: "connection"}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return decodeError(response.Body)
	}
	if r.kind != "answer" {
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return result{outcome: "unknown", reason: "connection"}
		}
		return result{outcome: "answered"}
	}
	return g.readStream(response.Body, r, started)
}

// newHTTPRequest returns the HTTP request for an attempt. Bookings carry an
// idempotency key and the number of the attempt.
func (g *generator) newHTTPRequest(ctx context.Context, target netip.AddrPort, r request, attempt int) (request *http.Request, err error) {
	base := "http://" + target.String()
	switch r.kind {
	case "booking":
		request, err = http.NewRequestWithContext(ctx, http.MethodPost, base+"/services/"+*g.options.service+"/book", strings.NewReader(r.prompt))
	case "lookup":
		request, err = http.NewRequestWithContext(ctx, http.MethodGet, base+"/services/"+*g.options.service+"/slots", nil)
	default:
		body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, *g.options.model, r.tokens, r.prompt)
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
	request.Header.Set("Lentilmux-Timeout-Ms", fmt.Sprint(g.options.timeout.Milliseconds()))
	return request, nil
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error struct {
		Type         string `json:"type"`
		Outcome      string `json:"outcome"`
		RetryAfterMs int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// decodeError decodes an error response. If it cannot be decoded, the outcome
// is unknown.
func decodeError(body io.Reader) (res result) {
	var e errorBody
	if err := json.NewDecoder(body).Decode(&e); err != nil {
		return result{outcome: "unknown", reason: "connection"}
	}
	return result{outcome: e.Error.Outcome, reason: e.Error.Type, retryAfter: time.Duration(e.Error.RetryAfterMs) * time.Millisecond}
}

// readStream reads a response stream of server-sent events. If the stream ends
// without the event [DONE], the response is incomplete and its outcome unknown.
func (g *generator) readStream(body io.Reader, r request, started time.Time) (res result) {
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
			failed := decodeError(bytes.NewReader(data))
			res.outcome, res.reason = failed.outcome, failed.reason
			return res
		case string(data) == "[DONE]":
			res.outcome, res.reason = "answered", ""
			res.mismatch = g.verify(r, text.String(), res.tokens)
			return res
		default:
			res.addChunk(data, &text, started)
		}
	}
	return res
}

// addChunk records the token of one chunk of a response stream and appends its
// text. Chunks without text are ignored.
func (res *result) addChunk(data []byte, text *strings.Builder, started time.Time) {
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
		res.timeToFirstToken = now.Sub(started)
	} else {
		res.tokenGaps = append(res.tokenGaps, now.Sub(res.tokenTimes[res.tokens-1]))
	}
	res.tokens++
	res.tokenTimes = append(res.tokenTimes, now)
	text.WriteString(chunk.Choices[0].Delta.Content)
}

// verify compares a response with the tokens that the stand-in model generates
// and describes the first difference. The result is empty if there is none.
// Texts are compared only if the number of layers is set.
func (g *generator) verify(r request, text string, tokens int) (mismatch string) {
	if tokens != r.tokens {
		return fmt.Sprintf("response has %d tokens, expected %d", tokens, r.tokens)
	}
	if *g.options.layers == 0 {
		return ""
	}
	expected := strings.Join(standin.ExpectedTokens(*g.options.model, *g.options.layers, "user: "+r.prompt+"\n", r.tokens), "")
	if text != expected {
		return "response text differs from the text that the model generates"
	}
	return ""
}
