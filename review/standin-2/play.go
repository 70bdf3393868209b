package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// play is one play of a case.
type play struct {
	// trouble reports that the disruption takes place.
	trouble bool
	program string
	began   time.Time
	dir     string
	store   *store

	mu       sync.Mutex
	out      *os.File
	gateways []*gateway
	replicas []*replica
}

func newPlay(recordPath, program string) (*play, error) {
	path, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	out, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	p := &play{trouble: os.Getenv("TROUBLE") != "0", program: path, began: time.Now(), dir: dir, out: out}
	if p.store, err = newStore(); err != nil {
		return nil, err
	}
	p.record("trouble: %t", p.trouble)
	return p, nil
}

// record writes a line with the time since the start to the record.
func (p *play) record(format string, a ...any) {
	line := fmt.Sprintf("%9.3f s  ", time.Since(p.began).Seconds()) + fmt.Sprintf(format, a...)
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintln(p.out, line)
}

// end ends all that the play has started.
func (p *play) end() {
	for _, g := range p.gateways {
		g.kill()
	}
	for _, r := range p.replicas {
		r.stop()
	}
	p.store.server.Close()
	_ = os.RemoveAll(p.dir)
	_ = p.out.Close()
}

// since returns the time since the start of the play.
func (p *play) since() time.Duration { return time.Since(p.began) }
