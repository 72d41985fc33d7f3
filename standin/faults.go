package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// ErrUnknownFault reports a fault that cannot be made.
const ErrUnknownFault = errors.ConstError("unknown fault or target")

// FaultInjector lets a test or an operator of the stand-ins cause faults over HTTP:
//
//	POST /faults?target=worker-1&fault=kill
//	GET  /ledger?target=worker-1
type FaultInjector struct {
	Engines  map[string]*Engine
	Services map[string]*Service
	Hosts    map[string]*Host // of engines and services, by name
	Log      *Log
	VMList   *VMList
}

// ServeHTTP implements [http.Handler].
func (c *FaultInjector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
func (c *FaultInjector) ledger(w http.ResponseWriter, target string) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	switch {
	case c.Engines[target] != nil:
		_ = encoder.Encode(c.Engines[target].Ledger()) // the asker has gone if this fails
	case c.Services[target] != nil:
		_ = encoder.Encode(c.Services[target].Ledger())
	default:
		http.Error(w, ErrUnknownFault.Error(), http.StatusNotFound)
	}
}

// fault causes a fault at a target.
func (c *FaultInjector) fault(target, fault, value string) (err error) {
	defer errors.DeferredAnnotatef(&err, "fault %q at %q", fault, target)
	switch {
	case target == "log":
		return c.logFault(fault, value)
	case fault == "list_leaving", fault == "list_live":
		return c.listFault(target, fault == "list_leaving")
	case fault == "silence" && c.Hosts[target] != nil:
		c.Hosts[target].BlackholeConns()
		return nil
	case c.Engines[target] != nil:
		return engineFault(c.Engines[target], fault, value)
	case c.Services[target] != nil:
		return serviceFault(c.Services[target], fault)
	default:
		return ErrUnknownFault
	}
}

func (c *FaultInjector) logFault(fault, value string) (err error) {
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
		c.Log.DropEveryNthReply(n)
	case "delay":
		delay, err := time.ParseDuration(value)
		if err != nil {
			return err
		}
		c.Log.SetDelay(delay)
	default:
		return ErrUnknownFault
	}
	return nil
}

// listFault marks a VM in the list as leaving or live.
func (c *FaultInjector) listFault(target string, leaving bool) (err error) {
	vms := c.VMList.Latest()
	for i := range vms {
		if vms[i].Name == target {
			vms[i].Leaving = leaving
			c.VMList.Set(vms)
			return nil
		}
	}
	return ErrUnknownFault
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
		engine.SetLeaving(true)
	case "stay":
		engine.SetLeaving(false)
	case "link":
		delay, err := time.ParseDuration(value)
		if err != nil {
			return err
		}
		engine.SetLinkDelay(delay)
	default:
		return ErrUnknownFault
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
		return ErrUnknownFault
	}
	return nil
}
