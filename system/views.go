package system

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// view defines how a table is shown to operators.
type view struct {
	columns []string
	rows    func(t *table.Tables, now time.Time) [][]string
}

// views maps the names of tables to their views.
var views = map[string]view{
	"vms":        {[]string{"name", "role", "zone", "addr", "leaving", "revision", "heard_ms_ago", "running"}, vmRows},
	"upstreams":  {[]string{"name", "kind", "zone", "addr", "accelerator", "state", "in_flight", "peer_in_flight", "slots", "reported", "rtt_ms", "holds", "desired", "failures", "pipeline", "revision"}, upstreamRows},
	"pipelines":  {[]string{"name", "model", "layers", "stages", "upstreams", "bound_tokens_per_s", "revision"}, pipelineRows},
	"stages":     {[]string{"pipeline", "layers", "reach", "replicas", "in_flight"}, stageRows},
	"services":   {[]string{"name", "upstreams", "idempotent", "revision"}, serviceRows},
	"workspaces": {[]string{"name", "share", "priority", "uses", "running", "queued", "peer_running", "refused", "revision"}, workspaceRows},
	"requests":   {[]string{"id", "workspace", "target", "state", "epoch", "attempts", "upstreams", "age_ms", "deadline_ms"}, requestRows},
	"calls":      {[]string{"key", "state", "vm", "fingerprint", "status", "age_ms"}, callRows},
	"suspects":   {[]string{"fingerprint", "crashed", "state", "age_ms"}, suspectRows},
	"orders":     {[]string{"upstream", "model", "layers", "fence", "state"}, orderRows},
	"revisions":  {[]string{"revision", "at", "who", "verdict", "text", "detail", "id"}, revisionRows},
	"decisions":  {[]string{"at", "what", "subject", "chosen", "reason", "considered"}, decisionRows},
	"streams":    {[]string{"stream", "next", "end", "healthy", "regressed", "known_since", "timeline"}, streamRows},
}

