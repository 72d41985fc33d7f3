package entryvm

import (
	"context"
	"net/http"
	"sync/atomic"

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

// metrics holds the entry VM's metric instruments. Labels take values from fixed
// sets only, which bounds the number of time series.
type metrics struct {
	registry        *prometheus.Registry
	meter           metric.Meter
	requests        metric.Int64Counter
	tokens          metric.Int64Counter
	unanswered      metric.Int64Counter
	decisions       metric.Int64Counter
	roomDecisions   metric.Int64Counter
	closedConns     metric.Int64Counter
	limited         metric.Int64Counter
	requestDuration metric.Float64Histogram
	firstToken      metric.Float64Histogram
	longestPause    metric.Float64Histogram
	promiseRatio    metric.Float64Histogram
	answerRatio     metric.Float64Histogram
}

// promiseRatioBounds are the bounds of the buckets of the promise ratio.
var promiseRatioBounds = []float64{0.1, 0.25, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 20}

// answerRatioBounds are the bounds of the buckets of the answer ratio, half an octave
// each around 1.
var answerRatioBounds = []float64{0.1, 0.25, 0.5, 0.71, 0.84, 1.19, 1.41, 2, 4, 10, 30}

// newMetrics creates the instruments with a Prometheus registry of their own.
func newMetrics() (m *metrics, err error) {
	defer errors.DeferredAnnotatef(&err, "creating metrics")
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(reader)).Meter("lentilmux")
	m = &metrics{registry: registry, meter: meter}
	if m.requests, err = meter.Int64Counter("lentilmux_requests", metric.WithDescription("Requests that ended, by outcome and reason.")); err != nil {
		return nil, err
	}
	if m.unanswered, err = meter.Int64Counter("lentilmux_unanswered_requests", metric.WithDescription("Requests that ended without a complete answer or a refusal, by cause.")); err != nil {
		return nil, err
	}
	if m.closedConns, err = meter.Int64Counter("lentilmux_closed_connections", metric.WithDescription("Connections of callers that were closed, by cause.")); err != nil {
		return nil, err
	}
	if m.limited, err = meter.Int64Counter("lentilmux_limited", metric.WithDescription("Connections and requests of clients that a limit has ended, by server and limit.")); err != nil {
		return nil, err
	}
	if m.tokens, err = meter.Int64Counter("lentilmux_tokens", metric.WithDescription("Tokens given to callers.")); err != nil {
		return nil, err
	}
	if m.decisions, err = meter.Int64Counter("lentilmux_decisions", metric.WithDescription("Decisions, by what was decided.")); err != nil {
		return nil, err
	}
	if m.roomDecisions, err = meter.Int64Counter("lentilmux_room_decisions", metric.WithDescription("Requests that got room at upstreams that hold layers, or were refused for want of it, by priority.")); err != nil {
		return nil, err
	}
	if m.requestDuration, err = meter.Float64Histogram("lentilmux_request_duration", metric.WithUnit("s"), metric.WithDescription("Time until a request ended.")); err != nil {
		return nil, err
	}
	if m.firstToken, err = meter.Float64Histogram("lentilmux_first_token", metric.WithUnit("s"), metric.WithDescription("Time until the first token.")); err != nil {
		return nil, err
	}
	if m.longestPause, err = meter.Float64Histogram("lentilmux_longest_pause", metric.WithUnit("s"), metric.WithDescription("The longest time between two events of a stream.")); err != nil {
		return nil, err
	}
	m.promiseRatio, err = meter.Float64Histogram("lentilmux_promise_ratio", metric.WithExplicitBucketBoundaries(promiseRatioBounds...),
		metric.WithDescription("Time until the first event of a stream, or until it ended without one, divided by the time expected when its first attempt was sent."))
	if err != nil {
		return nil, err
	}
	m.answerRatio, err = meter.Float64Histogram("lentilmux_answer_ratio", metric.WithExplicitBucketBoundaries(answerRatioBounds...),
		metric.WithDescription("Tokens of an answer divided by those expected when its first attempt was sent."))
	return m, err
}

// countAnswer records the length of an answer.
func (m *metrics) countAnswer(effect lentilmux.AnswerMeasuredEffect) {
	if effect.ExpectedTokens > 0 {
		m.answerRatio.Record(context.Background(), float64(effect.Answer.Tokens)/effect.ExpectedTokens,
			metric.WithAttributes(attribute.Bool("complete", effect.Answer.Complete), attribute.Bool("learned", effect.Learned)))
	}
}

