package peer

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/peer/peerpb"
	"lentilmux.example/lentilmux/peer/peerpb/peerpbconnect"
)

// keyHeader carries the key that peers share.
const keyHeader = "Lentilmux-Peer-Key"

// ErrInvalidPeerKey reports a call without the key that peers share.
const ErrInvalidPeerKey = errors.ConstError("wrong or missing peer key")

// Handler answers the calls of peers from a node.
type Handler struct {
	node lentilmux.NodeClient
}

// NewHandler returns the path and the HTTP handler that serve peers. It refuses
// calls that do not show key, unless key is empty.
func NewHandler(node lentilmux.NodeClient, key string) (path string, handler http.Handler) {
	return peerpbconnect.NewPeerServiceHandler(&Handler{node: node}, connect.WithInterceptors(checkKey(key)), connect.WithReadMaxBytes(1<<20))
}

// Exchange answers a peer's digest with the node's own.
func (h *Handler) Exchange(ctx context.Context, request *connect.Request[peerpb.Digest]) (response *connect.Response[peerpb.Digest], err error) {
	digest, err := fromWire(request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	answer, err := h.node.Ask(ctx, lentilmux.DigestMsg{Digest: digest})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	own, ok := answer.(lentilmux.DigestAnswer)
	if !ok {
		return nil, connect.NewError(connect.CodeInternal, errors.Errorf("unexpected answer %T", answer))
	}
	return connect.NewResponse(toWire(own.Digest)), nil
}

// Snapshot answers with the configuration in force.
func (h *Handler) Snapshot(ctx context.Context, _ *connect.Request[peerpb.SnapshotRequest]) (response *connect.Response[peerpb.SnapshotResponse], err error) {
	answer, err := h.node.Ask(ctx, lentilmux.SnapshotRequestMsg{})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	own, ok := answer.(lentilmux.SnapshotAnswer)
	if !ok {
		return nil, connect.NewError(connect.CodeInternal, errors.Errorf("unexpected answer %T", answer))
	}
	data, err := json.Marshal(own.Snapshot)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&peerpb.SnapshotResponse{Snapshot: data}), nil
}

// showKey adds the key to outgoing calls.
func showKey(key string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			if key != "" {
				request.Header().Set(keyHeader, key)
			}
			return next(ctx, request)
		}
	}
}

// checkKey refuses incoming calls without the key.
func checkKey(key string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			shown := request.Header().Get(keyHeader)
			if key != "" && subtle.ConstantTimeCompare([]byte(shown), []byte(key)) != 1 {
				return nil, connect.NewError(connect.CodeUnauthenticated, ErrInvalidPeerKey)
			}
			return next(ctx, request)
		}
	}
}
