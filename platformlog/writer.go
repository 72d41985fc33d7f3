package platformlog

import (
	"context"

	"lentilmux.example/lentilmux"
)

const (
	// queueMost is how many records wait to be appended to one stream. More
	// are dropped; the node appends again what it does not read back.
	queueMost = 4096
	// batchMost is how many records one append carries.
	batchMost = 256
)

// Writer appends records to the log. While one append is under way, the records
// that come next gather and make up the next one, so that the number of appends
// a second stays bounded by the log's speed and not by the number of records.
type Writer struct {
	log    lentilmux.Log
	node   lentilmux.NodeClient
	config chan []byte
	calls  chan []byte
}

// NewWriter returns a writer that tells node of failed appends.
func NewWriter(log lentilmux.Log, node lentilmux.NodeClient) *Writer {
	return &Writer{
		log: log, node: node,
		config: make(chan []byte, queueMost),
		calls:  make(chan []byte, queueMost),
	}
}

// EnqueueConfig queues a configuration record without blocking.
func (w *Writer) EnqueueConfig(record lentilmux.ConfigRecord) (err error) {
	data, err := EncodeConfig(record)
	if err != nil {
		return err
	}
	put(w.config, data)
	return nil
}

// EnqueueCall queues a call record without blocking.
func (w *Writer) EnqueueCall(record lentilmux.CallRecord) (err error) {
	data, err := EncodeCall(record)
	if err != nil {
		return err
	}
	put(w.calls, data)
	return nil
}

// put queues data unless the queue is full.
func put(queue chan<- []byte, data []byte) {
	select {
	case queue <- data:
	default:
	}
}

// Run appends to both streams until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.write(ctx, lentilmux.StreamConfig, w.config)
	}()
	w.write(ctx, lentilmux.StreamCalls, w.calls)
	<-done
}

// write appends what the queue holds, batch by batch. A failed batch is not
// repeated here: the node knows which records it has not read back.
func (w *Writer) write(ctx context.Context, stream lentilmux.Stream, queue <-chan []byte) {
	for {
		var batch [][]byte
		select {
		case <-ctx.Done():
			return
		case data := <-queue:
			batch = gather(append(batch, data), queue)
		}
		if err := w.log.Append(ctx, stream, batch); err != nil {
			if w.node.Send(ctx, lentilmux.LogFailedMsg{Stream: stream, Err: err}) != nil {
				return
			}
			sleep(ctx, retryWait)
		}
	}
}

// gather adds what waits in the queue to the batch.
func gather(batch [][]byte, queue <-chan []byte) [][]byte {
	for len(batch) < batchMost {
		select {
		case data := <-queue:
			batch = append(batch, data)
		default:
			return batch
		}
	}
	return batch
}
