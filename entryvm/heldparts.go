package entryvm

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lentilmux.example/lentilmux"
)

const (
	// heldPartsPath lists the prompt parts that the VM holds, as JSON.
	heldPartsPath = "/held_parts"
	// releasePartPath releases the prompt part whose hexadecimal ID is given as
	// query parameter part, on all VMs.
	releasePartPath = "/held_parts/release"
	// releaseTimeout bounds the wait for the node's answer to a release.
	releaseTimeout = 2 * time.Second
)

// heldParts is the list of held prompt parts that the node published last. It is
// safe for concurrent use.
type heldParts struct {
	mu      sync.Mutex
	records []lentilmux.HeldPartRecord
}

// publish replaces the list.
func (h *heldParts) publish(records []lentilmux.HeldPartRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = records
}

// list returns the list. It must not be changed.
func (h *heldParts) list() []lentilmux.HeldPartRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.records
}

// count returns the number of held parts.
func (h *heldParts) count() int { return len(h.list()) }

// heldPartView is a held prompt part as operators see it.
type heldPartView struct {
	Part        string    `json:"part"`  // hexadecimal
	Round       int       `json:"round"` // crashes in a row
	LastCrashAt time.Time `json:"last_crash_at"`
}

// listHeldParts serves the held prompt parts.
func (g *Gateway) listHeldParts(w http.ResponseWriter, _ *http.Request) {
	views := make([]heldPartView, 0)
	for _, record := range g.heldParts.list() {
		views = append(views, heldPartView{Part: record.Part.String(), Round: record.Round, LastCrashAt: record.LastCrashAt})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(views) // fails only if the client has disconnected
}

// releaseHeldPart releases a prompt part. It answers 400 for a part that is not a
// hexadecimal number, 404 for one that is not suspected, and 503 if the node does
// not answer.
func (g *Gateway) releaseHeldPart(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.URL.Query().Get("part"), 16, 64)
	if err != nil {
		http.Error(w, "query parameter part must be a hexadecimal number of at most 16 digits", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), releaseTimeout)
	defer cancel()
	answer, err := g.node.Ask(ctx, lentilmux.ReleasePartMsg{Part: lentilmux.PromptPart(id), Who: r.RemoteAddr})
	released, ok := answer.(lentilmux.ReleasePartAnswer)
	switch {
	case err != nil || !ok:
		http.Error(w, "the VM did not answer in time", http.StatusServiceUnavailable)
	case !released.Found:
		http.Error(w, "no such part is suspected", http.StatusNotFound)
	}
}
