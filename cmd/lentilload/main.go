// Command lentilload generates load for running entry VMs and reports goodput,
// latency and recovery after a fault.
//
// The load is open-loop: requests are sent at their arrival times, whether or
// not earlier ones have completed. Like the platform's balancer, the program
// sends to random entry VMs that are ready. It retries a request if the error
// says that it did not run and another entry VM may accept it, if no connection
// could be opened, or if the connection broke before the first token. Responses
// are compared with the tokens that the stand-in model generates, and bookings
// with the ledgers of the services. The exit code is 1 if any of them are wrong
// or an error occurs, and 2 for invalid settings; then nothing is sent.
//
// # Usage
//
//	lentilload --targets 127.0.0.1:8101,127.0.0.1:8102 --rate 40 --duration 30s --report run.json
//	lentilload --compare before.json,after.json
package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux/settings"
)

// version is the version that --version prints.
const version = "0.1.0"

// options holds the values of the program's settings.
type options struct {
	targets    *[]netip.AddrPort
	control    *netip.AddrPort
	rate       *float64
	arrivals   *string
	duration   *time.Duration
	warmup     *time.Duration
	seed       *int
	model      *string
	layers     *int
	tokens     *int
	workspaces *[]string
	service    *string
	bookings   *float64
	lookups    *float64
	ledgers    *[]string
	timeout    *time.Duration
	faultAt    *time.Duration
	remaining  *float64
	report     *string
	compare    *[]string
}

// declareOptions declares all settings with their defaults. The values are
// valid once the set has been read.
func declareOptions(s *settings.Set) *options {
	return &options{
		targets:    s.AddrPorts("targets", "127.0.0.1:8080", "caller addresses of entry VMs"),
		control:    s.AddrPort("control-addr", "127.0.0.1:7080", "control address of the entry VM that is queried for the model's maximum throughput"),
		rate:       s.Float("rate", 10, 0.1, 100000, "requests per second"),
		arrivals:   s.Choice("arrivals", "poisson", "arrival intervals and response lengths: poisson for random ones, even for constant ones, which makes short dips visible", []string{"poisson", "even"}),
		duration:   s.Duration("duration", 10*time.Second, time.Second, time.Hour, "duration of the measured load, after the warm-up"),
		warmup:     s.Duration("warmup", 2*time.Second, 0, time.Hour, "duration of the load before the measurement starts"),
		seed:       s.Int("seed", 1, 1, 1<<31-1, "seed of arrivals and requests"),
		model:      s.String("model", "lentil", "model of the chat requests"),
		layers:     s.Int("layers", 0, 0, 10000, "number of layers of the stand-in model, used to verify response texts; 0 disables the check"),
		tokens:     s.Int("tokens", 40, 1, 4096, "mean number of tokens of a response"),
		workspaces: s.Strings("workspaces", "counter=1", "workspaces and their weights in the load, as name=weight"),
		service:    s.String("service", "ticket-app", "plain service to call"),
		bookings:   s.Float("bookings", 0, 0, 1, "fraction of the requests that are bookings, which must not run twice"),
		lookups:    s.Float("lookups", 0, 0, 1, "fraction of the requests that are idempotent lookups"),
		ledgers:    s.Strings("ledgers", "", "URLs of the services' ledgers, used to verify bookings; empty disables the check"),
		timeout:    s.Duration("timeout", 10*time.Second, 100*time.Millisecond, 10*time.Minute, "deadline of a request"),
		faultAt:    s.Duration("fault-at", 0, 0, time.Hour, "time after the warm-up at which a fault is injected by other means; 0 for no fault"),
		remaining:  s.Float("remaining", 1, 0, 1, "fraction of the capacity that remains after the fault"),
		report:     s.String("report", "", "file to which the report is written as JSON"),
		compare:    s.Strings("compare", "", "two report files to compare instead of generating load"),
	}
}

// Exit codes of the program.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	set := settings.New("lentilload", "LENTILLOAD", "Generates load for entry VMs and reports goodput and latency.", version)
	flags := declareOptions(set)
	err := set.Read(os.Args[1:], os.LookupEnv)
	if err == nil {
		err = set.RejectArgs()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if err := run(flags); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// run generates the load and reports on it, or compares two reports.
func run(flags *options) (err error) {
	if len(*flags.compare) == 2 {
		return compareFiles((*flags.compare)[0], (*flags.compare)[1])
	}
	generator, err := newGenerator(flags)
	if err != nil {
		return err
	}
	report := generator.run()
	report.print(os.Stdout)
	if *flags.report != "" {
		if err := save(*flags.report, report); err != nil {
			return err
		}
	}
	if report.Wrong > 0 {
		return errors.Errorf("%d responses or bookings are wrong", report.Wrong)
	}
	return nil
}

// save writes a report as JSON.
func save(path string, report Report) (err error) {
	defer errors.DeferredAnnotatef(&err, "saving the report")
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

// compareFiles prints the figures of two report files side by side.
func compareFiles(before, after string) (err error) {
	defer errors.DeferredAnnotatef(&err, "comparing reports")
	var reports [2]Report
	for i, path := range []string{before, after} {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(data, &reports[i]); err != nil {
			return errors.Annotatef(err, "reading %s", path)
		}
	}
	printComparison(os.Stdout, reports[0], reports[1])
	return nil
}
