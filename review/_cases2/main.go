// Command cases-2 runs one case of review/REPORT-2.md: the stand-ins of the platform, the
// workers and the clients, and the program of each machine as a process of its own.
//
//	cases-2 NAME
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// TROUBLE=0 leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by name.
var cases = map[string]func(d *deployment, trouble bool){
	"replaced":   runReplaced,
	"unrepaired": runUnrepaired,
	"deadly":     runDeadly,
	"torn":       runTorn,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Println("usage: cases-2 NAME")
		os.Exit(2)
	}
	d := newDeployment()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		d.cannotRun("it was stopped")
	}()
	cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
}
