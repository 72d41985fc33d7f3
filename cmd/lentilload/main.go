// Command lentilload offers a load to running entry VMs and reports how much
// useful work came of it.
//
// Arrivals are open-loop: they come at their times whether or not earlier ones
// were answered. Like the platform's balancer it sends to entry VMs that are
// ready, and sends a request again only if the answer says that it did not run
// or the connection could not be opened. Answers are checked against what the
// stand-in model must say, bookings against the services' ledgers.
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

// version is the program's version.
const version = "0.1.0"

// options are the program's settings.
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

func declare(s *settings.Set) *options {
	return &options{
		targets:    s.AddrPorts("targets", "127.0.0.1:8080", "caller addresses of entry VMs"),
		control:    s.AddrPort("control-addr", "127.0.0.1:7080", "control address of an entry VM, asked for the bound"),
		rate:       s.Float("rate", 10, 0.1, 100000, "requests a second"),
		arrivals:   s.Choice("arrivals", "poisson", "arrivals and lengths of answers: random, or all alike, which shows a short dip", []string{"poisson", "even"}),
		duration:   s.Duration("duration", 10*time.Second, time.Second, time.Hour, "time of the load after the warm-up"),
		warmup:     s.Duration("warmup", 2*time.Second, 0, time.Hour, "time of load that is not measured"),
		seed:       s.Int("seed", 1, 1, 1<<31-1, "seed of arrivals and requests"),
		model:      s.String("model", "lentil", "model to ask"),
		layers:     s.Int("layers", 0, 0, 10000, "layers of the stand-in model, to check answers; 0 checks none"),
		tokens:     s.Int("tokens", 40, 1, 4096, "mean number of tokens of an answer"),
		workspaces: s.Strings("workspaces", "counter=1", "workspaces and their parts of the load, as name=part"),
		service:    s.String("service", "ticket-app", "plain service to call"),
		bookings:   s.Float("bookings", 0, 0, 1, "part of the requests that are bookings, which must not run twice"),
		lookups:    s.Float("lookups", 0, 0, 1, "part of the requests that are idempotent lookups"),
		ledgers:    s.Strings("ledgers", "", "URLs of the services' ledgers, to check bookings"),
		timeout:    s.Duration("timeout", 10*time.Second, 100*time.Millisecond, 10*time.Minute, "deadline of a request"),
		faultAt:    s.Duration("fault-at", 0, 0, time.Hour, "time after the warm-up at which a fault is made; 0 for none"),
		remaining:  s.Float("remaining", 1, 0, 1, "part of the capacity that the fault leaves"),
		report:     s.String("report", "", "file for the report as JSON"),
		compare:    s.Strings("compare", "", "two report files to compare, in place of a load"),
	}
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run offers the load or compares two reports.
func run() (err error) {
	set := settings.New("lentilload", "LENTILLOAD", "Offers a load to entry VMs and reports on it.", version)
	o := declare(set)
	if err := set.Read(os.Args[1:], os.LookupEnv); err != nil {
		return err
	}
	if len(*o.compare) == 2 {
		return compareFiles((*o.compare)[0], (*o.compare)[1])
	}
	load, err := newLoad(o)
	if err != nil {
		return err
	}
	report := load.run()
	report.print(os.Stdout)
	if *o.report != "" {
		if err := save(*o.report, report); err != nil {
			return err
		}
	}
	if report.Wrong > 0 {
		return errors.Errorf("%d answers or bookings were wrong", report.Wrong)
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

// compareFiles prints two reports side by side.
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
	compare(os.Stdout, reports[0], reports[1])
	return nil
}
