package platformlog

import (
	"context"

	"lentilmux.example/lentilmux"
)

const (
	// maxQueuedRecords bounds the records that wait to be appended to one stream.
	// Further ones are dropped; the node enqueues records again that it does not
	// read back from the log.
	maxQueuedRecords = 4096
	// maxBatchRecords bounds the records of one append.
	maxBatchRecords = 256
)

// Writer appends records to the log. Records that arrive while an append is in
// flight form the next batch. The number of appends per second is therefore
// bounded by the latency of the log rather than by the number of records.
type Writer struct {
	log    lentilmux.Log
	node   lentilmux.NodeClient
	config chan []byte
	calls  chan []byte
}

// NewWriter returns a writer that reports failed appends to node.
func NewWriter(log lentilmux.Log, node lentilmux.NodeClient) *Writer {
	return &Writer{
		log: log, node: node,
		config: make(chan []byte, maxQueuedRecords),
		calls:  make(chan []byte, maxQueuedRecords),
	}
}

// EnqueueConfig queues a configuration record without blocking. It drops the
// record if the queue is full, and returns an error only if the record cannot
// be encoded.
func (w *Writer) EnqueueConfig(record lentilmux.ConfigRecord) (err error) {
	data, err := EncodeConfig(record)
	if err != nil {
		return err
	}
	enqueue(w.config, data)
	return nil
}

// EnqueueCall queues a call record without blocking. It drops the record if the
// queue is full, and returns an error only if the record cannot be encoded.
func (w *Writer) EnqueueCall(record lentilmux.CallRecord) (err error) {
	data, err := EncodeCall(record)
	if err != nil {
		return err
	}
	enqueue(w.calls, data)
	return nil
}

// enqueue adds data to the queue, or drops it if the queue is full.
func enqueue(queue chan<- []byte, data []byte) {
	select {
	case queue <- data:
	default:
	}
}

// Run appends the queued records of both streams until ctx ends or the node
// stops.
func (w *Writer) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.write(ctx, lentilmux.StreamConfig, w.config)
	}()
	w.write(ctx, lentilmux.StreamCalls, w.calls)
	<-done
}

// write appends the records of the queue, batch by batch. A failed batch is not
// retried here, since the node enqueues records again that it does not read
// back.
func (w *Writer) write(ctx context.Context, stream lentilmux.Stream, queue <-chan []byte) {
	for {
		var batch [][]byte
		select {
		case <-ctx.Done():
			return
		case data := <-queue:
			batch = fillBatch(append(batch, data), queue)
		}
		if err := w.log.Append(ctx, stream, batch); err != nil {
			if w.node.Send(ctx, lentilmux.LogFailedMsg{Stream: stream, Err: err}) != nil {
				return
			}
			sleep(ctx, retryDelay)
		}
	}
}

// fillBatch adds queued records to the batch until the queue is empty or the
// batch full.
func fillBatch(batch [][]byte, queue <-chan []byte) [][]byte {
	for len(batch) < maxBatchRecords {
		select {
		case data := <-queue:
			batch = append(batch, data)
		default:
			return batch
		}
	}
	return batch
}
