// Command standin-3 plays the third set of review cases: it starts gateways as processes, and
// is their store, their replicas and their clients.
//
// # Usage
//
//	standin-3 CASE PROGRAM RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With
// TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The bounds of the rule FAILBACK in the settings, and what the configuration says of cold
// replicas: the figures of the site pitchline-maps.
const (
	coldPerSecond = 5.6
	coldFactor    = 1.5
	coldSlack     = 5.0
	coldStart     = 3 * time.Second
	coldBound     = coldPerSecond*coldFactor + coldSlack
)

// Exit statuses.
const (
	held = iota
	broken
	notRun
)

// scene is what a case plays with.
type scene struct {
	trouble  bool
	folder   string
	record   *record
	store    *store
	replicas []*replica
	gateways []*gateway
}

var cases = map[string]func(*scene) (int, error){
	"outage": playOutage,
	"power":  playPower,
	"slow":   playSlow,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE PROGRAM RECORD")
		return notRun
	}
	folder, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		}
	}()
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.close()
	s := &scene{trouble: os.Getenv("TROUBLE") != "0", folder: folder, record: r}
	defer s.end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		s.end()
		os.Exit(notRun)
	}()
	status, err := cases[os.Args[1]](s)
	if err != nil {
		r.say("not run", "error", err)
		return notRun
	}
	r.say("exit", "status", status)
	return status
}

// end kills the gateways.
func (s *scene) end() {
	for _, g := range s.gateways {
		g.kill()
	}
}

// open starts the store, the replicas and the gateways, and waits until all gateways are ready.
func (s *scene) open(gateways, replicas int) error {
	network, err := freeNetwork(gateways)
	if err != nil {
		return err
	}
	if s.store, err = newStore("127.0.0.1:0"); err != nil {
		return err
	}
	s.store.put("op/config", config)
	for n := range replicas {
		r := &replica{
			id: fmt.Sprintf("i-%04x", n+1), service: "desk", zone: "a", address: "127.0.0.1:0", slots: 64,
			coldFor: coldStart, work: callWork, crashAbove: crashAbove, backAfter: time.Second, store: s.store, record: s.record,
		}
		s.replicas = append(s.replicas, r)
		if err := r.start(false); err != nil {
			return err
		}
	}
	return s.openGateways(gateways, network)
}

// openGateways starts the gateways and waits until all are ready.
func (s *scene) openGateways(count, network int) (err error) {
	if s.gateways, err = newGateways(os.Args[2], s.folder, count, network, s.store.address); err != nil {
		return err
	}
	for _, g := range s.gateways {
		if err := g.start(); err != nil {
			return err
		}
		// Machines start within 0.3 s of each other.
		time.Sleep(300 * time.Millisecond / time.Duration(count))
	}
	return s.awaitReady()
}

func (s *scene) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, g := range s.gateways {
			r, err := client.Get("http://" + g.ready() + "/readiness")
			if err != nil {
				continue
			}
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.gateways) {
			return nil
		}
	}
	return fmt.Errorf("the gateways are not ready")
}

// judgeCold checks the rule FAILBACK, and adds up what became of the requests.
func (s *scene) judgeCold(l *load) int {
	status := held
	for _, r := range s.replicas {
		most, begin := r.mostCold()
		s.record.say("cold", "replica", r.id, "most_in_a_second", most, "bound", coldBound, "from", fmt.Sprintf("%.3f", max(begin.Sub(s.record.begin).Seconds(), 0)), "crashes", r.crashes)
		if float64(most) > coldBound {
			status = broken
		}
	}
	for outcome, n := range l.answers {
		s.record.say("answers", "outcome", fmt.Sprintf("%q", outcome), "count", n)
	}
	return status
}

// config is a configuration with a route of each kind.
var config = fmt.Sprintf(`{"version":7,"routes":[
{"name":"look","host":%[1]q,"pathPrefix":"/look/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":2,"public":false},
{"name":"book","host":%[1]q,"pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":1,"public":false}],
"services":[{"name":"desk","healthPath":"/health","maxConnections":370,"protocol":"h1","tls":false,"coldStartS":%g,"coldPerS":%g}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"market","apiKeys":["k"],"priority":1}]}`, host, coldStart.Seconds(), coldPerSecond)

// freeNetwork returns a number n such that the ports of gateways are free at 127.n.1.1 and on.
func freeNetwork(gateways int) (int, error) {
next:
	for range 50 {
		n := 20 + rand.IntN(200)
		for g := range gateways {
			for _, port := range []int{callerPort, readyPort, peerPort, 9401} {
				l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.%d:%d", n, g+1, port))
				if err != nil {
					continue next
				}
				_ = l.Close()
			}
		}
		return n, nil
	}
	return 0, fmt.Errorf("no loopback network is free")
}
