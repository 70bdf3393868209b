package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the file that lists what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	begin time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), begin: time.Now()}, nil
}

// add adds a line: the seconds since the begin, what happened, and pairs of names and values.
func (r *record) add(what string, pairs ...any) {
	var b strings.Builder
	for n := 0; n+1 < len(pairs); n += 2 {
		fmt.Fprintf(&b, " %v=%v", pairs[n], pairs[n+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s%s\n", time.Since(r.begin).Seconds(), what, b.String())
}

// say adds a line, and prints it.
func (r *record) say(what string, pairs ...any) {
	r.add(what, pairs...)
	fmt.Print(what)
	for n := 0; n+1 < len(pairs); n += 2 {
		fmt.Printf(" %v=%v", pairs[n], pairs[n+1])
	}
	fmt.Println()
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
