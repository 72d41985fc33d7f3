package peer

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// A forwarded request is the caller's request over HTTP/1.1, with its method, URI and
// end-to-end headers, and the headers below instead of the caller's key. The answer
// is that of the upstream, or a refusal, which is in a header.

const (
	// headerPrefix begins the names of all headers between VMs.
	headerPrefix = "Lentilmux-Forwarded-"
	// headerForwardedBy holds the name of the VM that forwards a request.
	headerForwardedBy = headerPrefix + "By"
	// headerForwardedFor holds the workspace and the state of a forwarded request, as a
	// URL query.
	headerForwardedFor = headerPrefix + "For"
	// headerForwardedRefusal holds the refusal of a forwarded request, as a URL query.
	headerForwardedRefusal = headerPrefix + "Refusal"
	// maxRefusalDelay bounds the time after which a refused caller may return.
	maxRefusalDelay = time.Hour
)

// RemoveForwardedHeaders removes the headers between VMs, which callers and upstreams
// must neither send nor see.
func RemoveForwardedHeaders(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, headerPrefix) {
			header.Del(name)
		}
	}
}

// SetForwarded adds what a peer has to know of a forwarded request to its headers.
func SetForwarded(header http.Header, forwarded lentilmux.ForwardedRequest) {
	header.Set(headerForwardedBy, url.QueryEscape(forwarded.VM))
	values := url.Values{
		"workspace":     {forwarded.Workspace},
		"fingerprint":   {strconv.FormatUint(uint64(forwarded.Fingerprint), 16)},
		"possible_runs": {strconv.Itoa(forwarded.PossibleRuns)},
		"min_rules":     {strconv.FormatUint(uint64(forwarded.MinRules), 10)},
	}
	if forwarded.MaxUpstreams > 0 {
		values.Set("max_upstreams", strconv.Itoa(forwarded.MaxUpstreams))
	}
	header.Set(headerForwardedFor, values.Encode())
}

// IsForwarded reports whether a request was forwarded by a peer.
func IsForwarded(header http.Header) bool { return header.Get(headerForwardedBy) != "" }

// ReadForwarded returns what the headers of a forwarded request say of it. It returns
// an error if they are incomplete or malformed.
func ReadForwarded(header http.Header) (forwarded lentilmux.ForwardedRequest, err error) {
	defer errors.DeferredAnnotatef(&err, "reading headers of a forwarded request")
	vm, err := url.QueryUnescape(header.Get(headerForwardedBy))
	if err != nil {
		return forwarded, err
	}
	if vm == "" {
		return forwarded, errors.New("header lacks the name of the VM")
	}
	values, err := url.ParseQuery(header.Get(headerForwardedFor))
	if err != nil {
		return forwarded, err
	}
	fingerprint, err := strconv.ParseUint(values.Get("fingerprint"), 16, 64)
	if err != nil {
		return forwarded, err
	}
	runs, err := strconv.Atoi(values.Get("possible_runs"))
	if err != nil {
		return forwarded, err
	}
	if runs < 0 {
		return forwarded, errors.Errorf("possible_runs is %d; expected at least 0", runs)
	}
	maxUpstreams, err := readMaxUpstreams(values)
	if err != nil {
		return forwarded, err
	}
	minRules, err := strconv.ParseUint(values.Get("min_rules"), 10, 64)
	if err != nil {
		return forwarded, err
	}
	return lentilmux.ForwardedRequest{
		VM: vm, Workspace: values.Get("workspace"), Fingerprint: lentilmux.Fingerprint(fingerprint), PossibleRuns: runs, MaxUpstreams: maxUpstreams, MinRules: lentilmux.Revision(minRules),
	}, nil
}

// readMaxUpstreams returns on how many upstreams a forwarded request may run, or 0 if that
// is not said, as by VMs of earlier versions.
func readMaxUpstreams(values url.Values) (count int, err error) {
	text := values.Get("max_upstreams")
	if text == "" {
		return 0, nil
	}
	if count, err = strconv.Atoi(text); err != nil {
		return 0, err
	}
	if count < 1 {
		return 0, errors.Errorf("max_upstreams is %d; expected at least 1", count)
	}
	return count, nil
}

// SetRefusal adds a refusal to the headers of the answer to a forwarded request.
func SetRefusal(header http.Header, refusal *lentilmux.Refusal) {
	header.Set(headerForwardedRefusal, url.Values{
		"outcome":        {refusal.Outcome.String()},
		"reason":         {string(refusal.Reason)},
		"detail":         {refusal.Detail},
		"retry_after_ms": {strconv.FormatInt(refusal.RetryAfter.Milliseconds(), 10)},
	}.Encode())
}

// ReadRefusal returns the refusal in the headers of the answer to a forwarded request,
// or nil if there is none. A malformed refusal promises nothing: its outcome is
// unknown.
func ReadRefusal(header http.Header) (refusal *lentilmux.Refusal) {
	text := header.Get(headerForwardedRefusal)
	if text == "" {
		return nil
	}
	values, err := url.ParseQuery(text)
	if err != nil {
		return &lentilmux.Refusal{Reason: lentilmux.ReasonOutcomeUnknown, Detail: "a peer's refusal cannot be read: " + err.Error()}
	}
	refusal = &lentilmux.Refusal{Reason: lentilmux.Reason(values.Get("reason")), Detail: values.Get("detail")}
	if values.Get("outcome") == lentilmux.OutcomeNotRun.String() {
		refusal.Outcome = lentilmux.OutcomeNotRun
	}
	if ms, err := strconv.ParseInt(values.Get("retry_after_ms"), 10, 64); err == nil && ms > 0 {
		refusal.RetryAfter = time.Duration(min(ms, maxRefusalDelay.Milliseconds())) * time.Millisecond
	}
	return refusal
}
