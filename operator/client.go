package operator

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"lentilmux.example/lentilmux/http1"
	"lentilmux.example/lentilmux/operator/operatorpb"
	"lentilmux.example/lentilmux/operator/operatorpb/operatorpbconnect"
)

// executeTimeout bounds one call to an entry VM. It exceeds commandTimeout, so that
// the entry VM can respond that a command was not confirmed in time.
const executeTimeout = commandTimeout + 2*time.Second

// Client executes statements on entry VMs.
type Client struct {
	addrs      []netip.AddrPort
	key        string
	who        string
	scheme     string
	httpClient *http.Client
}

// NewClient returns a client for the entry VMs at addrs, which it tries in order.
// It authenticates with key unless that is empty, and uses TLS unless tlsConfig is
// nil. who is the operator's name, recorded with each command.
func NewClient(addrs []netip.AddrPort, key, who string, tlsConfig *tls.Config) *Client {
	dialer := &net.Dialer{Timeout: time.Second}
	transport := &http.Transport{DialContext: dialer.DialContext, TLSClientConfig: tlsConfig}
	scheme := "http://"
	if tlsConfig != nil {
		scheme = "https://"
	}
	return &Client{addrs: addrs, key: key, who: who, scheme: scheme, httpClient: &http.Client{Transport: http1.NewTransport(transport)}}
}

// Result is the result of a statement: rows for a query, else the outcome of a
// command.
type Result struct {
	Columns      []string
	Rows         [][]string
	Accepted     bool   // whether the command was accepted; true for queries
	OutcomeKnown bool   // whether it is known if the command was accepted
	Revision     uint64 // configuration revision
	Detail       string
}

// Execute runs one statement. If an entry VM is unavailable it tries the next one;
// the ID, which all tries share, prevents a command from being applied twice.
func (c *Client) Execute(ctx context.Context, statement string) (result Result, err error) {
	defer errors.DeferredAnnotatef(&err, "executing the statement")
	id := uuid.NewString()
	err = errors.New("no entry VM is given")
	for _, addr := range c.addrs {
		result, err = c.executeAt(ctx, addr, statement, id)
		if err == nil || connect.CodeOf(err) != connect.CodeUnavailable {
			return result, err
		}
	}
	return result, err
}

// executeAt sends the statement to the entry VM at addr.
func (c *Client) executeAt(ctx context.Context, addr netip.AddrPort, statement, id string) (result Result, err error) {
	ctx, cancel := context.WithTimeout(ctx, executeTimeout)
	defer cancel()
	stub := operatorpbconnect.NewOperatorServiceClient(c.httpClient, c.scheme+addr.String())
	request := connect.NewRequest(&operatorpb.ExecuteRequest{Statement: statement, Id: id, Who: c.who})
	if c.key != "" {
		request.Header().Set("Authorization", "Bearer "+c.key)
	}
	response, err := stub.Execute(ctx, request)
	if err != nil {
		return Result{}, err
	}
	message := response.Msg
	result = Result{
		Columns: message.GetColumns(), Accepted: message.GetAccepted(), OutcomeKnown: message.GetKnown(), Revision: message.GetRevision(), Detail: message.GetDetail(),
	}
	for _, row := range message.GetRows() {
		result.Rows = append(result.Rows, row.GetCells())
	}
	return result, nil
}
