package standin

import (
	"context"
	"sync"
	"time"

	"lentilmux.example/lentilmux"
)

// VMList simulates the platform's list of VMs. It implements [lentilmux.VMList];
// readers see each change only after a fixed lag.
type VMList struct {
	lag time.Duration

	mu       sync.Mutex
	versions []listVersion
}

// listVersion is the content of the list since one call of [VMList.Set].
type listVersion struct {
	setAt time.Time
	vms   []lentilmux.ListedVM
}

// NewVMList returns an empty list whose changes become visible after lag.
func NewVMList(lag time.Duration) *VMList { return &VMList{lag: lag} }

// Set replaces the content of the list. Readers see it after the lag; the first
// content is visible immediately.
func (l *VMList) Set(vms []lentilmux.ListedVM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, listVersion{setAt: time.Now(), vms: append([]lentilmux.ListedVM(nil), vms...)})
}

// Latest returns the content that was set last, regardless of the lag.
func (l *VMList) Latest() []lentilmux.ListedVM {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.versions) == 0 {
		return nil
	}
	return append([]lentilmux.ListedVM(nil), l.versions[len(l.versions)-1].vms...)
}

// List implements [lentilmux.VMList]. It returns the newest content that is at
// least as old as the lag, or the first content if none is.
func (l *VMList) List(context.Context) (vms []lentilmux.ListedVM, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.versions) - 1; i >= 0; i-- {
		if i == 0 || time.Since(l.versions[i].setAt) >= l.lag {
			return l.versions[i].vms, nil
		}
	}
	return nil, nil
}

// WeightStore simulates the store from which engines load model weights. Its rate
// is limited: all engines that use it share one queue.
type WeightStore struct {
	timePerLayer time.Duration

	mu        sync.Mutex
	busyUntil time.Time // when the last scheduled fetch completes
}

// NewWeightStore returns a store that serves one layer at a time and takes
// timePerLayer for each.
func NewWeightStore(timePerLayer time.Duration) *WeightStore {
	return &WeightStore{timePerLayer: timePerLayer}
}

// ScheduleFetch queues a fetch of a number of layers and returns the time at
// which it completes. It does not block.
func (w *WeightStore) ScheduleFetch(layers int) (ready time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); w.busyUntil.Before(now) {
		w.busyUntil = now
	}
	w.busyUntil = w.busyUntil.Add(time.Duration(layers) * w.timePerLayer)
	return w.busyUntil
}
