package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux/settings"
)

// explainTimeout bounds a question to an entry VM.
const explainTimeout = 5 * time.Second

// runExplain asks an entry VM where a request would go now, prints its answer as JSON and
// returns the exit code.
func runExplain(args []string) (code int) {
	set := settings.New("lentilctl explain", "LENTILCTL", "Tells where a request would go now, and why, without sending it.", version)
	addr := set.AddrPort("metrics-addr", "127.0.0.1:9464", "metrics address of the entry VM that is asked")
	host := set.String("host", "", "host of the request")
	path := set.String("path", "", "path of the request")
	workspace := set.String("workspace", "", "workspace of the caller; empty for an anonymous request")
	prompt := set.Int("prompt-tokens", 0, 0, 1<<24, "tokens of the prompt")
	most := set.Int("max-tokens", 0, 0, 1<<24, "maximum number of completion tokens; 0 for none")
	expected := set.Int("expected-tokens", 0, 0, 1<<24, "completion tokens that the caller expects; 0 for none")
	if err := set.Read(args, os.LookupEnv); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if err := set.RejectArgs(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	query := url.Values{
		"host": {*host}, "path": {*path}, "workspace": {*workspace},
		"prompt_tokens": {strconv.Itoa(*prompt)}, "max_tokens": {strconv.Itoa(*most)}, "expected_tokens": {strconv.Itoa(*expected)},
	}
	answer, status, err := askExplain(*addr, query)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitUnavailable
	case status == http.StatusBadRequest:
		fmt.Fprintln(os.Stderr, string(answer))
		return exitUsage
	case status != http.StatusOK:
		fmt.Fprintf(os.Stderr, "%s answers with status %d: %s\n", *addr, status, answer)
		return exitUnavailable
	}
	if err := writeIndented(os.Stdout, answer); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitOutput
	}
	return exitOK
}

// askExplain sends the question to the entry VM at addr and returns its answer.
func askExplain(addr netip.AddrPort, query url.Values) (answer []byte, status int, err error) {
	defer errors.DeferredAnnotatef(&err, "asking the entry VM at %s", addr)
	client := http.Client{Timeout: explainTimeout}
	response, err := client.Get("http://" + addr.String() + "/explain?" + query.Encode())
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	return answer, response.StatusCode, err
}

// writeIndented writes JSON with indentation.
func writeIndented(w io.Writer, data []byte) (err error) {
	defer errors.DeferredAnnotatef(&err, "writing the answer")
	var value json.RawMessage = data
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, string(text))
	return err
}
