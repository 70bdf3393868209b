package main

import (
	_ "embed"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/process"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/platform"
)

//go:embed direct_usage.txt
var directUsage string

var directSubcommand = subcommand{
	name:    "direct",
	summary: "take callers' requests on an entry VM and send them to upstreams directly",
	usage:   directUsage,
	command: func(o output) flags.Commander { return &directCommand{stdout: o.stdout} },
}

// directCommand runs a gateway that sends to upstreams directly.
type directCommand struct {
	SettingsFile string `long:"settings" env:"JASMINEWING_NODE_FILE" value-name:"FILE" description:"settings file of the users' platform"`
	MetricsPort  uint16 `long:"metrics-port" env:"JASMINEWING_METRICS_PORT" value-name:"PORT" default:"9401" description:"port of the VM's address that serves metrics"`

	stdout io.Writer
}

// storeClient keeps few connections: one for the watch, one for reads.
func storeClient() *http.Client {
	const connectTimeout = 500 * time.Millisecond
	d := net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: 2, DisableCompression: true,
	}}
}

// Execute checks the settings and runs until it is stopped.
func (c *directCommand) Execute([]string) error {
	s, err := platform.ReadSettings(c.SettingsFile)
	if err != nil {
		return err
	}
	writer := event.NewWriter()
	p := &process.Direct{
		Name: s.Name, DataCentre: s.DataCentre,
		Listen: fleet.Address(s.Callers), ReadyListen: fleet.Address(s.Ready), PeerListen: fleet.Address(s.Gateways),
		MetricsListen: fleet.Address(fmt.Sprintf("%s:%d", s.IP, c.MetricsPort)),
		ReadyPath:     platform.ReadyPath,
		Seeds:         s.Seeds,
		// The settings hold no secret; the store's address keeps apart two
		// deployments that reach each other by mistake.
		Secret: wire.Secret(s.StoreAddress),
		Memory: s.MemoryBytes, StopLimit: s.StopLimit, Repeats: s.Repeats,
		Store: &platform.Store{Address: s.StoreAddress, Client: storeClient()}, Decode: platform.Decode,
		Callers: platform.Callers{}, Upstreams: platform.Upstreams{},
		Reread: func() (placement.RepeatBounds, error) {
			now, err := platform.ReadSettings(c.SettingsFile)
			if err != nil {
				return placement.RepeatBounds{}, err
			}
			return now.Repeats, nil
		},
		Log: &event.Log{Logger: log.NewWithOptions(writer, log.Options{
			ReportTimestamp: true, TimeFormat: time.RFC3339Nano,
			TimeFunction: func(t time.Time) time.Time { return t.UTC() },
		})},
		Writer: writer, Stdout: c.stdout,
	}
	if c.stdout == nil {
		p.Stdout = os.Stdout
	}
	return ended(process.Run(p.App(), p.Log))
}
