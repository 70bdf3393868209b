package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/standin"
)

type platformCommand struct {
	commandBase
	Listen         string        `long:"listen" default:"127.0.0.1:0" description:"IP:port of the configuration service"`
	ListenVMs      string        `long:"listen-vms" default:"127.0.0.1:0" description:"IP:port of the VM list"`
	ListenControl  string        `long:"listen-control" default:"127.0.0.1:0" description:"IP:port of the control API, under /config and /vms"`
	Directory      string        `long:"directory" description:"directory of the table's CSV files; edits are published"`
	VMs            string        `long:"vms" description:"JSON file with the initial VM list"`
	CallsPerSecond float64       `long:"calls-per-second" description:"rate limit of the configuration service; 0 for no limit"`
	VMLag          time.Duration `long:"vm-lag" default:"1s" description:"delay until a change of the VM list is visible"`
}

// Execute runs the configuration service, the VM list and the control API.
func (c *platformCommand) Execute([]string) error {
	config := &standin.Config{CallsPerSecond: c.CallsPerSecond}
	vms := &standin.VMs{Lag: c.VMLag}
	if err := c.loadVMs(vms); err != nil {
		return err
	}
	var tasks []func(context.Context) error
	if c.Directory != "" {
		d := &standin.Directory{Path: c.Directory, Config: config}
		if err := d.Load(); err != nil {
			return err
		}
		tasks = append(tasks, d.Run)
	}
	control := http.NewServeMux()
	control.Handle("/config/", http.StripPrefix("/config", config.Control()))
	control.Handle("/vms/", http.StripPrefix("/vms", vms.Control()))
	return c.serve([]server{
		{"listening", c.Listen, config.Service()},
		{"vms", c.ListenVMs, vms.Service()},
		{"control", c.ListenControl, control},
	}, tasks...)
}

func (c *platformCommand) loadVMs(vms *standin.VMs) error {
	if c.VMs == "" {
		return nil
	}
	data, err := os.ReadFile(c.VMs)
	if err != nil {
		return fmt.Errorf("read VM list: %w", err)
	}
	var list fleet.VMList
	if err := json.Unmarshal(data, &list); err != nil {
		return fmt.Errorf("read VM list: %w", err)
	}
	for _, vm := range list.VMs {
		vms.Set(vm)
	}
	return nil
}