// TableNames returns the names of all tables that operators can query, sorted.
func TableNames() (names []string) {
	for name := range views {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// elapsedMilliseconds returns the time from at to now in milliseconds, or a
// dash if at is zero.
func elapsedMilliseconds(now, at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return strconv.FormatInt(now.Sub(at).Milliseconds(), 10)
}

func vmRows(t *table.Tables, now time.Time) (rows [][]string) {
	self := t.Self
	rows = append(rows, []string{
		self.Name, "entry", self.Zone, self.Addr.String(), fmt.Sprint(self.Draining()),
		fmt.Sprint(self.Revision), "0", strconv.Itoa(len(t.Requests.Rows)),
	})
	for i := range t.Peers.Rows {
		p := &t.Peers.Rows[i]
		running := 0
		for _, usage := range p.Digest.Usage {
			running += usage.Running
		}
		rows = append(rows, []string{
			p.Name, "entry", p.Digest.Zone, p.Addr.String(), fmt.Sprint(p.Leaving || p.Digest.Draining),
			fmt.Sprint(p.Digest.Revision), elapsedMilliseconds(now, p.LastDigestAt), strconv.Itoa(running),
		})
	}
	for i := range t.VMs.Rows {
		vm := &t.VMs.Rows[i].Listed
		if vm.Role == lentilmux.RoleUpstream {
			rows = append(rows, []string{vm.Name, "upstream", vm.Zone, vm.Addr.String(), fmt.Sprint(vm.Leaving), "-", "-", "-"})
		}
	}
	return rows
}

// upstreamState returns the state of an upstream as queries show it.
func upstreamState(u *table.Upstream, now time.Time) string {
	switch {
	case u.Leaving:
		return "leaving"
	case u.Spec.Draining:
		return "draining"
	case !u.EjectedUntil.IsZero():
		return "ejected"
	case u.Spec.Excluded:
		return "excluded"
	case !u.ReturnedAt.IsZero() && now.Sub(u.ReturnedAt) < time.Second:
		return "returning"
	default:
		return "open"
	}
}

func upstreamRows(t *table.Tables, now time.Time) (rows [][]string) {
	for i := range t.Upstreams.Rows {
		u := &t.Upstreams.Rows[i]
		desired := "-"
		if u.Order.Model != "" {
			desired = rangeText(u.Order.Layers)
		}
		rows = append(rows, []string{
			u.Spec.Name, string(u.Spec.Kind), u.Spec.Zone, u.Spec.Addr.String(), u.Spec.Accelerator,
			upstreamState(u, now), strconv.Itoa(u.InFlight), strconv.Itoa(u.PeerInFlight), strconv.Itoa(u.Spec.Slots),
			strconv.Itoa(u.Report.Running + u.Report.Queued), strconv.FormatFloat(u.RTT.Seconds()*1000, 'f', 1, 64), heldRangeText(u.Report), desired,
			strconv.Itoa(u.Failures), targetUsing(t, u.Spec.Name), fmt.Sprint(u.Spec.Revision),
		})
	}
	return rows
}

func pipelineRows(t *table.Tables, _ time.Time) (rows [][]string) {
	for i := range t.Pipelines.Rows {
		p := &t.Pipelines.Rows[i]
		rows = append(rows, []string{
			p.Spec.Name, p.Spec.Model, strconv.Itoa(p.Spec.Layers), strconv.Itoa(p.StageCount),
			strings.Join(p.Spec.Upstreams, ","), strconv.FormatFloat(p.MaxThroughput, 'f', 1, 64), fmt.Sprint(p.Spec.Revision),
		})
	}
	return rows
}

func stageRows(t *table.Tables, _ time.Time) (rows [][]string) {
	for i := range t.Stages.Rows {
		stage := &t.Stages.Rows[i]
		var names []string
		inFlight := 0
		for _, row := range stage.Replicas {
			names = append(names, t.Upstreams.Rows[row].Spec.Name)
			inFlight += t.Upstreams.Rows[row].InFlight
		}
		rows = append(rows, []string{
			stage.Pipeline, rangeText(stage.Layers), fmt.Sprint(stage.ReachesEnd), strings.Join(names, ","), strconv.Itoa(inFlight),
		})
	}
	return rows
}

func serviceRows(t *table.Tables, _ time.Time) (rows [][]string) {
	for i := range t.Services.Rows {
		s := &t.Services.Rows[i].Spec
		rows = append(rows, []string{s.Name, strings.Join(s.Upstreams, ","), strings.Join(s.Idempotent, ","), fmt.Sprint(s.Revision)})
	}
	return rows
}

func workspaceRows(t *table.Tables, _ time.Time) (rows [][]string) {
	for i := range t.Workspaces.Rows {
		w := &t.Workspaces.Rows[i]
		rows = append(rows, []string{
			w.Spec.Name, strconv.FormatFloat(w.Spec.Share, 'f', -1, 64), strconv.Itoa(w.Spec.Priority),
			strings.Join(w.Spec.Uses, ","), strconv.Itoa(w.Running), strconv.Itoa(w.Queued),
			strconv.Itoa(w.PeerRunning), strconv.Itoa(w.Refused), fmt.Sprint(w.Spec.Revision),
		})
	}
	return rows
}

func requestRows(t *table.Tables, now time.Time) (rows [][]string) {
	for i := range t.Requests.Rows {
		r := &t.Requests.Rows[i]
		rows = append(rows, []string{
			string(r.Request.ID), r.Request.Workspace, r.Target, r.State.String(),
			strconv.Itoa(int(r.Epoch)), strconv.Itoa(r.Attempts), strings.Join(r.Upstreams, ","),
			elapsedMilliseconds(now, r.ArrivedAt), elapsedMilliseconds(r.Request.Deadline, now),
		})
	}
	return rows
}

func callRows(t *table.Tables, now time.Time) (rows [][]string) {
	for i := range t.Calls.Rows {
		c := &t.Calls.Rows[i]
		rows = append(rows, []string{
			c.Key, c.State.String(), c.VM, fingerprintText(c.Fingerprint), strconv.Itoa(c.Reply.Status), elapsedMilliseconds(now, c.CreatedAt),
		})
	}
	return rows
}

func suspectRows(t *table.Tables, now time.Time) (rows [][]string) {
	for i := range t.CrashSuspects.Rows {
		s := &t.CrashSuspects.Rows[i]
		state := "suspect"
		if isQuarantined(t, s) || isPartQuarantined(t, s) {
			state = "quarantined"
		}
		rows = append(rows, []string{s.Fingerprint, strings.Join(s.Upstreams, ","), state, elapsedMilliseconds(now, s.CrashedAt)})
	}
	return rows
}

func orderRows(t *table.Tables, _ time.Time) (rows [][]string) {
	for i := range t.Upstreams.Rows {
		u := &t.Upstreams.Rows[i]
		if u.Order.Model == "" {
			continue
		}
		state := "pending"
		if holdsDesiredRange(u) {
			state = "held"
		}
		rows = append(rows, []string{u.Spec.Name, u.Order.Model, rangeText(u.Order.Layers), fmt.Sprint(u.Order.Fence), state})
	}
	return rows
}

func revisionRows(t *table.Tables, _ time.Time) (rows [][]string) {
	for i := range t.History.Rows {
		h := &t.History.Rows[i]
		verdict := "refused"
		switch {
		case h.VerdictUnknown:
			verdict = "unknown"
		case h.Accepted:
			verdict = "accepted"
		}
		rows = append(rows, []string{fmt.Sprint(h.Revision), h.At.UTC().Format(time.RFC3339Nano), h.Who, verdict, h.Text, h.Detail, h.ID})
	}
	return rows
}

func decisionRows(t *table.Tables, _ time.Time) (rows [][]string) {
	for _, d := range t.Decisions.All() {
		rows = append(rows, []string{
			d.At.UTC().Format(time.RFC3339Nano), d.What, d.Subject, d.Chosen, d.Reason, strings.Join(d.Considered, ","),
		})
	}
	return rows
}

func streamRows(t *table.Tables, _ time.Time) (rows [][]string) {
	row := func(name lentilmux.Stream, s *table.StreamRow) {
		knownSince := "-"
		if !s.KnownSince.IsZero() {
			knownSince = s.KnownSince.UTC().Format(time.RFC3339Nano)
		}
		rows = append(rows, []string{
			string(name), fmt.Sprint(s.NextOffset), fmt.Sprint(s.EndOffset), fmt.Sprint(s.Healthy()), fmt.Sprint(!s.RegressedSince.IsZero()), knownSince, fmt.Sprint(s.Timeline),
		})
	}
	row(lentilmux.StreamConfig, &t.Streams.Config)
	row(lentilmux.StreamCalls, &t.Streams.Calls)
	return rows
}
