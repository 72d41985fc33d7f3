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

// version is the version that --version prints.
const version = "0.1.0"

// options holds the values of the program's settings.
type options struct {
	set                *settings.Set
	name               *string
	zone               *string
	callerAddr         *netip.AddrPort
	controlAddr        *netip.AddrPort
	logAddr            *netip.AddrPort
	listAddr           *netip.AddrPort
	peerKey            *string
	operatorKey        *string
	operatorReadKey    *string
	tlsCert            *string
	tlsKey             *string
	tlsCA              *string
	seed               *int
	logFormat          *string
	logLevel           *string
	drainGrace         *time.Duration
	stopTimeout        *time.Duration
	stepTimeout        *time.Duration
	keyWindow          *time.Duration
	loadInterval       *time.Duration
	maxQueued          *int
	tokenGap           *time.Duration
	dispatch           *string
	placement          *string
	admission          *string
	standalone         *bool
	platform           *bool
	metricsPort        *int
	maxCallerConns     *int
	maxPeerConns       *int
	maxProbeConns      *int
	maxMetricsConns    *int
	maxHeadMemory      *int
	bodyTimeout        *time.Duration
	printSettings      *bool
	printSettingsTable *bool
}

// declareOptions declares all settings with their defaults. The values are
// valid once the set has been read.
func declareOptions() *options {
	s := settings.New("lentilmux", "LENTILMUX", "Router of one entry VM.", version)
	defaults := table.DefaultLimits()
	return &options{
		set:                s,
		name:               s.String("name", "", "name of this entry VM in the platform's list of VMs"),
		zone:               s.String("zone", "", "availability zone of this entry VM"),
		callerAddr:         s.AddrPort("caller-addr", "127.0.0.1:8080", "listen address for callers"),
		controlAddr:        s.AddrPort("control-addr", "127.0.0.1:7080", "listen address for peers, operators and metrics"),
		logAddr:            s.AddrPort("log-addr", "127.0.0.1:9000", "address of the platform's log"),
		listAddr:           s.AddrPort("list-addr", "127.0.0.1:9000", "address of the platform's list of VMs"),
		peerKey:            s.String("peer-key", "", "key shared by all entry VMs", settings.Secret()),
		operatorKey:        s.String("operator-key", "", "key of operators; if empty, no key is required", settings.Secret()),
		operatorReadKey:    s.String("operator-read-key", "", "key of operators with read-only access", settings.Secret()),
		tlsCert:            s.String("tls-cert", "", "PEM file with this VM's certificate, used by both listeners; empty disables TLS"),
		tlsKey:             s.String("tls-key", "", "PEM file with the private key of the certificate"),
		tlsCA:              s.String("tls-ca", "", "PEM file with the certificate authority of the other VMs"),
		seed:               s.Int("seed", 0, 0, 1<<31-1, "seed of random choices; 0 derives one from the clock"),
		logFormat:          s.Choice("log-format", "json", "format of the log lines", []string{"json", "text"}),
		logLevel:           s.Choice("log-level", "info", "minimum level of the log lines", []string{"debug", "info", "warning", "error"}),
		drainGrace:         s.Duration("drain-grace", defaults.DrainGrace, 0, 5*time.Minute, "time at the start of a drain during which new requests are still accepted"),
		stopTimeout:        s.Duration("stop-timeout", 15*time.Minute, time.Second, time.Hour, "maximum duration of a drain"),
		stepTimeout:        s.Duration("step-timeout", defaults.StepTimeout, 50*time.Millisecond, time.Minute, "time without a response from an engine after which an attempt fails"),
		keyWindow:          s.Duration("key-window", defaults.KeyWindow, time.Minute, 24*time.Hour, "how long an idempotency key is remembered"),
		loadInterval:       s.Duration("load-every", defaults.LoadInterval, 50*time.Millisecond, time.Minute, "interval between load reports of an engine"),
		maxQueued:          s.Int("queue-most", defaults.MaxQueued, 1, 100000, "maximum number of queued requests of a workspace"),
		tokenGap:           s.Duration("token-gap", defaults.TokenGap, time.Millisecond, time.Minute, "time between tokens of a response up to which engines are given more requests"),
		dispatch:           s.Choice("dispatch", "two_choices", "policy that selects upstreams; round_robin and least_reported are baselines for comparison", []string{"two_choices", "round_robin", "least_reported"}),
		placement:          s.Choice("placement", "balanced", "policy that assigns layer ranges to engines; equal is a baseline for comparison", []string{"balanced", "equal"}),
		admission:          s.Choice("admission", "shares", "policy that selects the workspace of the next request; arrival is a baseline for comparison", []string{"shares", "arrival"}),
		standalone:         s.Bool("standalone", "serve a complete small system with embedded stand-ins; not for production"),
		platform:           s.Bool("platform", "run on the users' platform, with the settings file that LENTILMUX_SETTINGS names"),
		metricsPort:        s.Int("metrics-port", 0, 0, 65535, "port of the metrics endpoint with --platform; 0 disables it"),
		maxCallerConns:     s.Int("max-caller-conns", 0, 0, 1000000, "maximum number of connections of callers with --platform; 0 derives it from the VM's memory and descriptors"),
		maxPeerConns:       s.Int("max-peer-conns", 0, 0, 1000000, "maximum number of connections to the peers' port with --platform; 0 derives it from the VM's memory and descriptors"),
		maxProbeConns:      s.Int("max-probe-conns", 0, 0, 10000, "maximum number of connections to the readiness address with --platform; 0 is the default of 64"),
		maxMetricsConns:    s.Int("max-metrics-conns", 0, 0, 10000, "maximum number of connections to the metrics address with --platform; 0 is the default of 32"),
		maxHeadMemory:      s.Int("max-head-memory", 0, 0, 1<<31-1, "bytes that the heads of callers' requests may hold in memory with --platform; 0 derives it from the VM's memory"),
		bodyTimeout:        s.Duration("body-timeout", time.Minute, time.Second, time.Hour, "time in which a caller's body has to arrive with --platform, whatever its deadline"),
		printSettings:      s.Bool("print-settings", "print the effective settings and exit"),
		printSettingsTable: s.Bool("print-settings-table", "print a table of all settings in Markdown and exit"),
	}
}

