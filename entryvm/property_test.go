package entryvm_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"lentilmux.example/lentilmux"
)

// TestMain sets the seed of property tests to 1, or to LENTILMUX_SEED if it is
// set; 0 selects a new seed for each run.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := "1"
	if given, ok := os.LookupEnv("LENTILMUX_SEED"); ok {
		seed = given
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(m.Run())
}

// step is one action on a cluster, which follows a wait.
type step struct {
	Kind  string
	VM    int // member that the step acts on; of a restore of the log: the age of the copy
	Other int // second member of a cut, or the upstream of an upstream fault
	Key   int // index of the idempotency keys
	Wait  time.Duration
}

// stepKinds lists the kinds of steps. Requests are listed several times, so that
// they are in flight when faults occur.
var stepKinds = []string{
	"booking", "booking", "booking", "booking", "lookup", "chat_with_key", "chat_with_key", "chat", "chat", "chat", "command", "command",
	"kill", "restart", "pause", "resume", "cut", "cut_log", "heal",
	"log_outage", "log_recovery", "drop_log_replies", "deliver_log_replies", "restore_log",
	"engine_kill", "engine_revive", "engine_freeze", "engine_thaw", "engine_blackhole",
	"service_kill", "service_revive", "service_freeze", "service_thaw",
}

// steps generates plans of 10 to 60 random steps.
var steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		Kind:  rapid.SampledFrom(stepKinds).Draw(t, "kind"),
		VM:    rapid.IntRange(0, testVMs-1).Draw(t, "vm"),
		Other: rapid.IntRange(0, testVMs-1).Draw(t, "other"),
		Key:   rapid.IntRange(0, 5).Draw(t, "key"),
		Wait:  time.Duration(rapid.SampledFrom([]int{0, 1, 5, 20, 100, 500, 2000, 11000}).Draw(t, "wait")) * time.Millisecond,
	}
}), 10, 60)

// TestPropertyGuaranteesUnderFaults guards against sequences of faults that break
// what is guaranteed to callers and operators. It runs random steps and checks
// bookings, answers, configuration and availability.
func TestPropertyGuaranteesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := steps.Draw(rt, "steps")
		var violations []string
		synctest.Test(t, func(t *testing.T) { violations = runPlan(t, plan) })
		if len(violations) > 0 {
			rt.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
}

// history collects the responses to callers and operators during a plan, and the
// violations found.
type history struct {
	mu         sync.Mutex
	violations []string
	bookings   map[string][]response // by key
	answers    []response
	accepted   map[string]lentilmux.Revision // by name of the created workspace
	revisions  map[string]lentilmux.Revision // highest revision seen at each VM
	keeper     *member                       // knows all accepted commands while the log lacks some
	clients    sync.WaitGroup
}

