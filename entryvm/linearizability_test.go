package entryvm_test

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"

	"lentilmux.example/lentilmux"
)

// recorder collects the operations of a history for porcupine. A counter orders
// their calls and returns, since the bubble's clock gives many of them the same
// time.
type recorder struct {
	mu         sync.Mutex
	sequence   atomic.Int64
	operations []porcupine.Operation
	clients    sync.WaitGroup
}

// do runs and records one operation. An operation whose outcome is unknown may
// take effect at any later time, so its return is set to the end of the history.
func (r *recorder) do(client int, input any, run func() (output any, known bool)) {
	call := r.sequence.Add(1)
	output, known := run()
	returned := r.sequence.Add(1)
	if !known {
		returned = 1 << 60
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: returned})
}

// conditionalCommand is an operator's command that applies only if the entity is
// at a given revision.
type conditionalCommand struct {
	id         string
	ifRevision lentilmux.Revision
}

// commandModel is a register that holds an entity's revision: a command is
// accepted if and only if the entity is at the command's revision.
var commandModel = porcupine.Model{
	Init: func() any { return lentilmux.Revision(0) },
	Step: func(state, input, output any) (bool, any) {
		revision, in, out := state.(lentilmux.Revision), input.(conditionalCommand), output.(lentilmux.CommandAnswer)
		if out.Accepted {
			return revision == 0 || revision == in.ifRevision, out.Revision
		}
		return revision != in.ifRevision, revision
	},
}

// TestCommandsAreLinearizable guards against two conditional commands that are
// both accepted for the same revision, and against one that is rejected although
// its revision is current. Operators change one workspace concurrently through
// all VMs while the log drops replies or fails, or a VM is paused or killed.
func TestCommandsAreLinearizable(t *testing.T) {
	for _, fault := range []string{"none", "lost_replies", "outage", "restore", "pause", "kill"} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, testVMs)
				defer c.stopAll()
				r := &recorder{}
				for client := range 4 {
					r.clients.Go(func() { runConflictingCommands(c, r, client) })
				}
				injectFault(c, fault)
				r.clients.Wait()
				time.Sleep(10 * time.Second)
				resolveUnknownOutcomes(c, r)
				if !porcupine.CheckOperations(commandModel, r.operations) {
					t.Errorf("the commands are not linearizable: %+v", r.operations)
				}
			})
		})
	}
}

