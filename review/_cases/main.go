// Command review runs one case of the review: it starts the project's router as separate
// processes, with stand-ins for the store, the workers, the operator and the clients, and
// checks one rule from what workers and clients see.
//
// # Usage
//
//	review NAME FOLDER
//
// NAME is the name of a case. The record is written to FOLDER/record.txt. With the
// environment variable TROUBLE=0 the case runs without its disruption. The program exits
// with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// caseTimeout bounds a whole case.
	caseTimeout = 110 * time.Second
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(ctx context.Context, d *deployment, trouble bool) (held bool, err error){
	"backlog": runBacklog,
	"leave":   runLeave,
	"tenant":  runTenant,
	"crash":   runCrash,
	"path":    runPath,
}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review NAME FOLDER")
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	record, err := openRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.note("case %s, trouble %t", os.Args[1], trouble)
	d, err := newDeployment(record)
	if err != nil {
		record.note("could not run: %v", err)
		return exitNotRun
	}
	defer d.close()
	held, err := cases[os.Args[1]](ctx, d, trouble)
	switch {
	case err != nil:
		record.note("could not run: %v", err)
		return exitNotRun
	case !held:
		record.note("the rule was broken")
		return exitBroken
	}
	record.note("the rule held")
	return exitHeld
}

// sleep waits, or returns an error if the case ends before.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return errors.New("the case took too long or was stopped")
	}
}
