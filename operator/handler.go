package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/operator/operatorpb"
	"lentilmux.example/lentilmux/operator/operatorpb/operatorpbconnect"
)

// commandTimeout bounds the time until a command has been read back from the log,
// which confirms it.
const commandTimeout = 5 * time.Second

// ErrInvalidKey reports a call with a wrong operator key or none.
const ErrInvalidKey = errors.ConstError("wrong or missing operator key")

// ErrReadOnly reports a command from an operator whose key permits only queries.
const ErrReadOnly = errors.ConstError("this operator key may only ask, not change")

// Keys holds the keys with which operators authenticate. Without an Admin key,
// every caller may execute every statement.
type Keys struct {
	Admin    string // permits all statements
	ReadOnly string // permits only queries; empty for no such key
}

// Handler executes operators' statements on a node.
type Handler struct {
	node       lentilmux.NodeClient
	keys       Keys
	beginDrain func()
}

// NewHandler returns the HTTP handler that serves operators, and its path. It
// calls beginDrain for the statement "drain vm".
func NewHandler(node lentilmux.NodeClient, keys Keys, beginDrain func()) (path string, handler http.Handler) {
	h := &Handler{node: node, keys: keys, beginDrain: beginDrain}
	return operatorpbconnect.NewOperatorServiceHandler(h, connect.WithReadMaxBytes(1<<20))
}

// Execute implements the method of OperatorService: it authorizes the caller and
// executes one statement. An error has a Connect code: unauthenticated,
// permission denied, invalid argument for a syntax error, else unavailable.
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
		result, err = h.runQuery(ctx, text, newQuery(statement.Show))
	case statement.Why != "":
		result, err = h.runQuery(ctx, text, lentilmux.Query{Table: "decisions", Where: []lentilmux.Condition{{Column: "subject", Op: "=", Value: statement.Why}}})
	case statement.Export:
		result, err = h.export(ctx)
	case !mayChange:
		return nil, connect.NewError(connect.CodePermissionDenied, ErrReadOnly)
	case statement.DrainVM:
		h.beginDrain()
		result = &operatorpb.ExecuteResponse{Accepted: true, Known: true, Detail: "this entry VM is draining"}
	case statement.Stop != "":
		result, err = h.submitCommand(ctx, lentilmux.StopRequestMsg{Request: lentilmux.RequestID(statement.Stop)})
	case statement.Release != "":
		result, err = h.releaseQuarantine(ctx, request.Msg, statement)
	default:
		result, err = h.submitChange(ctx, request.Msg, statement)
	}
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(result), nil
}

