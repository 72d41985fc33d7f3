package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// ErrUnknownFault is returned for a fault that does not exist, or not for the
// given target.
const ErrUnknownFault = errors.ConstError("unknown fault or target")

// FaultInjector injects faults into stand-ins over HTTP, and serves the ledgers of
// engines and services as JSON:
//
//	POST /faults?target=worker-1&fault=kill
//	POST /faults?target=worker-1&fault=link&value=20ms
//	GET  /ledger?target=worker-1
//
// The target is the name of an engine, service or listed VM, or "log". These are
// the faults by kind of target, each followed in parentheses by the fault that
// ends it:
//
//   - engine or service: kill (revive), freeze (thaw), and silence, which
//     blackholes the open connections
//   - engine: leave (stay), and link, which sets the one-way delay to value
//   - listed VM: list_leaving (list_live)
//   - log: outage (restore), delay, which sets the time of an append to value,
//     lose_replies, which drops the reply of every n-th append; value is n,
//     or 0 to drop none, and restore_copy, which replaces the log by a copy
//     whose age is value
type FaultInjector struct {
	Engines  map[string]*Engine
	Services map[string]*Service
	Hosts    map[string]*Host // of engines and services, by name
	Log      *Log
	VMList   *VMList
}

// ServeHTTP implements [http.Handler].
func (f *FaultInjector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	target := r.FormValue("target")
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/faults":
		if err := f.inject(target, r.FormValue("fault"), r.FormValue("value")); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	case r.Method == http.MethodGet && r.URL.Path == "/ledger":
		f.writeLedger(w, target)
	default:
		http.NotFound(w, r)
	}
}

// writeLedger answers with the ledger of an engine or service as JSON.
func (f *FaultInjector) writeLedger(w http.ResponseWriter, target string) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	switch {
	case f.Engines[target] != nil:
		_ = encoder.Encode(f.Engines[target].Ledger()) // fails only if the client has disconnected
	case f.Services[target] != nil:
		_ = encoder.Encode(f.Services[target].Ledger())
	default:
		http.Error(w, ErrUnknownFault.Error(), http.StatusNotFound)
	}
}

// inject injects a fault into a target. Faults without a parameter ignore value.
func (f *FaultInjector) inject(target, fault, value string) (err error) {
	defer errors.DeferredAnnotatef(&err, "fault %q at %q", fault, target)
	switch {
	case target == "log":
		return f.injectLogFault(fault, value)
	case fault == "list_leaving", fault == "list_live":
		return f.injectListFault(target, fault == "list_leaving")
	case fault == "silence" && f.Hosts[target] != nil:
		f.Hosts[target].BlackholeConns()
		return nil
	case f.Engines[target] != nil:
		return injectEngineFault(f.Engines[target], fault, value)
	case f.Services[target] != nil:
		return injectServiceFault(f.Services[target], fault)
	default:
		return ErrUnknownFault
	}
}

// injectLogFault injects a fault into the log.
func (f *FaultInjector) injectLogFault(fault, value string) (err error) {
	switch fault {
	case "outage":
		f.Log.SetOutage(true)
	case "restore":
		f.Log.SetOutage(false)
	case "lose_replies":
		n, err := strconv.Atoi(value)
		if err != nil {
			return err
		}
		f.Log.DropEveryNthReply(n)
	case "restore_copy":
		age, err := time.ParseDuration(value)
		if err != nil {
			return err
		}
		f.Log.RestoreCopy(age)
	case "delay":
		delay, err := time.ParseDuration(value)
		if err != nil {
			return err
		}
		f.Log.SetDelay(delay)
	default:
		return ErrUnknownFault
	}
	return nil
}

// injectListFault marks a VM of the list as leaving or live.
func (f *FaultInjector) injectListFault(target string, leaving bool) (err error) {
	vms := f.VMList.Latest()
	for i := range vms {
		if vms[i].Name == target {
			vms[i].Leaving = leaving
			f.VMList.Set(vms)
			return nil
		}
	}
	return ErrUnknownFault
}

// injectEngineFault injects a fault into an engine.
func injectEngineFault(engine *Engine, fault, value string) (err error) {
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

// injectServiceFault injects a fault into a service.
func injectServiceFault(service *Service, fault string) (err error) {
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
