package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// ErrFault reports a fault that cannot be made.
const ErrFault = errors.ConstError("unknown fault or target")

// Control lets a test or an operator of the stand-ins cause faults over HTTP:
//
//	POST /faults?target=worker-1&fault=kill
//	GET  /ledger?target=worker-1
type Control struct {
	Engines  map[string]*Engine
	Services map[string]*Service
	Hosts    map[string]*Host // of engines and services, by name
	Log      *Log
	List     *VMList
}

// ServeHTTP implements [http.Handler].
func (c *Control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	target := r.FormValue("target")
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/faults":
		if err := c.fault(target, r.FormValue("fault"), r.FormValue("value")); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	case r.Method == http.MethodGet && r.URL.Path == "/ledger":
		c.ledger(w, target)
	default:
		http.NotFound(w, r)
	}
}

// ledger writes what a target ran.
func (c *Control) ledger(w http.ResponseWriter, target string) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	switch {
	case c.Engines[target] != nil:
		_ = encoder.Encode(c.Engines[target].Ledger()) // the asker has gone if this fails
	case c.Services[target] != nil:
		_ = encoder.Encode(c.Services[target].Ledger())
	default:
		http.Error(w, ErrFault.Error(), http.StatusNotFound)
	}
}

// fault causes a fault at a target.
func (c *Control) fault(target, fault, value string) (err error) {
	defer errors.DeferredAnnotatef(&err, "fault %q at %q", fault, target)
	switch {
	case target == "log":
		return c.logFault(fault, value)
	case fault == "list_leaving", fault == "list_live":
		return c.listFault(target, fault == "list_leaving")
	case fault == "silence" && c.Hosts[target] != nil:
		c.Hosts[target].Silence()
		return nil
	case c.Engines[target] != nil:
		return engineFault(c.Engines[target], fault, value)
	case c.Services[target] != nil:
		return serviceFault(c.Services[target], fault)
	default:
		return ErrFault
	}
}

func (c *Control) logFault(fault, value string) (err error) {
	switch fault {
	case "outage":
		c.Log.SetOutage(true)
	case "restore":
		c.Log.SetOutage(false)
	case "lose_replies":
		n, err := strconv.Atoi(value)
		if err != nil {
			return err
		}
		c.Log.LoseReplies(n)
	case "delay":
		delay, err := time.ParseDuration(value)
		if err != nil {
			return err
		}
		c.Log.SetDelay(delay)
	default:
		return ErrFault
	}
	return nil
}

// listFault marks a VM in the list as leaving or live.
func (c *Control) listFault(target string, leaving bool) (err error) {
	vms := c.List.Latest()
	for i := range vms {
		if vms[i].Name == target {
			vms[i].Leaving = leaving
			c.List.Set(vms)
			return nil
		}
	}
	return ErrFault
}

func engineFault(engine *Engine, fault, value string) (err error) {
	switch fault {
	case "kill":
		engine.Kill()
	case "revive":
		engine.Revive()
	case "freeze":
		engine.Freeze()
	case "thaw":
		engine.Thaw()
	case "leave":
		engine.Leave(true)
	case "stay":
		engine.Leave(false)
	case "link":
		delay, err := time.ParseDuration(value)
		if err != nil {
			return err
		}
		engine.SetLink(delay)
	default:
		return ErrFault
	}
	return nil
}

func serviceFault(service *Service, fault string) (err error) {
	switch fault {
	case "kill":
		service.Kill()
	case "revive":
		service.Revive()
	case "freeze":
		service.Freeze()
	case "thaw":
		service.Thaw()
	default:
		return ErrFault
	}
	return nil
}
