// Command standin plays the stand-ins of the review's scripts: the platform's store, the
// replicas and the clients. It starts the gateways as processes, with the command of the
// deploy file, and judges what clients and replicas have seen.
//
// # Usage
//
//	target/review-standin entry review/1
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a script.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		os.Exit(notRun)
	}
	scenarios := map[string]func(folder string, trouble bool) (int, error){
		"entry": playEntry, "endless": playEndless, "bodies": playBodies, "idle": playIdle, "cleared": playCleared,
	}
	play := scenarios[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		os.Exit(notRun)
	}
	status, err := play(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case can't run:", err)
		status = notRun
	}
	os.Exit(status)
}
