package standin

import (
	"context"
	"sync"
	"time"

	"lentilmux.example/lentilmux"
)

// VMList is a stand-in of the platform's list of VMs. It shows changes after a
// lag.
type VMList struct {
	lag time.Duration

	mu       sync.Mutex
	versions []listVersion
}

type listVersion struct {
	at  time.Time
	vms []lentilmux.ListedVM
}

// NewVMList returns an empty list with a lag.
func NewVMList(lag time.Duration) *VMList { return &VMList{lag: lag} }

// Set replaces the list.
func (l *VMList) Set(vms []lentilmux.ListedVM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, listVersion{at: time.Now(), vms: append([]lentilmux.ListedVM(nil), vms...)})
}

// Latest returns the list without its lag.
func (l *VMList) Latest() []lentilmux.ListedVM {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.versions) == 0 {
		return nil
	}
	return append([]lentilmux.ListedVM(nil), l.versions[len(l.versions)-1].vms...)
}

// List implements [lentilmux.VMList].
func (l *VMList) List(context.Context) (vms []lentilmux.ListedVM, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.versions) - 1; i >= 0; i-- {
		if i == 0 || time.Since(l.versions[i].at) >= l.lag {
			return l.versions[i].vms, nil
		}
	}
	return nil, nil
}

// WeightStore is a stand-in of the rate-limited store of weights.
type WeightStore struct {
	perLayer time.Duration

	mu   sync.Mutex
	free time.Time
}

// NewWeightStore returns a store that takes perLayer for each layer that
// anyone fetches, one after the other.
func NewWeightStore(perLayer time.Duration) *WeightStore {
	return &WeightStore{perLayer: perLayer}
}

// ScheduleFetch books layers and returns when they will be there.
func (w *WeightStore) ScheduleFetch(layers int) (ready time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); w.free.Before(now) {
		w.free = now
	}
	w.free = w.free.Add(time.Duration(layers) * w.perLayer)
	return w.free
}