// fail records a violation.
func (h *history) fail(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// runPlan runs the steps on a new cluster, ends all faults and returns the
// violations.
func runPlan(t *testing.T, plan []step) (violations []string) {
	c := newCluster(t, testVMs)
	defer c.stopAll()
	h := &history{bookings: make(map[string][]response), accepted: make(map[string]lentilmux.Revision), revisions: make(map[string]lentilmux.Revision)}
	// Each key number stands for one key for bookings and lookups and another for
	// model requests.
	keys := make([][2]string, 6)
	for i := range keys {
		keys[i] = [2]string{newIdempotencyKey(), newIdempotencyKey()}
	}
	for i, s := range plan {
		time.Sleep(s.Wait)
		runStep(c, h, s, i, keys[s.Key])
		checkRevisions(c, h)
	}
	endFaults(c)
	h.clients.Wait()
	time.Sleep(20 * time.Second)
	checkBookings(c, h)
	checkAnswers(c, h)
	checkConfiguration(c, h)
	checkServing(c, h)
	return h.violations
}

// runStep runs one step. Requests run in the background.
func runStep(c *cluster, h *history, s step, number int, keys [2]string) {
	m, other := c.vms[s.VM], c.vms[s.Other]
	if killsKeeper(c, h, s) {
		return
	}
	switch s.Kind {
	case "booking":
		h.clients.Go(func() { runBooking(c, h, m, keys[0]) })
	case "lookup":
		h.clients.Go(func() { c.sendLookup(m, keys[0], 8*time.Second) })
	case "chat_with_key":
		h.clients.Go(func() {
			if r := c.chatWithKey(m, keys[1], "same", 10, 8*time.Second); r.Outcome == "answered" && r.Text != expectedAnswer("same", 10) {
				h.fail("a model request with a key returned %+v", r)
			}
		})
	case "chat":
		h.clients.Go(func() {
			r := c.chat(m, fmt.Sprint("question ", number), 20, 8*time.Second)
			h.mu.Lock()
			defer h.mu.Unlock()
			// checkAnswers reads the question from the end of the reason.
			r.Reason += fmt.Sprint(" question ", number)
			h.answers = append(h.answers, r)
		})
	case "command":
		h.clients.Go(func() { runCommand(c, h, m, number) })
	case "kill":
		if countRunning(c) > 1 {
			c.kill(m)
		}
	case "restart":
		if !m.running() {
			<-m.incarnation().done
			c.start(m)
		}
	case "pause":
		if m.running() {
			m.incarnation().gate.pause()
		}
	case "resume":
		m.incarnation().gate.resume()
	case "cut":
		c.network.cut(m.addr, other.addr)
	case "cut_log":
		c.network.cutLog(m.addr, true)
	case "heal":
		c.network.heal()
	case "log_outage", "log_recovery":
		c.log.SetOutage(s.Kind == "log_outage")
	case "restore_log":
		restoreLog(c, h, copyAges[s.VM])
	case "drop_log_replies":
		c.log.DropEveryNthReply(2)
	case "deliver_log_replies":
		c.log.DropEveryNthReply(0)
	default:
		applyUpstreamFault(c, s)
	}
}

// applyUpstreamFault runs a step that causes or ends a fault of an upstream.
func applyUpstreamFault(c *cluster, s step) {
	worker, replica := c.workers[s.Other%len(c.workers)], c.serviceReplicas[s.Other%len(c.serviceReplicas)]
	switch s.Kind {
	case "engine_kill":
		worker.Kill()
	case "engine_revive":
		worker.Revive()
	case "engine_freeze":
		worker.Freeze()
	case "engine_thaw":
		worker.Thaw()
	case "engine_blackhole":
		worker.BlackholeStreams()
	case "service_kill":
		replica.Kill()
	case "service_revive":
		replica.Revive()
	case "service_freeze":
		replica.Freeze()
	case "service_thaw":
		replica.Thaw()
	}
}

// countRunning returns the number of members that are running.
func countRunning(c *cluster) (count int) {
	for _, m := range c.vms {
		if m.running() {
			count++
		}
	}
	return count
}

// runBooking sends a booking with a key that other steps use too. A response "not
// run" is a violation if the booking of the key has run.
func runBooking(c *cluster, h *history, m *member, key string) {
	r := c.sendBooking(m, key, "slot", false, 8*time.Second)
	runs := c.bookingRuns(key)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bookings[key] = append(h.bookings[key], r)
	if r.Outcome == "not_run" && runs > 0 {
		h.violations = append(h.violations, fmt.Sprintf("key %s was rejected as not run (%s) and ran %d times", key, r.Reason, runs))
	}
}

// runCommand creates a workspace with a unique name.
func runCommand(c *cluster, h *history, m *member, number int) {
	if !m.running() {
		return
	}
	text := fmt.Sprintf("create workspace w%d share 0.001 priority 1", number)
	answer := c.execute(m, text, uuid.NewString())
	h.mu.Lock()
	defer h.mu.Unlock()
	if answer.Accepted {
		h.accepted[fmt.Sprintf("w%d", number)] = answer.Revision
	}
}

// checkRevisions checks that the configuration of no VM returns to an earlier
// revision.
func checkRevisions(c *cluster, h *history) {
	for _, m := range c.vms {
		if !m.running() || m.incarnation().gate.paused() {
			continue
		}
		status, ok := m.ask(lentilmux.StatusMsg{}).(lentilmux.StatusAnswer)
		if !ok {
			continue
		}
		if status.Reason == "" && status.Revision < h.revisions[m.name] {
			h.fail("%s returned from revision %d to %d", m.name, h.revisions[m.name], status.Revision)
		}
		h.revisions[m.name] = max(h.revisions[m.name], status.Revision)
	}
}

// endFaults ends all faults and restarts the members that were killed.
func endFaults(c *cluster) {
	c.network.heal()
	c.log.SetOutage(false)
	c.log.DropEveryNthReply(0)
	for _, worker := range c.workers {
		worker.Thaw()
		worker.Revive()
	}
	for _, replica := range c.serviceReplicas {
		replica.Thaw()
		replica.Revive()
	}
	for _, m := range c.vms {
		m.incarnation().gate.resume()
		if !m.running() {
			<-m.incarnation().done
			c.start(m)
		}
	}
}

// checkBookings checks that each booking ran at most once, that it was not
// rejected as not run although it ran, and that all its replies are equal.
func checkBookings(c *cluster, h *history) {
	for key, responses := range h.bookings {
		runs := c.bookingRuns(key)
		if runs > 1 {
			h.fail("key %s ran %d times", key, runs)
		}
		body, notRunCount := "", 0
		for _, r := range responses {
			switch r.Outcome {
			case "answered":
				if body != "" && r.Body != body {
					h.fail("key %s has two different replies: %s and %s", key, body, r.Body)
				}
				body = r.Body
			case "not_run":
				notRunCount++
			}
		}
		if body != "" && runs != 1 {
			h.fail("key %s was answered and ran %d times", key, runs)
		}
		if notRunCount == len(responses) && runs > 0 {
			h.fail("key %s was always rejected as not run and ran %d times", key, runs)
		}
	}
}

// checkAnswers checks that each answer is correct and that its layers ran once.
func checkAnswers(c *cluster, h *history) {
	for _, r := range h.answers {
		if r.Outcome != "answered" {
			continue
		}
		question := r.Reason[strings.Index(r.Reason, "question"):]
		if r.Text != expectedAnswer(question, 20) {
			h.fail("request %s returned the wrong answer %q", r.RequestID, r.Text)
		}
		if violation := checkLayers(c, r.RequestID, 20); violation != "" {
			h.fail("%s", violation)
		}
	}
}

// configApplyTimeout is the maximum time until every VM has applied an accepted
// command.
const configApplyTimeout = 5 * time.Second

// checkConfiguration checks that all VMs converge to the same configuration and
// that it contains every accepted command. It allows configApplyTimeout, since the
// system may just have changed the placement of a pipeline by itself.
func checkConfiguration(c *cluster, h *history) {
	difference := configurationDifference(c)
	for deadline := time.Now().Add(configApplyTimeout); difference != "" && time.Now().Before(deadline); difference = configurationDifference(c) {
		time.Sleep(100 * time.Millisecond)
	}
	if difference != "" {
		h.fail("%s", difference)
	}
	for _, m := range c.vms {
		if name := missingWorkspace(c, h, m); name != "" {
			h.fail("%s has no workspace %s, which was accepted", m.name, name)
		}
	}
}

// missingWorkspace returns the name of an accepted workspace that a member has not
// applied, or an empty text.
func missingWorkspace(c *cluster, h *history, m *member) string {
	workspaces := c.snapshot(m).Workspaces
	h.mu.Lock()
	defer h.mu.Unlock()
	for name := range h.accepted {
		exists := slices.ContainsFunc(workspaces, func(w lentilmux.WorkspaceSpec) bool { return w.Name == name })
		if !exists {
			return name
		}
	}
	return ""
}

// configurationDifference describes a VM whose configuration differs from that of
// the first, or returns an empty text.
func configurationDifference(c *cluster) string {
	first := c.snapshot(c.vms[0])
	for _, m := range c.vms[1:] {
		s := c.snapshot(m)
		if s.Revision != first.Revision || len(s.Workspaces) != len(first.Workspaces) {
			return fmt.Sprintf("%s is at revision %d with %d workspaces, %s at %d with %d", m.name, s.Revision, len(s.Workspaces), c.vms[0].name, first.Revision, len(first.Workspaces))
		}
	}
	return ""
}

// checkServing checks that every VM serves model requests and bookings after the
// faults.
func checkServing(c *cluster, h *history) {
	for _, m := range c.vms {
		if r := c.chat(m, "after", 5, 10*time.Second); r.Text != expectedAnswer("after", 5) {
			h.fail("%s does not serve model requests after the faults: %+v", m.name, r)
		}
		if r := c.sendBooking(m, newIdempotencyKey(), "after", true, 10*time.Second); r.Outcome != "answered" {
			h.fail("%s does not serve bookings after the faults: %+v", m.name, r)
		}
	}
}