// observeHeldParts adds the number of held prompt parts, which count returns.
func (m *metrics) observeHeldParts(count func() int) (err error) {
	_, err = m.meter.Int64ObservableGauge("lentilmux_held_parts", metric.WithDescription("Prompt parts that are held since they crash upstreams."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(int64(count()))
			return nil
		}))
	return err
}

// observeStore adds the version of the configuration in force and the timeline of
// each stream.
func (m *metrics) observeStore(state *storeState) (err error) {
	rules, err := m.meter.Int64ObservableGauge("lentilmux_rules_version", metric.WithDescription("Version of the configuration in force."))
	if err != nil {
		return err
	}
	timeline, err := m.meter.Int64ObservableGauge("lentilmux_store_timeline", metric.WithDescription("Timeline from which a stream is read. It rises when the store is restored from an earlier copy."))
	if err != nil {
		return err
	}
	_, err = m.meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		version, timelines := state.read()
		observer.ObserveInt64(rules, int64(version))
		for stream, value := range timelines {
			observer.ObserveInt64(timeline, int64(value), metric.WithAttributes(attribute.String("stream", string(stream))))
		}
		return nil
	}, rules, timeline)
	return err
}

// observeReachability adds whether this VM reaches its upstreams.
func (m *metrics) observeReachability(unreachable *atomic.Bool) (err error) {
	_, err = m.meter.Int64ObservableGauge("lentilmux_upstreams_reachable", metric.WithDescription("1 if some upstream accepts connections of this VM, as far as known, else 0."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			reachable := int64(1)
			if unreachable.Load() {
				reachable = 0
			}
			observer.Observe(reachable)
			return nil
		}))
	return err
}

// countRequest records a finished request of a [VM].
func (m *metrics) countRequest(observation caller.Observation) {
	ctx := context.Background()
	kind := "model"
	if observation.IsServiceCall {
		kind = "service"
	}
	labels := metric.WithAttributes(
		attribute.String("kind", kind),
		attribute.String("outcome", observation.Outcome.String()),
		attribute.String("reason", string(observation.Reason)),
	)
	m.requests.Add(ctx, 1, labels)
	m.requestDuration.Record(ctx, observation.Duration.Seconds(), labels)
	m.tokens.Add(ctx, int64(observation.Tokens))
	if observation.TimeToFirstToken > 0 {
		m.firstToken.Record(ctx, observation.TimeToFirstToken.Seconds())
	}
}

// countDecision counts a decision under the label value of its event.
func (m *metrics) countDecision(d lentilmux.Decision) {
	m.decisions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("what", decisionLabel(d.What))))
}

// countClosedConn counts a closed connection of a caller.
func (m *metrics) countClosedConn(cause connEnd) {
	m.closedConns.Add(context.Background(), 1, metric.WithAttributes(attribute.String("cause", string(cause))))
}

// handler serves the metrics in the Prometheus text format.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// countForwarded records a finished request of a [Gateway].
func (m *metrics) countForwarded(result forward.Result) {
	ctx := context.Background()
	labels := metric.WithAttributes(
		attribute.String("kind", result.Kind.String()),
		attribute.String("outcome", result.Outcome.String()),
		attribute.String("reason", string(result.Reason)),
	)
	m.requests.Add(ctx, 1, labels)
	if result.End.Unanswered {
		m.unanswered.Add(ctx, 1, metric.WithAttributes(attribute.String("kind", result.Kind.String()), attribute.String("cause", string(result.End.Cause))))
	}
	m.requestDuration.Record(ctx, result.Duration.Seconds(), labels)
	m.tokens.Add(ctx, int64(result.Events))
	if result.TimeToFirstByte > 0 {
		m.firstToken.Record(ctx, result.TimeToFirstByte.Seconds())
	}
	if promise := result.Promise; promise.Expected > 0 {
		m.promiseRatio.Record(ctx, promise.Actual.Seconds()/promise.Expected.Seconds(), metric.WithAttributes(attribute.Bool("begun", promise.Begun)))
	}
	if result.MaxEventGap > 0 {
		m.longestPause.Record(ctx, result.MaxEventGap.Seconds())
	}
}

// countRoomDecision counts a request that got room or was refused for want of it. Its
// priority is one of ten.
func (m *metrics) countRoomDecision(effect lentilmux.RoomDecisionEffect) {
	m.roomDecisions.Add(context.Background(), 1, metric.WithAttributes(
		attribute.Int("priority", lentilmux.ClampPriority(effect.Priority)), attribute.Bool("served", effect.Served), attribute.Bool("returning", effect.Returning)))
}
