// Command standin-2 plays the cases of the second review. It starts gateways as separate
// processes, and stands in for the platform with its store, for replicas and for clients. All of
// them follow the users' pages and listen on loopback addresses.
//
//	standin-2 CASE RECORD GATEWAY-PROGRAM
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With
// TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	longestPlay = 110 * time.Second
)

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(p *play) (broken bool, err error){
	"answered":      playAnswered,
	"crashing-part": playCrashingPart,
	"many-parts":    playManyParts,
	"same-question": playSameQuestion,
	"stale-seeds":   playStaleSeeds,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD GATEWAY-PROGRAM")
		return exitNotRun
	}
	p, err := newPlay(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer p.end()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[os.Args[1]](p)
		done <- outcome{broken, err}
	}()
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			p.record("not run: %v", o.err)
			return exitNotRun
		case o.broken:
			p.record("the rule was BROKEN")
			return exitBroken
		}
		p.record("the rule held")
		return exitHeld
	case <-time.After(longestPlay):
		p.record("not run: over %s", longestPlay)
	case s := <-stopped:
		p.record("not run: %s", s)
	}
	return exitNotRun
}
