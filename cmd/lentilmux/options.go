package main

import (
	"net/netip"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"lentilmux.example/lentilmux/admission"
	"lentilmux.example/lentilmux/certificate"
	"lentilmux.example/lentilmux/dispatch"
	"lentilmux.example/lentilmux/entryvm"
	"lentilmux.example/lentilmux/operator"
	"lentilmux.example/lentilmux/placement"
	"lentilmux.example/lentilmux/settings"
	"lentilmux.example/lentilmux/system"
	"lentilmux.example/lentilmux/table"
)

// version is the program's version.
const version = "0.1.0"

// options are the program's settings.
type options struct {
	set         *settings.Set
	name        *string
	zone        *string
	callerAddr  *netip.AddrPort
	controlAddr *netip.AddrPort
	logAddr     *netip.AddrPort
	listAddr    *netip.AddrPort
	peerKey     *string
	operatorKey *string
	readKey     *string
	tlsCert     *string
	tlsKey      *string
	tlsCA       *string
	seed        *int
	logFormat   *string
	logLevel    *string
	drainGrace  *time.Duration
	stopTimeout *time.Duration
	stepTimeout *time.Duration
	keyWindow   *time.Duration
	loadEvery   *time.Duration
	queueMost   *int
	tokenGap    *time.Duration
	dispatch    *string
	placement   *string
	admission   *string
	standalone  *bool
	platform    *bool
	metricsPort *int
	print       *bool
	printTable  *bool
}

// declare returns the settings with their defaults.
func declare() *options {
	s := settings.New("lentilmux", "LENTILMUX", "Router of one entry VM.", version)
	l := table.DefaultLimits()
	return &options{
		set:         s,
		name:        s.String("name", "", "name of this entry VM, as the platform lists it"),
		zone:        s.String("zone", "", "availability zone of this entry VM"),
		callerAddr:  s.AddrPort("caller-addr", "127.0.0.1:8080", "address for callers"),
		controlAddr: s.AddrPort("control-addr", "127.0.0.1:7080", "address for peers, operators and metrics"),
		logAddr:     s.AddrPort("log-addr", "127.0.0.1:9000", "address of the platform's log"),
		listAddr:    s.AddrPort("list-addr", "127.0.0.1:9000", "address of the platform's list of VMs"),
		peerKey:     s.String("peer-key", "", "key that all entry VMs share", settings.Secret()),
		operatorKey: s.String("operator-key", "", "key of operators; empty lets everyone in", settings.Secret()),
		readKey:     s.String("operator-read-key", "", "key of operators who may only ask", settings.Secret()),
		tlsCert:     s.String("tls-cert", "", "file of this VM's certificate, for both listeners; empty for no TLS"),
		tlsKey:      s.String("tls-key", "", "file of the certificate's key"),
		tlsCA:       s.String("tls-ca", "", "file of the authority of the other VMs' certificates"),
		seed:        s.Int("seed", 0, 0, 1<<31-1, "seed of random choices; 0 takes one from the clock"),
		logFormat:   s.Choice("log-format", "json", "format of the log lines", []string{"json", "text"}),
		logLevel:    s.Choice("log-level", "info", "least level of the log lines", []string{"debug", "info", "warning", "error"}),
		drainGrace:  s.Duration("drain-grace", l.DrainGrace, 0, 5*time.Minute, "time of a planned stop in which new work is still taken"),
		stopTimeout: s.Duration("stop-timeout", 15*time.Minute, time.Second, time.Hour, "longest time of a planned stop"),
		stepTimeout: s.Duration("step-timeout", l.StepTimeout, 50*time.Millisecond, time.Minute, "silence of an engine before an attempt fails"),
		keyWindow:   s.Duration("key-window", l.KeyWindow, time.Minute, 24*time.Hour, "how long an idempotency key is remembered"),
		loadEvery:   s.Duration("load-every", l.LoadInterval, 50*time.Millisecond, time.Minute, "time between load reports of an engine"),
		queueMost:   s.Int("queue-most", l.MaxQueued, 1, 100000, "waiting requests of a workspace"),
		tokenGap:    s.Duration("token-gap", l.TokenGap, time.Millisecond, time.Minute, "time between tokens of an answer up to which engines are filled"),
		dispatch:    s.Choice("dispatch", "two_choices", "policy that picks upstreams; the others are baselines", []string{"two_choices", "round_robin", "least_reported"}),
		placement:   s.Choice("placement", "balanced", "policy that spreads layers; the other is a baseline", []string{"balanced", "equal"}),
		admission:   s.Choice("admission", "shares", "policy that picks the next workspace; the other is a baseline", []string{"shares", "arrival"}),
		standalone:  s.Bool("standalone", "serve a whole small system with embedded stand-ins; not for production"),
		platform:    s.Bool("platform", "run before the platform's balancer, by the settings file that LENTILMUX_SETTINGS names"),
		metricsPort: s.Int("metrics-port", 0, 0, 65535, "port of the metrics with --platform; 0 for none"),
		print:       s.Bool("print-settings", "print the settings in force and end"),
		printTable:  s.Bool("print-settings-table", "print the table of all settings and end"),
	}
}

