package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/operator/operatorpb"
	"lentilmux.example/lentilmux/operator/operatorpb/operatorpbconnect"
)

// commandTimeout is how long a command may take to be read back from the log.
const commandTimeout = 5 * time.Second

// ErrInvalidKey reports a call without an operator's key.
const ErrInvalidKey = errors.ConstError("wrong or missing operator key")

// ErrReadOnly reports a command with a key that may only ask.
const ErrReadOnly = errors.ConstError("this operator key may only ask, not change")

// Keys are the keys that operators show. With no Admin key everyone may do
// everything.
type Keys struct {
	Admin    string
	ReadOnly string // may ask but not change
}

// Handler runs operators' statements on a node.
type Handler struct {
	node  lentilmux.NodeClient
	keys  Keys
	drain func()
}

// NewHandler returns the path and the HTTP handler that serve operators. It
// calls drain when an operator begins the node's planned stop.
func NewHandler(node lentilmux.NodeClient, keys Keys, drain func()) (path string, handler http.Handler) {
	h := &Handler{node: node, keys: keys, drain: drain}
	return operatorpbconnect.NewOperatorServiceHandler(h, connect.WithReadMaxBytes(1<<20))
}

// Execute runs one statement.
func (h *Handler) Execute(ctx context.Context, request *connect.Request[operatorpb.ExecuteRequest]) (response *connect.Response[operatorpb.ExecuteResponse], err error) {
	mayChange, err := h.authorize(request.Header())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnauthenticated, err)
	}
	text := request.Msg.GetStatement()
	statement, err := Parse(text)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	var result *operatorpb.ExecuteResponse
	switch {
	case statement.Show != nil:
		result, err = h.show(ctx, text, query(statement.Show))
	case statement.Why != "":
		result, err = h.show(ctx, text, lentilmux.Query{Table: "decisions", Where: []lentilmux.Condition{{Column: "subject", Op: "=", Value: statement.Why}}})
	case statement.Export:
		result, err = h.export(ctx)
	case !mayChange:
		return nil, connect.NewError(connect.CodePermissionDenied, ErrReadOnly)
	case statement.DrainVM:
		h.drain()
		result = &operatorpb.ExecuteResponse{Accepted: true, Known: true, Detail: "this entry VM is draining"}
	case statement.Stop != "":
		result, err = h.command(ctx, lentilmux.StopRequestMsg{Request: lentilmux.RequestID(statement.Stop)})
	case statement.Release != "":
		result, err = h.release(ctx, request.Msg, statement)
	default:
		result, err = h.change(ctx, request.Msg, statement)
	}
	if err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(result), nil
}

// wireError gives an error its Connect code.
func wireError(err error) error {
	if errors.Is(err, ErrSyntax) {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

// authorize reports whether the caller may change the configuration.
func (h *Handler) authorize(header http.Header) (mayChange bool, err error) {
	if h.keys.Admin == "" {
		return true, nil
	}
	shown := strings.TrimPrefix(header.Get("Authorization"), "Bearer ")
	switch {
	case equal(shown, h.keys.Admin):
		return true, nil
	case h.keys.ReadOnly != "" && equal(shown, h.keys.ReadOnly):
		return false, nil
	default:
		return false, ErrInvalidKey
	}
}

// equal compares two keys in a time that does not depend on them.
func equal(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

func query(show *Show) lentilmux.Query {
	q := lentilmux.Query{Table: show.Table, OrderBy: show.OrderBy, Desc: show.Desc, Limit: show.Limit}
	for _, c := range show.Where {
		q.Where = append(q.Where, lentilmux.Condition{Column: c.Column, Op: c.Op, Value: c.Value})
	}
	return q
}

func (h *Handler) show(ctx context.Context, text string, q lentilmux.Query) (result *operatorpb.ExecuteResponse, err error) {
	answer, err := h.node.Ask(ctx, lentilmux.QueryMsg{Query: q})
	if err != nil {
		return nil, err
	}
	rows, ok := answer.(lentilmux.QueryAnswer)
	if !ok {
		return nil, errors.Errorf("unexpected answer %T", answer)
	}
	if rows.Err != "" {
		return nil, &SyntaxError{Statement: text, Column: 1 + max(0, strings.Index(text, rows.UnknownName)), Detail: rows.Err}
	}
	result = &operatorpb.ExecuteResponse{Columns: rows.Columns, Accepted: true, Known: true}
	for _, row := range rows.Rows {
		result.Rows = append(result.Rows, &operatorpb.Row{Cells: row})
	}
	return result, nil
}

// current returns the configuration in force.
func (h *Handler) current(ctx context.Context) (snapshot lentilmux.Snapshot, err error) {
	answer, err := h.node.Ask(ctx, lentilmux.SnapshotRequestMsg{})
	if err != nil {
		return lentilmux.Snapshot{}, err
	}
	own, ok := answer.(lentilmux.SnapshotAnswer)
	if !ok {
		return lentilmux.Snapshot{}, errors.Errorf("unexpected answer %T", answer)
	}
	return own.Snapshot, nil
}

func (h *Handler) export(ctx context.Context) (result *operatorpb.ExecuteResponse, err error) {
	snapshot, err := h.current(ctx)
	if err != nil {
		return nil, err
	}
	result = &operatorpb.ExecuteResponse{Columns: []string{"statement"}, Accepted: true, Known: true, Revision: uint64(snapshot.Revision)}
	for _, statement := range Export(snapshot) {
		result.Rows = append(result.Rows, &operatorpb.Row{Cells: []string{statement}})
	}
	return result, nil
}

// change submits a command that changes the configuration.
func (h *Handler) change(ctx context.Context, request *operatorpb.ExecuteRequest, statement *Statement) (result *operatorpb.ExecuteResponse, err error) {
	current, err := h.current(ctx)
	if err != nil {
		return nil, err
	}
	text := strings.TrimSpace(request.GetStatement())
	command, err := BuildCommand(text, statement, current)
	if err != nil {
		return nil, err
	}
	id := request.GetId()
	if id == "" {
		id = uuid.NewString()
	}
	return h.command(ctx, lentilmux.CommandMsg{
		ID: id, Who: request.GetWho(), Text: text, Command: command,
		DryRun: statement.DryRun, Deadline: time.Now().Add(commandTimeout),
	})
}

// release ends the quarantine of a fingerprint.
func (h *Handler) release(ctx context.Context, request *operatorpb.ExecuteRequest, statement *Statement) (result *operatorpb.ExecuteResponse, err error) {
	fingerprint, err := strconv.ParseUint(statement.Release, 16, 64)
	if err != nil {
		return nil, &SyntaxError{Statement: request.GetStatement(), Column: 1, Detail: "a fingerprint is a number of up to 16 hex digits, as in show suspects"}
	}
	return h.command(ctx, lentilmux.ReleaseQuarantineMsg{Fingerprint: lentilmux.Fingerprint(fingerprint), Who: request.GetWho()})
}

// command asks the node to carry out msg and returns its verdict.
func (h *Handler) command(ctx context.Context, msg lentilmux.Msg) (result *operatorpb.ExecuteResponse, err error) {
	answer, err := h.node.Ask(ctx, msg)
	if err != nil {
		return nil, err
	}
	verdict, ok := answer.(lentilmux.CommandAnswer)
	if !ok {
		return nil, errors.Errorf("unexpected answer %T", answer)
	}
	return &operatorpb.ExecuteResponse{
		Accepted: verdict.Accepted, Known: verdict.OutcomeKnown, Revision: uint64(verdict.Revision), Detail: verdict.Detail,
	}, nil
}