// runConflictingCommands changes the workspace repeatedly, each time on the
// condition of the revision that one of the VMs has applied.
func runConflictingCommands(c *cluster, r *recorder, client int) {
	for i := range 8 {
		m := c.vms[(client+i)%len(c.vms)]
		workspaces := c.snapshot(m).Workspaces
		if len(workspaces) == 0 {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		in := conditionalCommand{id: uuid.NewString(), ifRevision: workspaces[0].Revision}
		r.do(client, in, func() (any, bool) {
			text := fmt.Sprintf("change workspace counter priority %d if revision %d", 10*client+i, in.ifRevision)
			answer := c.execute(m, text, in.id)
			return answer, answer.OutcomeKnown
		})
		time.Sleep(time.Duration(7*client+3) * time.Millisecond)
	}
}

// injectFault causes a fault while clients are running and ends it. The fault
// lost_replies stays.
func injectFault(c *cluster, fault string) {
	time.Sleep(20 * time.Millisecond)
	switch fault {
	case "lost_replies":
		c.log.DropEveryNthReply(2)
	case "restore":
		// The last VM misses the lost records.
		last := c.vms[len(c.vms)-1].addr
		c.network.cutLog(last, true)
		time.Sleep(100 * time.Millisecond)
		c.restoreLogAndGrow(110 * time.Millisecond)
		c.network.cutLog(last, false)
	case "outage":
		c.log.SetOutage(true)
		time.Sleep(3 * time.Second)
		c.log.SetOutage(false)
	case "pause":
		c.vms[1].incarnation().gate.pause()
		time.Sleep(8 * time.Second)
		c.vms[1].incarnation().gate.resume()
	case "kill":
		c.kill(c.vms[1])
		time.Sleep(time.Second)
		<-c.vms[1].incarnation().done
		c.start(c.vms[1])
	}
}

// resolveUnknownOutcomes replaces the outputs of commands with an unknown outcome
// by the outcome in the table revisions, and removes commands that never reached
// the log. The table's columns 0, 3 and 6 are revision, verdict and command ID.
func resolveUnknownOutcomes(c *cluster, r *recorder) {
	rows, _ := c.vms[0].ask(lentilmux.QueryMsg{Query: lentilmux.Query{Table: "revisions"}}).(lentilmux.QueryAnswer)
	r.operations = slices.DeleteFunc(r.operations, func(o porcupine.Operation) bool {
		return !o.Output.(lentilmux.CommandAnswer).OutcomeKnown && !slices.ContainsFunc(rows.Rows, func(row []string) bool { return row[6] == o.Input.(conditionalCommand).id })
	})
	for i, o := range r.operations {
		answer := o.Output.(lentilmux.CommandAnswer)
		if answer.OutcomeKnown {
			continue
		}
		for _, row := range rows.Rows {
			if row[6] == o.Input.(conditionalCommand).id {
				answer.Accepted = row[3] == "accepted"
				if _, err := fmt.Sscan(row[0], &answer.Revision); err != nil {
					c.t.Fatal(err)
				}
			}
		}
		r.operations[i].Output = answer
	}
}

// bookingState is the state of a key in bookingModel: whether the booking ran, and
// the reply if a caller received it.
type bookingState struct {
	ran  bool
	body string
}

// bookingModel models a booking that runs at most once: all callers receive the
// same reply, and "not run" is returned only before the booking ran.
var bookingModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) (parts [][]porcupine.Operation) {
		byKey := make(map[string][]porcupine.Operation)
		var keys []string
		for _, o := range history {
			key := o.Input.(string)
			if byKey[key] == nil {
				keys = append(keys, key)
			}
			byKey[key] = append(byKey[key], o)
		}
		for _, key := range keys {
			parts = append(parts, byKey[key])
		}
		return parts
	},
	Init: func() []any { return []any{bookingState{}} },
	Step: func(state, _, output any) []any {
		s, out := state.(bookingState), output.(response)
		switch {
		case out.Outcome == "answered" && !s.ran:
			return []any{bookingState{ran: true, body: out.Body}}
		case out.Outcome == "answered" && (s.body == "" || s.body == out.Body):
			return []any{bookingState{ran: true, body: out.Body}}
		case out.Outcome == "answered":
			return nil
		case out.Outcome == "not_run" && s.ran:
			return nil
		case out.Outcome == "not_run" || s.ran:
			return []any{s}
		default:
			return []any{s, bookingState{ran: true}}
		}
	},
}

// TestBookingsAreLinearizable guards against bookings that run twice, differ in
// their replies or are reported as not run after they ran. Callers send the same
// idempotency keys through all VMs while the log or a VM fails.
func TestBookingsAreLinearizable(t *testing.T) {
	model := bookingModel.ToModel()
	for _, fault := range []string{"none", "lost_replies", "outage", "restore", "pause", "kill"} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, testVMs)
				defer c.stopAll()
				r := &recorder{}
				keys := []string{newIdempotencyKey(), newIdempotencyKey(), newIdempotencyKey()}
				for client := range 5 {
					r.clients.Go(func() {
						for i := range 6 {
							key := keys[(client+i)%len(keys)]
							r.do(client, key, func() (any, bool) {
								got := c.sendBooking(c.vms[(client+2*i)%len(c.vms)], key, "slot", false, 4*time.Second)
								return got, got.Outcome != "" && got.Outcome != "unknown"
							})
							time.Sleep(time.Duration(11*client+5) * time.Millisecond)
						}
					})
				}
				injectFault(c, fault)
				r.clients.Wait()
				if !porcupine.CheckOperations(model, r.operations) {
					t.Errorf("the bookings are not linearizable: %+v", r.operations)
				}
				for _, key := range keys {
					if n := c.bookingRuns(key); n > 1 {
						t.Errorf("key %s ran %d times", key, n)
					}
				}
			})
		})
	}
}
