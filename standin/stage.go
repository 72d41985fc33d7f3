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

// run is an open stream over an engine.
type run struct {
	engine  *Engine
	open    lentilmux.StageOpen
	life    <-chan struct{}
	silent  <-chan struct{}
	closed  chan struct{}
	once    sync.Once
	context uint64
	next    int
}

// Step implements [lentilmux.Stage].
func (r *run) Step(ctx context.Context, input lentilmux.StepInput) (output lentilmux.StepOutput, err error) {
	ready, link, err := r.engine.take(r, input)
	if err != nil {
		return lentilmux.StepOutput{}, err
	}
	if err := r.wait(ctx, time.Until(ready)+2*link); err != nil {
		return lentilmux.StepOutput{}, err
	}
	return r.compute(input), nil
}

// wait sleeps until the step is done. It fails when the engine dies, and hangs
// while it is frozen or the stream is silent.
func (r *run) wait(ctx context.Context, duration time.Duration) (err error) {
	timer := time.NewTimer(max(0, duration))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.life:
		return &lentilmux.UpstreamError{Kind: lentilmux.FailureCrash, Err: io.ErrUnexpectedEOF}
	case <-r.closed:
		return &lentilmux.UpstreamError{Kind: lentilmux.FailureTimeout, Err: ErrClosed}
	case <-ctx.Done():
		return &lentilmux.UpstreamError{Kind: lentilmux.FailureTimeout, Err: ctx.Err()}
	}
	select {
	case <-r.silent:
		<-ctx.Done()
		return &lentilmux.UpstreamError{Kind: lentilmux.FailureTimeout, Err: ctx.Err()}
	default:
	}
	err = r.engine.answering(ctx)
	var stepError *lentilmux.UpstreamError
	if errors.As(err, &stepError) && stepError.Kind == lentilmux.FailureDial {
		return &lentilmux.UpstreamError{Kind: lentilmux.FailureCrash, Err: io.ErrUnexpectedEOF}
	}
	return err
}

// compute runs the stage's layers.
func (r *run) compute(input lentilmux.StepInput) (output lentilmux.StepOutput) {
	layers := r.open.Layers
	var activation uint64
	if layers.First == 0 {
		if input.Position > len(r.open.Generated) {
			r.context = extend(r.context, input.Token)
		}
		activation = r.context
	} else {
		activation = binary.LittleEndian.Uint64(append(input.Activation, make([]byte, 8)...))
	}
	for l := layers.First; l <= layers.Last; l++ {
		activation = layer(activation, l)
	}
	output.Position = input.Position
	if layers.Last == r.open.TotalLayers-1 {
		output.Token = tokenOf(activation)
		output.End = input.Position+1 >= r.open.MaxTokens
		return output
	}
	output.Activation = binary.LittleEndian.AppendUint64(nil, activation)
	return output
}

// Close implements [lentilmux.Stage].
func (r *run) Close() (err error) {
	r.once.Do(func() {
		close(r.closed)
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		select {
		case <-r.life: // the count was reset when the engine died
		default:
			r.engine.running--
		}
	})
	return nil
}
