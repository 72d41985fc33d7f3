package entryvm

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/fleet"
)

// panickingPlacement panics on each input.
type panickingPlacement struct{}

func (panickingPlacement) Place(*lentilmux.ModelProfile, int, []lentilmux.RangeNode) (ranges []lentilmux.LayerRange) {
	return make([]lentilmux.LayerRange, 1)[1:2]
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (count int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// TestPanickingEffectIsLogged guards against a process that ends because of one
// effect that panics on what the store or an upstream says.
func TestPanickingEffectIsLogged(t *testing.T) {
	output := &lockedBuffer{}
	logger := logrus.New()
	logger.SetOutput(output)
	g, err := NewGateway(GatewayConfig{Name: "entry-1", Limits: fleet.DefaultLimits(), Logger: logger, Clock: time.Now}, GatewayDependencies{Placement: panickingPlacement{}})
	if err != nil {
		t.Fatal(err)
	}
	g.ctx = t.Context()
	go g.decisionLog.run(t.Context())
	g.Do(lentilmux.PlanRangesEffect{Service: "llm"})
	for deadline := time.Now().Add(5 * time.Second); !strings.Contains(output.String(), "effect_panicked"); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no log line within 5 s: %s", output.String())
		}
	}
}
