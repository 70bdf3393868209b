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

// Directory feeds a Config from the CSV files of a directory; the name of a
// value is its file's without ".csv". An edited file is taken over once two
// polls have read the same, so that a file that is being written is not. A file
// that is removed leaves its value.
type Directory struct {
	Path   string
	Config *Config
	// PollInterval is the time between two looks at the files; zero for 200 ms.
	PollInterval time.Duration

	lastRead map[string][]byte
}

// Load takes over all files at once.
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

// Run loads the files and takes edits over until ctx ends.
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

// poll takes over what two looks have found the same. A directory that cannot
// be read for a moment changes nothing.
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
