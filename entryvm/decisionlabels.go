package entryvm

// decisionLabels maps the names of events in the decision log to the values of
// the label what of the metric lentilmux_decisions, for events whose name in
// the log differs from the label value. Dashboards rely on these values, so
// they don't change when an event is renamed.
var decisionLabels = map[string]string{
	"peer_joined":               "vm_met",
	"peer_lost":                 "vm_lost",
	"upstream_registered":       "upstream_met",
	"upstream_expired":          "upstream_lapsed",
	"upstream_ejected":          "upstream_shunned",
	"upstream_recovered":        "upstream_trusted",
	"upstream_slowdown_changed": "upstream_pace",
	"layers_registered":         "layers_held",
	"store_unreachable":         "store_lost",
	"store_reachable":           "store_regained",
	"read_source_changed":       "reads_from",
	"attempt_failed":            "leg_failed",
	"attempt_replaced":          "leg_replaced",
	"attempt_kept":              "leg_waits",
}

// decisionLabel returns the label value under which an event is counted.
func decisionLabel(event string) string {
	if label, ok := decisionLabels[event]; ok {
		return label
	}
	return event
}
