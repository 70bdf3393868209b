package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startFastBookings starts the demo with bookings that take no time and with the
// account market without a rate limit.
func startFastBookings(b testing.TB) *Deployment {
	directory := b.TempDir()
	assert.NilError(b, WriteTable(directory))
	path := filepath.Join(directory, "accounts.csv")
	rows, err := os.ReadFile(path)
	assert.NilError(b, err)
	unlimited := strings.ReplaceAll(string(rows), ",500,200,", ",0,,")
	assert.NilError(b, os.WriteFile(path, []byte(unlimited), 0o600))
	d := &Deployment{TableDirectory: directory, Logs: io.Discard, FastEngines: true}
	assert.NilError(b, d.Start(context.Background()))
	b.Cleanup(func() { assert.NilError(b, d.Stop(context.Background())) })
	for _, k := range d.Bookings {
		k.Delay = 0
	}
	return d
}

// book makes a booking and returns the time until its answer is complete. An
// empty key sends no Idempotency-Key header.
func book(client *http.Client, address, name, key string) (time.Duration, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/services/pitch_booking/bookings",
		strings.NewReader(fmt.Sprintf(`{"booking":%q}`, name)))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer "+MarketKey)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	begin := time.Now()
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return time.Since(begin), err
}

// BenchmarkKey compares a booking with a fresh idempotency key with a booking
// without a key. For a key, its home asks two witnesses. Each round sends both
// bookings, one after the other.
func BenchmarkKey(b *testing.B) {
	d := startFastBookings(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	// warmUp is the number of rounds until the limits of the sidecars are
	// those of a warm upstream.
	const warmUp = 200
	var plain, keyed []answerTimes
	pitches := 0
	round := func() {
		pitches++
		name := fmt.Sprintf("pitch-%d", pitches)
		p, err := book(client, d.GatewayAddresses()[0], name, "")
		assert.NilError(b, err)
		k, err := book(client, d.GatewayAddresses()[0], name, name)
		assert.NilError(b, err)
		plain, keyed = append(plain, answerTimes{firstToken: p}), append(keyed, answerTimes{firstToken: k})
	}
	for range warmUp {
		round()
	}
	plain, keyed = nil, nil
	for b.Loop() {
		round()
	}
	of := func(t answerTimes) time.Duration { return t.firstToken }
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		p, k := quantile(plain, q.at, of), quantile(keyed, q.at, of)
		b.ReportMetric(micros(p), "plain-"+q.name+"-us")
		b.ReportMetric(micros(k), "keyed-"+q.name+"-us")
		b.ReportMetric(micros(k-p), "added-"+q.name+"-us")
	}
	b.ReportMetric(0, "ns/op")
	total := 0
	for _, k := range d.Bookings {
		total += k.Stats().Total
	}
	assert.Equal(b, total, 2*pitches, "each booking must run once without and once with its key")
}
