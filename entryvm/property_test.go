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

// TestMain fixes the seed of property tests unless LENTILMUX_SEED gives
// another; 0 takes a new one for each run.
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

// step is one thing that happens to a cluster, after a wait.
type step struct {
	What  string
	VM    int
	Other int
	Key   int
	Wait  time.Duration
}

// whats are the things that can happen. Calls stand several times, so that
// faults meet work.
var whats = []string{
	"book", "book", "book", "book", "look", "ask", "ask", "chat", "chat", "chat", "command", "command",
	"kill", "restart", "pause", "resume", "cut", "cut_log", "heal",
	"log_outage", "log_back", "lose_replies", "keep_replies",
	"engine_kill", "engine_revive", "engine_freeze", "engine_thaw", "engine_silence",
	"desk_kill", "desk_revive", "desk_freeze", "desk_thaw",
}

var steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		What:  rapid.SampledFrom(whats).Draw(t, "what"),
		VM:    rapid.IntRange(0, testVMs-1).Draw(t, "vm"),
		Other: rapid.IntRange(0, testVMs-1).Draw(t, "other"),
		Key:   rapid.IntRange(0, 5).Draw(t, "key"),
		Wait:  time.Duration(rapid.SampledFrom([]int{0, 1, 5, 20, 100, 500, 2000, 11000}).Draw(t, "wait")) * time.Millisecond,
	}
}), 10, 60)

// TestPropertyPromisesUnderFaults checks the promises after random steps.
func TestPropertyPromisesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := steps.Draw(rt, "steps")
		var wrong []string
		synctest.Test(t, func(t *testing.T) { wrong = runPlan(t, plan) })
		if len(wrong) > 0 {
			rt.Fatalf("%s", strings.Join(wrong, "\n"))
		}
	})
}

// history is what callers and operators saw during a plan.
type history struct {
	mu        sync.Mutex
	wrong     []string
	bookings  map[string][]response // by key
	answers   []response
	accepted  map[string]lentilmux.Revision // commands by their text
	revisions map[string]lentilmux.Revision // highest seen at each VM
	open      sync.WaitGroup
}

func (h *history) fail(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wrong = append(h.wrong, fmt.Sprintf(format, args...))
}

// runPlan runs the steps on a cluster, ends all faults and returns what is
// wrong then.
func runPlan(t *testing.T, plan []step) (wrong []string) {
	c := newCluster(t, testVMs)
	defer c.stopAll()
	h := &history{bookings: make(map[string][]response), accepted: make(map[string]lentilmux.Revision), revisions: make(map[string]lentilmux.Revision)}
	// Each number has a key for bookings and lookups, and one for answers.
	keys := make([][2]string, 6)
	for i := range keys {
		keys[i] = [2]string{newKey(), newKey()}
	}
	for i, s := range plan {
		time.Sleep(s.Wait)
		play(c, h, s, i, keys[s.Key])
		watch(c, h)
	}
	mend(c)
	h.open.Wait()
	time.Sleep(20 * time.Second)
	checkBookings(c, h)
	checkAnswers(c, h)
	checkConfiguration(c, h)
	checkAlive(c, h)
	return h.wrong
}

// play does one step.
func play(c *cluster, h *history, s step, number int, keys [2]string) {
	m, other := c.vms[s.VM], c.vms[s.Other]
	switch s.What {
	case "book":
		h.open.Go(func() { book(c, h, m, keys[0]) })
	case "look":
		h.open.Go(func() { c.look(m, keys[0], 8*time.Second) })
	case "ask":
		h.open.Go(func() {
			if r := c.ask(m, keys[1], "same", 10, 8*time.Second); r.Outcome == "answered" && r.Text != expected("same", 10) {
				h.fail("an answer under a key was %+v", r)
			}
		})
	case "chat":
		h.open.Go(func() {
			r := c.chat(m, fmt.Sprint("question ", number), 20, 8*time.Second)
			h.mu.Lock()
			defer h.mu.Unlock()
			r.Reason += fmt.Sprint(" question ", number)
			h.answers = append(h.answers, r)
		})
	case "command":
		h.open.Go(func() { command(c, h, m, number) })
	case "kill":
		if aliveCount(c) > 1 {
			c.kill(m)
		}
	case "restart":
		if !m.alive() {
			<-m.life().done
			c.start(m)
		}
	case "pause":
		if m.alive() {
			m.life().gate.pause()
		}
	case "resume":
		m.life().gate.resume()
	case "cut":
		c.network.cut(m.addr, other.addr)
	case "cut_log":
		c.network.cutLog(m.addr, true)
	case "heal":
		c.network.heal()
	case "log_outage", "log_back":
		c.log.SetOutage(s.What == "log_outage")
	case "lose_replies":
		c.log.DropEveryNthReply(2)
	case "keep_replies":
		c.log.DropEveryNthReply(0)
	default:
		upstream(c, s)
	}
}

// upstream does a step that strikes an upstream.
func upstream(c *cluster, s step) {
	worker, desk := c.workers[s.Other%len(c.workers)], c.desks[s.Other%len(c.desks)]
	switch s.What {
	case "engine_kill":
		worker.Kill()
	case "engine_revive":
		worker.Revive()
	case "engine_freeze":
		worker.Freeze()
	case "engine_thaw":
		worker.Thaw()
	case "engine_silence":
		worker.BlackholeStreams()
	case "desk_kill":
		desk.Kill()
	case "desk_revive":
		desk.Revive()
	case "desk_freeze":
		desk.Freeze()
	case "desk_thaw":
		desk.Thaw()
	}
}

