package main

import (
	"math/rand/v2"
	"os"
	"time"
)

// session is a deployment under the traffic of the sheet.
type session struct {
	*deployment
	clients []*clients
	// stop ends the traffic, and stopSupervisors the supervision of the gateways.
	stop, stopSupervisors chan struct{}
}

// startSession starts a deployment and its traffic, which is spread over the gateways.
// prepare and configure change the replicas and the clients before they start. The caller
// calls end also if there is an error.
func startSession(gateways int, prepare func(*replica), configure func(*clients)) (*session, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &session{stop: make(chan struct{}), stopSupervisors: make(chan struct{})}
	s.deployment, err = newDeployment(dir, gateways, prepare)
	if err != nil {
		return s, err
	}
	for _, g := range s.gateways {
		go g.supervise(s.record, s.stopSupervisors)
	}
	time.Sleep(settle)
	for n, g := range s.gateways {
		c := &clients{record: s.record, target: g.callers, name: g.name}
		configure(c)
		s.clients = append(s.clients, c)
		for m, k := range kinds {
			c.wait.Add(1)
			go c.run(k, rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(16*n+m))), 1/float64(gateways), s.stop)
		}
	}
	return s, nil
}

// finish ends the traffic and waits for the answers.
func (s *session) finish() {
	close(s.stop)
	for _, c := range s.clients {
		c.wait.Wait()
	}
	close(s.stopSupervisors)
}

// end ends all processes and removes the temporary folder.
func (s *session) end() {
	if s == nil || s.deployment == nil {
		return
	}
	s.deployment.end()
	_ = os.RemoveAll(s.dir)
}
