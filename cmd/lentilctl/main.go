// Command lentilctl shows the state of entry VMs and changes their
// configuration. It sends statements of the operators' language to the first
// entry VM that answers.
//
// # Usage
//
//	lentilctl --addrs 127.0.0.1:7101,127.0.0.1:7102 show upstreams where state != open
//	lentilctl --addrs 127.0.0.1:7101 --file deployment.lentil
//	lentilctl --addrs 127.0.0.1:7101 --output json show requests
//	lentilctl explain --metrics-addr 10.1.0.40:9464 --host desk.example --path /chat/ --workspace counter --prompt-tokens 800
//
// The exit code gives the result to scripts: 0 for success, 1 if the statement
// was refused, 2 for invalid settings or an invalid statement, 3 if no entry VM
// answered, 4 if it is not known whether a command was accepted, and 5 if the
// result could not be written.
package main

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"os"
	"os/user"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"lentilmux.example/lentilmux/certificate"
	"lentilmux.example/lentilmux/operator"
	"lentilmux.example/lentilmux/settings"
)

// version is the version that --version prints.
const version = "0.1.0"

// Exit codes of the program.
const (
	exitOK          = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnavailable = 3
	exitUnknown     = 4
	exitOutput      = 5
)

func main() { os.Exit(run()) }

// run reads the settings, executes the statements, and returns the exit code.
// With --watch it repeats them until one fails.
func run() (code int) {
	if len(os.Args) > 1 && os.Args[1] == "explain" {
		return runExplain(os.Args[2:])
	}
	set := settings.New("lentilctl", "LENTILCTL", "Shows the state of entry VMs and changes their configuration.", version)
	addrs := set.AddrPorts("addrs", "127.0.0.1:7080", "control addresses of entry VMs, tried in order")
	key := set.String("key", "", "operator key", settings.Secret())
	who := set.String("who", userName(), "name recorded with commands in the history of revisions")
	caFile := set.String("tls-ca", "", "PEM file with the certificate authority of the entry VMs; empty disables TLS")
	file := set.String("file", "", "file with one statement per line; - reads standard input")
	output := set.Choice("output", "table", "output format", []string{"table", "json"})
	watch := set.Duration("watch", 0, 0, time.Hour, "interval at which the statement is repeated until interrupted; 0 runs it once")
	if err := set.Read(os.Args[1:], os.LookupEnv); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	statements, err := readStatements(*file, set.Args())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	tlsConfig, err := clientTLS(*caFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	client := operator.NewClient(*addrs, *key, *who, tlsConfig)
	for {
		code = executeAll(client, statements, *output)
		if *watch == 0 || code != exitOK {
			return code
		}
		time.Sleep(*watch)
	}
}

// clientTLS returns the TLS configuration that trusts the certificate authority
// in caFile. It returns nil if caFile is empty, which disables TLS.
func clientTLS(caFile string) (tlsConfig *tls.Config, err error) {
	if caFile == "" {
		return nil, nil
	}
	reloader, err := certificate.Load("", "", caFile)
	if err != nil {
		return nil, err
	}
	return reloader.ClientConfig(), nil
}

// userName returns the login name of the user who runs the program, or
// "unknown".
func userName() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}

// readStatements returns the statements of a file, one per line without empty
// lines and comments (#). Without a file, it returns the single statement that
// the arguments form.
func readStatements(file string, args []string) (statements []string, err error) {
	defer errors.DeferredAnnotatef(&err, "reading statements")
	switch {
	case file == "" && len(args) == 0:
		return nil, errors.New("no statement given; expected one such as: lentilctl show upstreams")
	case file == "":
		return []string{strings.Join(args, " ")}, nil
	}
	source := os.Stdin
	if file != "-" {
		if source, err = os.Open(file); err != nil {
			return nil, err
		}
		defer func() { _ = source.Close() }()
	}
	scanner := bufio.NewScanner(source)
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		if line != "" && !strings.HasPrefix(line, "#") {
			statements = append(statements, line)
		}
	}
	return statements, scanner.Err()
}

// executeAll executes the statements in order, prints their results, and stops
// at the first failure. It returns the exit code.
func executeAll(client *operator.Client, statements []string, output string) (code int) {
	for _, statement := range statements {
		result, err := client.Execute(context.Background(), statement)
		if err != nil {
			fmt.Fprintln(os.Stderr, errorMessage(err))
			return exitCode(err)
		}
		if err := writeResult(os.Stdout, result, output); err != nil {
			fmt.Fprintln(os.Stderr, errors.Annotate(err, "writing the result, which an entry VM returned"))
			return exitOutput
		}
		switch {
		case !result.OutcomeKnown:
			return exitUnknown
		case !result.Accepted:
			return exitRefused
		}
	}
	return exitOK
}

// errorMessage returns the message of an error, without the status code that
// Connect puts before it.
func errorMessage(err error) string {
	var connectError *connect.Error
	if errors.As(err, &connectError) {
		return connectError.Message()
	}
	return err.Error()
}

// exitCode returns the exit code for an error of the operator client.
func exitCode(err error) int {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument:
		return exitUsage
	case connect.CodeUnauthenticated, connect.CodePermissionDenied:
		return exitRefused
	default:
		return exitUnavailable
	}
}
