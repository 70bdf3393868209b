package standin

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const defaultPollInterval = 200 * time.Millisecond

// Directory loads the CSV files of a directory into a Config. The name of a
// value is the file name without ".csv". A changed file is loaded only after
// two consecutive polls have read the same content, so that a partly written
// file is not loaded. Removing a file does not remove its value.
type Directory struct {
	Path   string
	Config *Config
	// PollInterval is the time between two reads of the files. Zero means 200
	// ms.
	PollInterval time.Duration

	lastRead map[string][]byte
}

// Load loads all files immediately.
func (d *Directory) Load() error {
	files, err := d.read()
	if err != nil {
		return err
	}
	for name, data := range files {
		d.Config.Set(name, data)
	}
	d.lastRead = files
	return nil
}

// Run loads the files and then applies changes to them until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	if err := d.Load(); err != nil {
		return err
	}
	interval := d.PollInterval
	if interval == 0 {
		interval = defaultPollInterval
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			d.poll()
		}
	}
}

// poll loads the files whose content is the same as at the previous poll. If
// the directory cannot be read, poll changes nothing and the next poll tries
// again.
func (d *Directory) poll() {
	files, err := d.read()
	if err != nil {
		return
	}
	for name, data := range files {
		if last, ok := d.lastRead[name]; ok && bytes.Equal(last, data) {
			d.Config.Set(name, data)
		}
	}
	d.lastRead = files
}

func (d *Directory) read() (map[string][]byte, error) {
	paths, err := filepath.Glob(filepath.Join(d.Path, "*.csv"))
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", d.Path, err)
	}
	files := make(map[string][]byte, len(paths))
	for _, p := range paths {
		data, err := os.ReadFile(p)
		if err != nil {
			return nil, fmt.Errorf("read values: %w", err)
		}
		files[strings.TrimSuffix(filepath.Base(p), ".csv")] = data
	}
	return files, nil
}
