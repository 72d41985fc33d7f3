package entryvm

import (
	"context"
	"net/http"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/caller"
	"lentilmux.example/lentilmux/forward"
)

// metrics are the entry VM's instruments. Their labels take values from fixed
// sets only.
type metrics struct {
	registry  *prometheus.Registry
	requests  metric.Int64Counter
	tokens    metric.Int64Counter
	decisions metric.Int64Counter
	took      metric.Float64Histogram
	first     metric.Float64Histogram
	pause     metric.Float64Histogram
}

// newMetrics returns instruments that a Prometheus handler reads.
func newMetrics() (m *metrics, err error) {
	defer errors.DeferredAnnotatef(&err, "making metrics")
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(reader)).Meter("lentilmux")
	m = &metrics{registry: registry}
	if m.requests, err = meter.Int64Counter("lentilmux_requests", metric.WithDescription("Requests that ended, by outcome and reason.")); err != nil {
		return nil, err
	}
	if m.tokens, err = meter.Int64Counter("lentilmux_tokens", metric.WithDescription("Tokens given to callers.")); err != nil {
		return nil, err
	}
	if m.decisions, err = meter.Int64Counter("lentilmux_decisions", metric.WithDescription("Decisions, by what was decided.")); err != nil {
		return nil, err
	}
	if m.took, err = meter.Float64Histogram("lentilmux_request_duration", metric.WithUnit("s"), metric.WithDescription("Time until a request ended.")); err != nil {
		return nil, err
	}
	if m.first, err = meter.Float64Histogram("lentilmux_first_token", metric.WithUnit("s"), metric.WithDescription("Time until the first token.")); err != nil {
		return nil, err
	}
	m.pause, err = meter.Float64Histogram("lentilmux_longest_pause", metric.WithUnit("s"), metric.WithDescription("The longest time between two events of a stream."))
	return m, err
}

// observe counts a finished request.
func (m *metrics) observe(o caller.Observation) {
	ctx := context.Background()
	kind := "model"
	if o.IsServiceCall {
		kind = "service"
	}
	labels := metric.WithAttributes(
		attribute.String("kind", kind),
		attribute.String("outcome", o.Outcome.String()),
		attribute.String("reason", string(o.Reason)),
	)
	m.requests.Add(ctx, 1, labels)
	m.took.Record(ctx, o.Duration.Seconds(), labels)
	m.tokens.Add(ctx, int64(o.Tokens))
	if o.TimeToFirstToken > 0 {
		m.first.Record(ctx, o.TimeToFirstToken.Seconds())
	}
}

// decision counts a decision under the label value of its event.
func (m *metrics) decision(d lentilmux.Decision) {
	m.decisions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("what", decisionLabel(d.What))))
}

// handler serves the metrics in Prometheus' format.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// forwarded counts a request that was forwarded whole.
func (m *metrics) forwarded(r forward.Result) {
	ctx := context.Background()
	labels := metric.WithAttributes(
		attribute.String("kind", r.Kind.String()),
		attribute.String("outcome", r.Outcome.String()),
		attribute.String("reason", string(r.Reason)),
	)
	m.requests.Add(ctx, 1, labels)
	m.took.Record(ctx, r.Duration.Seconds(), labels)
	m.tokens.Add(ctx, int64(r.Events))
	if r.TimeToFirstByte > 0 {
		m.first.Record(ctx, r.TimeToFirstByte.Seconds())
	}
	if r.MaxEventGap > 0 {
		m.pause.Record(ctx, r.MaxEventGap.Seconds())
	}
}