// connectError wraps err with its Connect code.
func connectError(err error) error {
	if errors.Is(err, ErrSyntax) {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

// authorize checks the caller's key and reports whether it permits commands.
func (h *Handler) authorize(header http.Header) (mayChange bool, err error) {
	if h.keys.Admin == "" {
		return true, nil
	}
	presentedKey := strings.TrimPrefix(header.Get("Authorization"), "Bearer ")
	switch {
	case equalKeys(presentedKey, h.keys.Admin):
		return true, nil
	case h.keys.ReadOnly != "" && equalKeys(presentedKey, h.keys.ReadOnly):
		return false, nil
	default:
		return false, ErrInvalidKey
	}
}

// equalKeys compares two keys by their hashes in constant time, so that response
// times do not reveal how much of a presented key is right.
func equalKeys(a, b string) bool {
	hashA, hashB := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(hashA[:], hashB[:]) == 1
}

// newQuery converts a show statement into a query.
func newQuery(show *Show) lentilmux.Query {
	query := lentilmux.Query{Table: show.Table, OrderBy: show.OrderBy, Desc: show.Desc, Limit: show.Limit}
	for _, c := range show.Where {
		query.Where = append(query.Where, lentilmux.Condition{Column: c.Column, Op: c.Op, Value: c.Value})
	}
	return query
}

// columnOf returns the position of name in text, in characters counted from 1, or 1 if
// text does not contain it.
func columnOf(text, name string) (column int) {
	before, _, found := strings.Cut(text, name)
	if !found {
		return 1
	}
	return 1 + utf8.RuneCountInString(before)
}

// runQuery runs query on the node. A table or column that does not exist is reported
// as a [*SyntaxError] in text.
func (h *Handler) runQuery(ctx context.Context, text string, query lentilmux.Query) (result *operatorpb.ExecuteResponse, err error) {
	answer, err := h.node.Ask(ctx, lentilmux.QueryMsg{Query: query})
	if err != nil {
		return nil, err
	}
	queryAnswer, ok := answer.(lentilmux.QueryAnswer)
	if !ok {
		return nil, errors.Errorf("unexpected answer %T", answer)
	}
	if queryAnswer.Err != "" {
		return nil, &SyntaxError{Statement: text, Column: columnOf(text, queryAnswer.UnknownName), Detail: queryAnswer.Err}
	}
	result = &operatorpb.ExecuteResponse{Columns: queryAnswer.Columns, Accepted: true, Known: true}
	for _, row := range queryAnswer.Rows {
		result.Rows = append(result.Rows, &operatorpb.Row{Cells: row})
	}
	return result, nil
}

// currentSnapshot returns the configuration that the node currently applies.
func (h *Handler) currentSnapshot(ctx context.Context) (snapshot lentilmux.Snapshot, err error) {
	answer, err := h.node.Ask(ctx, lentilmux.SnapshotRequestMsg{})
	if err != nil {
		return lentilmux.Snapshot{}, err
	}
	snapshotAnswer, ok := answer.(lentilmux.SnapshotAnswer)
	if !ok {
		return lentilmux.Snapshot{}, errors.Errorf("unexpected answer %T", answer)
	}
	return snapshotAnswer.Snapshot, nil
}

// export returns the current configuration as statements, one per row.
func (h *Handler) export(ctx context.Context) (result *operatorpb.ExecuteResponse, err error) {
	snapshot, err := h.currentSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	result = &operatorpb.ExecuteResponse{Columns: []string{"statement"}, Accepted: true, Known: true, Revision: uint64(snapshot.Revision)}
	for _, statement := range Export(snapshot) {
		result.Rows = append(result.Rows, &operatorpb.Row{Cells: []string{statement}})
	}
	return result, nil
}

// submitChange builds the command of a statement that changes the configuration,
// and submits it to the node.
func (h *Handler) submitChange(ctx context.Context, request *operatorpb.ExecuteRequest, statement *Statement) (result *operatorpb.ExecuteResponse, err error) {
	snapshot, err := h.currentSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	text := strings.TrimSpace(request.GetStatement())
	command, err := BuildCommand(text, statement, snapshot)
	if err != nil {
		return nil, err
	}
	id := request.GetId()
	if id == "" {
		id = uuid.NewString()
	}
	return h.submitCommand(ctx, lentilmux.CommandMsg{
		ID: id, Who: request.GetWho(), Text: text, Command: command,
		DryRun: statement.DryRun, Deadline: time.Now().Add(commandTimeout),
	})
}

// releaseQuarantine ends the quarantine of the fingerprint that the statement
// names in hex digits.
func (h *Handler) releaseQuarantine(ctx context.Context, request *operatorpb.ExecuteRequest, statement *Statement) (result *operatorpb.ExecuteResponse, err error) {
	fingerprint, err := strconv.ParseUint(statement.Release, 16, 64)
	if err != nil {
		return nil, &SyntaxError{Statement: request.GetStatement(), Column: 1, Detail: "a fingerprint is a number of up to 16 hex digits, as in show suspects"}
	}
	return h.submitCommand(ctx, lentilmux.ReleaseQuarantineMsg{Fingerprint: lentilmux.Fingerprint(fingerprint), Who: request.GetWho()})
}

// submitCommand sends msg to the node and returns the outcome.
func (h *Handler) submitCommand(ctx context.Context, msg lentilmux.Msg) (result *operatorpb.ExecuteResponse, err error) {
	answer, err := h.node.Ask(ctx, msg)
	if err != nil {
		return nil, err
	}
	commandAnswer, ok := answer.(lentilmux.CommandAnswer)
	if !ok {
		return nil, errors.Errorf("unexpected answer %T", answer)
	}
	return &operatorpb.ExecuteResponse{
		Accepted: commandAnswer.Accepted, Known: commandAnswer.OutcomeKnown, Revision: uint64(commandAnswer.Revision), Detail: commandAnswer.Detail,
	}, nil
}