// check returns the mistakes that only show between settings.
func (o *options) check() (err error) {
	if *o.standalone || *o.platform {
		return nil
	}
	var mistakes settings.ValidationError
	for _, required := range []struct{ flag, variable, value, expected string }{
		{"name", "LENTILMUX_NAME", *o.name, "the name of this entry VM"},
		{"zone", "LENTILMUX_ZONE", *o.zone, "the availability zone of this entry VM"},
	} {
		if required.value == "" {
			mistakes = append(mistakes, settings.InvalidSetting{
				Flag: required.flag, EnvVar: required.variable, Value: required.value, Expected: required.expected,
			})
		}
	}
	if *o.callerAddr == *o.controlAddr {
		mistakes = append(mistakes, settings.InvalidSetting{
			Flag: "control-addr", EnvVar: "LENTILMUX_CONTROL_ADDR", Value: o.controlAddr.String(), Expected: "another address than caller-addr",
		})
	}
	if (*o.tlsCert == "") != (*o.tlsKey == "") {
		mistakes = append(mistakes, settings.InvalidSetting{
			Flag: "tls-key", EnvVar: "LENTILMUX_TLS_KEY", Value: *o.tlsKey, Expected: "a file, together with tls-cert",
		})
	}
	if len(mistakes) > 0 {
		return mistakes
	}
	return nil
}

// security returns the certificates that the settings name, or nil for none.
func (o *options) security() (files *certificate.Reloader, err error) {
	if *o.tlsCert == "" {
		return nil, nil
	}
	return certificate.Load(*o.tlsCert, *o.tlsKey, *o.tlsCA)
}

// logger returns the logger that the settings describe.
func (o *options) logger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(os.Stderr)
	if *o.logFormat == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	}
	if level, err := logrus.ParseLevel(*o.logLevel); err == nil {
		logger.SetLevel(level)
	}
	return logger
}

// config returns the entry VM's configuration.
func (o *options) config(logger *logrus.Logger) entryvm.Config {
	limits := table.DefaultLimits()
	limits.DrainGrace = *o.drainGrace
	limits.StepTimeout = *o.stepTimeout
	limits.KeyWindow = *o.keyWindow
	limits.LoadInterval = *o.loadEvery
	limits.MaxQueued = *o.queueMost
	limits.TokenGap = *o.tokenGap
	seed := uint64(*o.seed)
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	return entryvm.Config{
		Name: *o.name, Zone: *o.zone, CallerAddr: *o.callerAddr, ControlAddr: *o.controlAddr,
		PeerKey: *o.peerKey, Operators: operator.Keys{Admin: *o.operatorKey, ReadOnly: *o.readKey},
		Seed: seed, Limits: limits, StopTimeout: *o.stopTimeout, Logger: logger,
		Options: o.policies(),
	}
}

// policies returns the baselines that the settings ask for.
func (o *options) policies() (options []system.Option) {
	switch *o.dispatch {
	case "round_robin":
		options = append(options, system.WithDispatch(&dispatch.RoundRobin{}))
	case "least_reported":
		options = append(options, system.WithDispatch(dispatch.LeastReported{}))
	}
	if *o.placement == "equal" {
		options = append(options, system.WithPlacement(placement.Equal{}))
	}
	if *o.admission == "arrival" {
		options = append(options, system.WithAdmission(admission.ArrivalOrder{}))
	}
	return options
}
