package main

import (
	"context"
	"os"
	"time"
)

const (
	// callWork is how long a request takes at a replica.
	callWork = 40 * time.Millisecond
	// crashAbove is the number of requests in one second above which a cold replica crashes: well
	// above the 5.6 that it tolerates, and above twice the bound of the rule.
	crashAbove = 30
	// coldReturnTime is how long the replicas are down: for_s of cold_return in the day trouble-1.
	coldReturnTime = 2 * time.Second
	// storeDownTime is how long the store is down: for_s of platform_down in the day trouble-2.
	storeDownTime = 5600 * time.Millisecond
	// powerOffTime is how long a zone has no power; kinds allows 1.5 s.
	powerOffTime = 500 * time.Millisecond
)

// playOutage plays the return of all replicas, cold and under their IDs, while the store is down.
// With TROUBLE=cold, the store is up.
func playOutage(s *scene) (int, error) {
	if err := s.open(3, 2); err != nil {
		return notRun, err
	}
	l := &load{gateways: s.gateways, perSecond: 20, deadline: 1500 * time.Millisecond, record: s.record}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if s.trouble {
		go func() {
			time.Sleep(6 * time.Second)
			began := time.Now()
			if os.Getenv("TROUBLE") != "cold" {
				s.record.say("store down")
				s.store.setDown(true)
			}
			time.Sleep(200 * time.Millisecond)
			s.replicasDown()
			time.Sleep(coldReturnTime)
			s.replicasBack()
			time.Sleep(time.Until(began.Add(storeDownTime)))
			s.record.say("store up")
			s.store.setDown(false)
		}()
	}
	l.run(ctx)
	return s.judgeCold(l), nil
}

// playPower plays a loss of power in a zone: its gateways and its replicas are back soon, the
// replicas cold.
func playPower(s *scene) (int, error) {
	if err := s.open(8, 2); err != nil {
		return notRun, err
	}
	l := &load{gateways: s.gateways, perSecond: 10, deadline: 1500 * time.Millisecond, record: s.record}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if s.trouble {
		go func() {
			time.Sleep(8 * time.Second)
			s.replicasDown()
			for _, g := range s.gateways {
				g.kill()
			}
			s.record.say("gateways down")
			time.Sleep(powerOffTime)
			s.replicasBack()
			for _, g := range s.gateways {
				_ = g.start()
			}
			s.record.say("gateways back")
		}()
	}
	l.run(ctx)
	return s.judgeCold(l), nil
}

func (s *scene) replicasDown() {
	s.record.say("replicas down")
	for _, r := range s.replicas {
		r.crash()
	}
}

func (s *scene) replicasBack() {
	s.record.say("replicas back, cold")
	for _, r := range s.replicas {
		if err := r.start(true); err != nil {
			s.record.say("replica not back", "replica", r.id, "error", err)
		}
	}
}
