package standin

import (
	"context"
	"encoding/binary"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// engineStage is the open stream of one attempt on an engine. It implements
// [lentilmux.Stage].
type engineStage struct {
	engine       *Engine
	open         lentilmux.StageOpen
	died         <-chan struct{} // closed when the engine dies
	blackholed   <-chan struct{} // closed when the stream is blackholed
	closed       chan struct{}   // closed by Close
	closeOnce    sync.Once
	contextHash  uint64 // of the prompt and the tokens so far; first stage only
	nextPosition int    // the position that the next step must have
}

// Step implements [lentilmux.Stage]. It takes the engine's time for the step and
// one round trip on the link.
func (s *engineStage) Step(ctx context.Context, input lentilmux.StepInput) (output lentilmux.StepOutput, err error) {
	ready, linkDelay, err := s.engine.scheduleStep(s, input)
	if err != nil {
		return lentilmux.StepOutput{}, err
	}
	if err := s.waitForOutput(ctx, time.Until(ready)+2*linkDelay); err != nil {
		return lentilmux.StepOutput{}, err
	}
	return s.runLayers(input), nil
}

// waitForOutput sleeps until the step's output arrives. It fails with
// FailureCrash if the engine dies, and with FailureTimeout if the stage is
// closed or ctx ends. It blocks while the engine is frozen, and until ctx ends if
// the stream is blackholed.
func (s *engineStage) waitForOutput(ctx context.Context, duration time.Duration) (err error) {
	timer := time.NewTimer(max(0, duration))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.died:
		return &lentilmux.UpstreamError{Kind: lentilmux.FailureCrash, Err: io.ErrUnexpectedEOF}
	case <-s.closed:
		return &lentilmux.UpstreamError{Kind: lentilmux.FailureTimeout, Err: ErrClosed}
	case <-ctx.Done():
		return &lentilmux.UpstreamError{Kind: lentilmux.FailureTimeout, Err: ctx.Err()}
	}
	select {
	case <-s.blackholed:
		<-ctx.Done()
		return &lentilmux.UpstreamError{Kind: lentilmux.FailureTimeout, Err: ctx.Err()}
	default:
	}
	err = s.engine.waitUntilResponsive(ctx)
	var upstreamError *lentilmux.UpstreamError
	if errors.As(err, &upstreamError) && upstreamError.Kind == lentilmux.FailureDial {
		return &lentilmux.UpstreamError{Kind: lentilmux.FailureCrash, Err: io.ErrUnexpectedEOF}
	}
	return err
}

// runLayers computes the stage's output at one position. The first stage starts
// from the context hash, to which it adds the previous token, unless that token
// was already part of the open request; later stages start from the activation
// of the stage before. The last stage of the model gives a token.
func (s *engineStage) runLayers(input lentilmux.StepInput) (output lentilmux.StepOutput) {
	layers := s.open.Layers
	var activation uint64
	if layers.First == 0 {
		if input.Position > len(s.open.Generated) {
			s.contextHash = extendContext(s.contextHash, input.Token)
		}
		activation = s.contextHash
	} else {
		activation = binary.LittleEndian.Uint64(append(input.Activation, make([]byte, 8)...))
	}
	for l := layers.First; l <= layers.Last; l++ {
		activation = runLayer(activation, l)
	}
	output.Position = input.Position
	if layers.Last == s.open.TotalLayers-1 {
		output.Token = tokenFromActivation(activation)
		output.End = input.Position+1 >= s.open.MaxTokens
		return output
	}
	output.Activation = binary.LittleEndian.AppendUint64(nil, activation)
	return output
}

// Close implements [lentilmux.Stage]. It frees the engine's slot.
func (s *engineStage) Close() (err error) {
	s.closeOnce.Do(func() {
		close(s.closed)
		s.engine.mu.Lock()
		defer s.engine.mu.Unlock()
		select {
		case <-s.died: // the engine died, which reset running
		default:
			s.engine.running--
		}
	})
	return nil
}
