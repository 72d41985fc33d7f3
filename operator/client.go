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

	"lentilmux.example/lentilmux/operator/operatorpb"
	"lentilmux.example/lentilmux/operator/operatorpb/operatorpbconnect"
)

// executeTimeout bounds one call to an entry VM.
const executeTimeout = commandTimeout + 2*time.Second

// Client runs statements at entry VMs.
type Client struct {
	addrs  []netip.AddrPort
	key    string
	who    string
	scheme string
	client *http.Client
}

// NewClient returns a client for the entry VMs at addrs, which it tries in
// order. It shows key, signs commands with who, and uses TLS unless security is
// nil.
func NewClient(addrs []netip.AddrPort, key, who string, security *tls.Config) *Client {
	dialer := &net.Dialer{Timeout: time.Second}
	transport := &http.Transport{DialContext: dialer.DialContext, TLSClientConfig: security}
	scheme := "http://"
	if security != nil {
		scheme = "https://"
	}
	return &Client{addrs: addrs, key: key, who: who, scheme: scheme, client: &http.Client{Transport: transport}}
}

// Result is the answer to a statement.
type Result struct {
	Columns      []string
	Rows         [][]string
	Accepted     bool
	OutcomeKnown bool // whether it is known if a command was accepted
	Revision     uint64
	Detail       string
}

// Execute runs one statement. It tries the next entry VM if one cannot be
// reached; the command's ID keeps it from being applied twice.
func (c *Client) Execute(ctx context.Context, statement string) (result Result, err error) {
	defer errors.DeferredAnnotatef(&err, "executing the statement")
	id := uuid.NewString()
	err = errors.New("no entry VM is given")
	for _, addr := range c.addrs {
		result, err = c.at(ctx, addr, statement, id)
		if err == nil || connect.CodeOf(err) != connect.CodeUnavailable {
			return result, err
		}
	}
	return result, err
}

func (c *Client) at(ctx context.Context, addr netip.AddrPort, statement, id string) (result Result, err error) {
	ctx, cancel := context.WithTimeout(ctx, executeTimeout)
	defer cancel()
	stub := operatorpbconnect.NewOperatorServiceClient(c.client, c.scheme+addr.String())
	request := connect.NewRequest(&operatorpb.ExecuteRequest{Statement: statement, Id: id, Who: c.who})
	if c.key != "" {
		request.Header().Set("Authorization", "Bearer "+c.key)
	}
	response, err := stub.Execute(ctx, request)
	if err != nil {
		return Result{}, err
	}
	m := response.Msg
	result = Result{
		Columns: m.GetColumns(), Accepted: m.GetAccepted(), OutcomeKnown: m.GetKnown(), Revision: m.GetRevision(), Detail: m.GetDetail(),
	}
	for _, row := range m.GetRows() {
		result.Rows = append(result.Rows, row.GetCells())
	}
	return result, nil
}
