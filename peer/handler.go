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

// keyHeader is the HTTP header that carries the key shared by all peers.
const keyHeader = "Lentilmux-Peer-Key"

// ErrInvalidPeerKey reports a call with a wrong key or without a key.
const ErrInvalidPeerKey = errors.ConstError("wrong or missing peer key")

// Handler answers the calls of peers. It gets the answers from a node.
type Handler struct {
	node lentilmux.NodeClient
}

// NewHandler returns the path to register and the HTTP handler for the calls of
// peers. The handler rejects calls without the given key, unless key is empty.
func NewHandler(node lentilmux.NodeClient, key string) (path string, handler http.Handler) {
	return peerpbconnect.NewPeerServiceHandler(&Handler{node: node}, connect.WithInterceptors(checkKey(key)), connect.WithReadMaxBytes(1<<20))
}

// Exchange passes a peer's digest to the node and returns the node's own
// digest.
func (h *Handler) Exchange(ctx context.Context, request *connect.Request[peerpb.Digest]) (response *connect.Response[peerpb.Digest], err error) {
	digest, err := digestFromProto(request.Msg)
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
	return connect.NewResponse(digestToProto(own.Digest)), nil
}

// Snapshot returns the configuration in force at the node, as JSON.
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

// attachKey adds the key to outgoing calls, unless it is empty.
func attachKey(key string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			if key != "" {
				request.Header().Set(keyHeader, key)
			}
			return next(ctx, request)
		}
	}
}

// checkKey rejects incoming calls without the key, unless it is empty. It
// compares in constant time, so that response times do not reveal the key.
func checkKey(key string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			got := request.Header().Get(keyHeader)
			if key != "" && subtle.ConstantTimeCompare([]byte(got), []byte(key)) != 1 {
				return nil, connect.NewError(connect.CodeUnauthenticated, ErrInvalidPeerKey)
			}
			return next(ctx, request)
		}
	}
}
