// Package platformlog reads and writes the platform's append-only log. [Client]
// implements [lentilmux.Log]; [Tailer] and [Writer] move records between the
// log and a node.
//
// For compacted streams, [Follower] sends their entries and changes to a node.
// [PeerFirstLog] reads them from another entry VM instead of the platform's
// store, and [CopyCache] keeps the copies that other VMs read.
//
// Records are JSON objects with keys in snake case and a version. A record of a
// newer version is reported with [ErrNewerVersion] rather than decoded in part.
//
// # Usage
//
//	client := platformlog.NewClient(addr)
//	tailer := platformlog.NewTailer(client, node)
//	go tailer.Run(ctx)
//	writer := platformlog.NewWriter(client, node)
//	go writer.Run(ctx)
package platformlog

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/http1"
	"lentilmux.example/lentilmux/platformlog/platformlogpb"
	"lentilmux.example/lentilmux/platformlog/platformlogpb/platformlogpbconnect"
)

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = time.Second
	// callTimeout bounds a call, in addition to the wait that it asks for.
	callTimeout = 2 * time.Second
)

// Client implements [lentilmux.Log] over the Connect protocol.
type Client struct {
	stub platformlogpbconnect.LogServiceClient
}

// NewClient returns a client for the log at addr.
func NewClient(addr netip.AddrPort) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8}
	return &Client{stub: platformlogpbconnect.NewLogServiceClient(&http.Client{Transport: http1.NewTransport(transport)}, "http://"+addr.String())}
}

// Append implements [lentilmux.Log].
func (c *Client) Append(ctx context.Context, stream lentilmux.Stream, entries [][]byte) (err error) {
	defer errors.DeferredAnnotatef(&err, "appending %d entries to stream %s", len(entries), stream)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = c.stub.Append(ctx, connect.NewRequest(&platformlogpb.AppendRequest{Stream: string(stream), Entries: entries}))
	return err
}

// Read implements [lentilmux.Log].
func (c *Client) Read(ctx context.Context, stream lentilmux.Stream, from uint64, wait time.Duration) (page lentilmux.LogPage, err error) {
	defer errors.DeferredAnnotatef(&err, "reading stream %s from %d", stream, from)
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	response, err := c.stub.Read(ctx, connect.NewRequest(&platformlogpb.ReadRequest{
		Stream: string(stream), From: from, WaitMs: wait.Milliseconds(),
	}))
	if err != nil {
		return lentilmux.LogPage{}, err
	}
	page = lentilmux.LogPage{Timeline: lentilmux.Timeline(response.Msg.GetTimeline()), Start: response.Msg.GetStart(), End: response.Msg.GetEnd()}
	for _, entry := range response.Msg.GetEntries() {
		page.Entries = append(page.Entries, lentilmux.LogEntry{
			Offset: entry.GetOffset(), At: time.UnixMilli(entry.GetAtUnixMs()), Data: entry.GetData(),
		})
	}
	return page, nil
}