// validate checks the settings that are required and those that depend on each
// other. The error is a [settings.ValidationError]. With --standalone and
// --platform it checks nothing, since name, zone and certificates are not read
// from these settings.
func (o *options) validate() (err error) {
	if *o.standalone || *o.platform {
		return nil
	}
	var invalid settings.ValidationError
	for _, required := range []struct{ flag, variable, value, expected string }{
		{"name", "LENTILMUX_NAME", *o.name, "the name of this entry VM"},
		{"zone", "LENTILMUX_ZONE", *o.zone, "the availability zone of this entry VM"},
	} {
		if required.value == "" {
			invalid = append(invalid, settings.InvalidSetting{
				Flag: required.flag, EnvVar: required.variable, Value: required.value, Expected: required.expected,
			})
		}
	}
	if *o.callerAddr == *o.controlAddr {
		invalid = append(invalid, settings.InvalidSetting{
			Flag: "control-addr", EnvVar: "LENTILMUX_CONTROL_ADDR", Value: o.controlAddr.String(), Expected: "an address other than caller-addr",
		})
	}
	if (*o.tlsCert == "") != (*o.tlsKey == "") {
		invalid = append(invalid, settings.InvalidSetting{
			Flag: "tls-key", EnvVar: "LENTILMUX_TLS_KEY", Value: *o.tlsKey, Expected: "both tls-cert and tls-key, or neither",
		})
	}
	if len(invalid) > 0 {
		return invalid
	}
	return nil
}

// certificates loads the certificate files that the settings name. It returns
// nil if TLS is disabled.
func (o *options) certificates() (reloader *certificate.Reloader, err error) {
	if *o.tlsCert == "" {
		return nil, nil
	}
	return certificate.Load(*o.tlsCert, *o.tlsKey, *o.tlsCA)
}

// logger returns a logger to standard error with the format and level of the
// settings.
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

// config returns the entry VM's configuration. Limits without a setting keep
// their defaults.
func (o *options) config(logger *logrus.Logger) entryvm.Config {
	limits := table.DefaultLimits()
	limits.DrainGrace = *o.drainGrace
	limits.StepTimeout = *o.stepTimeout
	limits.KeyWindow = *o.keyWindow
	limits.LoadInterval = *o.loadInterval
	limits.MaxQueued = *o.maxQueued
	limits.TokenGap = *o.tokenGap
	seed := uint64(*o.seed)
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	return entryvm.Config{
		Name: *o.name, Zone: *o.zone, CallerAddr: *o.callerAddr, ControlAddr: *o.controlAddr,
		PeerKey: *o.peerKey, Operators: operator.Keys{Admin: *o.operatorKey, ReadOnly: *o.operatorReadKey},
		Seed: seed, Limits: limits, StopTimeout: *o.stopTimeout, Logger: logger,
		Options: o.policies(),
	}
}

// policies returns an option for each baseline policy that the settings select.
// The default policies need none.
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

// connLimits returns the limits of connections that the settings give. Those left at 0 are
// derived from the VM's memory and descriptors.
func (o *options) connLimits() entryvm.VMLimits {
	return entryvm.VMLimits{
		Callers:   entryvm.ConnLimits{Conns: *o.maxCallerConns, HeadBytes: int64(*o.maxHeadMemory), BodyTime: *o.bodyTimeout},
		Peers:     entryvm.ConnLimits{Conns: *o.maxPeerConns, BodyTime: *o.bodyTimeout},
		Readiness: entryvm.ConnLimits{Conns: *o.maxProbeConns},
		Metrics:   entryvm.ConnLimits{Conns: *o.maxMetricsConns},
	}
}
