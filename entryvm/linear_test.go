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

// recorder gathers the operations of a history in the order of their calls and
// returns, which the bubble's clock alone does not give.
type recorder struct {
	mu         sync.Mutex
	clock      atomic.Int64
	operations []porcupine.Operation
	open       sync.WaitGroup
}

// do runs one operation and records it. One whose outcome is unknown may take
// effect at any later time.
func (r *recorder) do(client int, input any, run func() (output any, known bool)) {
	call := r.clock.Add(1)
	output, known := run()
	returned := r.clock.Add(1)
	if !known {
		returned = 1 << 60
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: returned})
}

// change is an operator's command that is conditional on a revision.
type change struct {
	id         string
	ifRevision lentilmux.Revision
}

// commandModel is a register of an entity's revision: a command is accepted
// just when the entity is at the revision that it names.
var commandModel = porcupine.Model{
	Init: func() any { return lentilmux.Revision(0) },
	Step: func(state, input, output any) (bool, any) {
		revision, in, out := state.(lentilmux.Revision), input.(change), output.(lentilmux.CommandAnswer)
		if out.Accepted {
			return revision == 0 || revision == in.ifRevision, out.Revision
		}
		return revision != in.ifRevision, revision
	},
}

// TestCommandsAreLinearizable lets operators race for one workspace through all
// VMs while the log loses replies and fails and a VM is paused.
func TestCommandsAreLinearizable(t *testing.T) {
	for _, fault := range []string{"none", "lost_replies", "outage", "pause", "kill"} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, testVMs)
				defer c.stopAll()
				r := &recorder{}
				for client := range 4 {
					r.open.Go(func() { raceCommands(c, r, client) })
				}
				disturb(c, fault)
				r.open.Wait()
				time.Sleep(10 * time.Second)
				resolve(c, r)
				if !porcupine.CheckOperations(commandModel, r.operations) {
					t.Errorf("the commands are not linearizable: %+v", r.operations)
				}
			})
		})
	}
}

// raceCommands changes the workspace again and again, each time from what some
// VM has in force.
func raceCommands(c *cluster, r *recorder, client int) {
	for i := range 8 {
		m := c.vms[(client+i)%len(c.vms)]
		workspaces := c.snapshot(m).Workspaces
		if len(workspaces) == 0 {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		in := change{id: uuid.NewString(), ifRevision: workspaces[0].Revision}
		r.do(client, in, func() (any, bool) {
			text := fmt.Sprintf("change workspace counter priority %d if revision %d", 10*client+i, in.ifRevision)
			answer := c.execute(m, text, in.id)
			return answer, answer.OutcomeKnown
		})
		time.Sleep(time.Duration(7*client+3) * time.Millisecond)
	}
}

// disturb makes a fault while clients race, and ends it.
func disturb(c *cluster, fault string) {
	time.Sleep(20 * time.Millisecond)
	switch fault {
	case "lost_replies":
		c.log.DropEveryNthReply(2)
	case "outage":
		c.log.SetOutage(true)
		time.Sleep(3 * time.Second)
		c.log.SetOutage(false)
	case "pause":
		c.vms[1].life().gate.pause()
		time.Sleep(8 * time.Second)
		c.vms[1].life().gate.resume()
	case "kill":
		c.kill(c.vms[1])
		time.Sleep(time.Second)
		<-c.vms[1].life().done
		c.start(c.vms[1])
	}
}

// resolve looks up in the history what became of commands whose outcome was not
// known, and drops those that never reached the log.
func resolve(c *cluster, r *recorder) {
	rows, _ := c.vms[0].ask(lentilmux.QueryMsg{Query: lentilmux.Query{Table: "revisions"}}).(lentilmux.QueryAnswer)
	r.operations = slices.DeleteFunc(r.operations, func(o porcupine.Operation) bool {
		return !o.Output.(lentilmux.CommandAnswer).OutcomeKnown && !slices.ContainsFunc(rows.Rows, func(row []string) bool { return row[6] == o.Input.(change).id })
	})
	for i, o := range r.operations {
		answer := o.Output.(lentilmux.CommandAnswer)
		if answer.OutcomeKnown {
			continue
		}
		for _, row := range rows.Rows {
			if row[6] == o.Input.(change).id {
				answer.Accepted = row[3] == "accepted"
				if _, err := fmt.Sscan(row[0], &answer.Revision); err != nil {
					c.t.Fatal(err)
				}
			}
		}
		r.operations[i].Output = answer
	}
}

// callState is what the model of a key knows: whether the booking ran, and its
// reply once a caller saw it.
type callState struct {
	ran  bool
	body string
}

// callModel is a booking that runs at most once: all answers are one reply, and
// "not run" is only said before it ran.
var callModel = porcupine.NondeterministicModel{
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
	Init: func() []any { return []any{callState{}} },
	Step: func(state, _, output any) []any {
		s, out := state.(callState), output.(response)
		switch {
		case out.Outcome == "answered" && !s.ran:
			return []any{callState{ran: true, body: out.Body}}
		case out.Outcome == "answered" && (s.body == "" || s.body == out.Body):
			return []any{callState{ran: true, body: out.Body}}
		case out.Outcome == "answered":
			return nil
		case out.Outcome == "not_run" && s.ran:
			return nil
		case out.Outcome == "not_run" || s.ran:
			return []any{s}
		default:
			return []any{s, callState{ran: true}}
		}
	},
}

// TestBookingsAreLinearizable lets callers send the same keys through all VMs
// while something fails.
func TestBookingsAreLinearizable(t *testing.T) {
	model := callModel.ToModel()
	for _, fault := range []string{"none", "lost_replies", "outage", "pause", "kill"} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, testVMs)
				defer c.stopAll()
				r := &recorder{}
				keys := []string{newKey(), newKey(), newKey()}
				for client := range 5 {
					r.open.Go(func() {
						for i := range 6 {
							key := keys[(client+i)%len(keys)]
							r.do(client, key, func() (any, bool) {
								got := c.book(c.vms[(client+2*i)%len(c.vms)], key, "slot", false, 4*time.Second)
								return got, got.Outcome != "" && got.Outcome != "unknown"
							})
							time.Sleep(time.Duration(11*client+5) * time.Millisecond)
						}
					})
				}
				disturb(c, fault)
				r.open.Wait()
				if !porcupine.CheckOperations(model, r.operations) {
					t.Errorf("the bookings are not linearizable: %+v", r.operations)
				}
				for _, key := range keys {
					if n := c.runsOf(key); n > 1 {
						t.Errorf("key %s ran %d times", key, n)
					}
				}
			})
		})
	}
}