func aliveCount(c *cluster) (count int) {
	for _, m := range c.vms {
		if m.alive() {
			count++
		}
	}
	return count
}

// book sends a booking under a key that others use too. A resend that is told
// "not run" must be told so before any run of the key.
func book(c *cluster, h *history, m *member, key string) {
	r := c.book(m, key, "slot", false, 8*time.Second)
	runs := c.runsOf(key)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bookings[key] = append(h.bookings[key], r)
	if r.Outcome == "not_run" && runs > 0 {
		h.wrong = append(h.wrong, fmt.Sprintf("key %s was refused as not run (%s) and ran %d times", key, r.Reason, runs))
	}
}

// command creates a workspace with a name of its own.
func command(c *cluster, h *history, m *member, number int) {
	if !m.alive() {
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

// watch checks that no VM's configuration goes back.
func watch(c *cluster, h *history) {
	for _, m := range c.vms {
		if !m.alive() || m.life().gate.paused() {
			continue
		}
		status, ok := m.ask(lentilmux.StatusMsg{}).(lentilmux.StatusAnswer)
		if !ok {
			continue
		}
		if status.Reason == "" && status.Revision < h.revisions[m.name] {
			h.fail("%s went back from revision %d to %d", m.name, h.revisions[m.name], status.Revision)
		}
		h.revisions[m.name] = max(h.revisions[m.name], status.Revision)
	}
}

// mend ends all faults.
func mend(c *cluster) {
	c.network.heal()
	c.log.SetOutage(false)
	c.log.DropEveryNthReply(0)
	for _, worker := range c.workers {
		worker.Thaw()
		worker.Revive()
	}
	for _, desk := range c.desks {
		desk.Thaw()
		desk.Revive()
	}
	for _, m := range c.vms {
		m.life().gate.resume()
		if !m.alive() {
			<-m.life().done
			c.start(m)
		}
	}
}

// checkBookings checks at most once, true refusals and equal replies.
func checkBookings(c *cluster, h *history) {
	for key, responses := range h.bookings {
		runs := c.runsOf(key)
		if runs > 1 {
			h.fail("key %s ran %d times", key, runs)
		}
		body, refused := "", 0
		for _, r := range responses {
			switch r.Outcome {
			case "answered":
				if body != "" && r.Body != body {
					h.fail("key %s got two replies: %s and %s", key, body, r.Body)
				}
				body = r.Body
			case "not_run":
				refused++
			}
		}
		if body != "" && runs != 1 {
			h.fail("key %s was answered and ran %d times", key, runs)
		}
		if refused == len(responses) && runs > 0 {
			h.fail("key %s was only ever refused as not run and ran %d times", key, runs)
		}
	}
}

// checkAnswers checks that each answer is right and that its layers ran once.
func checkAnswers(c *cluster, h *history) {
	for _, r := range h.answers {
		if r.Outcome != "answered" {
			continue
		}
		question := r.Reason[strings.Index(r.Reason, "question"):]
		if r.Text != expected(question, 20) {
			h.fail("request %s got the wrong answer %q", r.Request, r.Text)
		}
		if wrong := checkLayers(c, r.Request, 20); wrong != "" {
			h.fail("%s", wrong)
		}
	}
}

// inForceWithin is the time in which an accepted command must be in force on
// every VM.
const inForceWithin = 5 * time.Second

// checkConfiguration checks that all VMs get to the same configuration in the
// time in which a command must be in force, since the system itself may just
// have placed a pipeline anew, and that it has every accepted command.
func checkConfiguration(c *cluster, h *history) {
	differ := differences(c)
	for end := time.Now().Add(inForceWithin); differ != "" && time.Now().Before(end); differ = differences(c) {
		time.Sleep(100 * time.Millisecond)
	}
	if differ != "" {
		h.fail("%s", differ)
	}
	for _, m := range c.vms {
		workspaces := c.snapshot(m).Workspaces
		for name := range h.accepted {
			known := slices.ContainsFunc(workspaces, func(w lentilmux.WorkspaceSpec) bool { return w.Name == name })
			if !known {
				h.fail("%s lacks the accepted workspace %s", m.name, name)
			}
		}
	}
}

// differences tells which VM has another configuration in force than the first.
func differences(c *cluster) string {
	first := c.snapshot(c.vms[0])
	for _, m := range c.vms[1:] {
		s := c.snapshot(m)
		if s.Revision != first.Revision || len(s.Workspaces) != len(first.Workspaces) {
			return fmt.Sprintf("%s is at revision %d with %d workspaces, %s at %d with %d", m.name, s.Revision, len(s.Workspaces), c.vms[0].name, first.Revision, len(first.Workspaces))
		}
	}
	return ""
}

// checkAlive checks that every VM serves again after the faults.
func checkAlive(c *cluster, h *history) {
	for _, m := range c.vms {
		if r := c.chat(m, "after", 5, 10*time.Second); r.Text != expected("after", 5) {
			h.fail("%s does not serve after the faults: %+v", m.name, r)
		}
		if r := c.book(m, newKey(), "after", true, 10*time.Second); r.Outcome != "answered" {
			h.fail("%s does not book after the faults: %+v", m.name, r)
		}
	}
}
