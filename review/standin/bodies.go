package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// largeBody is the limit maxBodyBytes of the configuration.
	largeBody = 4 << 20
	// largeAtOnce is the number of clients that send such a body at the same time, each at
	// uploadBytesPerSecond.
	largeAtOnce          = 90
	uploadBytesPerSecond = 512 << 10
)

// playBodies lets many clients send bodies of the largest size that the configuration allows,
// three times, and counts the requests on kept connections that were passed on to sound replicas and got
// no answer.
func playBodies(folder string, trouble bool) (int, error) {
	const between, after = 5 * time.Second, 10 * time.Second
	s, err := startSession(1, func(*replica) {}, func(*clients) {})
	defer s.end()
	if err != nil {
		return notRun, err
	}
	time.Sleep(calm)
	large := kinds[slices.IndexFunc(kinds, func(k kind) bool { return k.name == "manifest-draft" })]
	large.bodyBytes = largeBody
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 99))
	c := s.clients[0]
	for batch := range 3 {
		for n := 0; trouble && n < largeAtOnce; n++ {
			prompt := large.prompt(random)
			c.wait.Add(1)
			go func() {
				defer c.wait.Done()
				c.sendNew(fmt.Sprintf("large-%d-%d", batch, n), large, prompt)
			}()
		}
		time.Sleep(between)
	}
	time.Sleep(after)
	s.finish()
	return s.judgeLost(folder)
}
