// Command lentilctl asks entry VMs what runs and changes their configuration.
//
// # Usage
//
//	lentilctl --addrs 127.0.0.1:7101,127.0.0.1:7102 show upstreams where state != open
//	lentilctl --addrs 127.0.0.1:7101 --file deployment.lentil
//	lentilctl --addrs 127.0.0.1:7101 --output json show requests
//
// The exit code tells scripts how it went: 0 done, 1 refused, 2 wrong settings
// or statement, 3 no entry VM answered, 4 not known whether a command was
// accepted.
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

// version is the program's version.
const version = "0.1.0"

// Exit codes of the program.
const (
	exitOK          = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnavailable = 3
	exitUnknown     = 4
)

func main() { os.Exit(run()) }

// run reads the settings and runs the statements.
func run() (code int) {
	set := settings.New("lentilctl", "LENTILCTL", "Asks entry VMs what runs and changes their configuration.", version)
	addrs := set.AddrPorts("addrs", "127.0.0.1:7080", "control addresses of entry VMs, tried in order")
	key := set.String("key", "", "operator key", settings.Secret())
	who := set.String("who", userName(), "name that signs commands in the history")
	authority := set.String("tls-ca", "", "file of the authority of the entry VMs' certificates; empty for no TLS")
	file := set.String("file", "", "file with one statement a line; - for standard input")
	output := set.Choice("output", "table", "format of the answer", []string{"table", "json"})
	watch := set.Duration("watch", 0, 0, time.Hour, "run the statement again after this time, until interrupted; 0 runs it once")
	if err := set.Read(os.Args[1:], os.LookupEnv); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	statements, err := statementsOf(*file, set.Args())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	security, err := securityOf(*authority)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	client := operator.NewClient(*addrs, *key, *who, security)
	for {
		code = runAll(client, statements, *output)
		if *watch == 0 || code != exitOK {
			return code
		}
		time.Sleep(*watch)
	}
}

// securityOf returns the TLS configuration for an authority's file, or nil for
// none.
func securityOf(authority string) (security *tls.Config, err error) {
	if authority == "" {
		return nil, nil
	}
	files, err := certificate.Load("", "", authority)
	if err != nil {
		return nil, err
	}
	return files.ClientConfig(), nil
}

// userName returns the name of the user who runs the program.
func userName() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}

// statementsOf returns the statements of a file, or the one in the words.
func statementsOf(file string, words []string) (statements []string, err error) {
	defer errors.DeferredAnnotatef(&err, "reading statements")
	switch {
	case file == "" && len(words) == 0:
		return nil, errors.New("a statement is expected, such as: lentilctl show upstreams")
	case file == "":
		return []string{strings.Join(words, " ")}, nil
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

// runAll runs the statements in order and stops at the first that fails.
func runAll(client *operator.Client, statements []string, output string) (code int) {
	for _, statement := range statements {
		result, err := client.Execute(context.Background(), statement)
		if err != nil {
			fmt.Fprintln(os.Stderr, message(err))
			return codeOf(err)
		}
		if err := write(os.Stdout, result, output); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitUnavailable
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

// message returns an error without the words of the transport.
func message(err error) string {
	var connectError *connect.Error
	if errors.As(err, &connectError) {
		return connectError.Message()
	}
	return err.Error()
}

// codeOf returns the exit code of an error.
func codeOf(err error) int {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument:
		return exitUsage
	case connect.CodeUnauthenticated, connect.CodePermissionDenied:
		return exitRefused
	default:
		return exitUnavailable
	}
}
