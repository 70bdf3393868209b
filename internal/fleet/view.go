// Package fleet is what a process knows of the fleet: the table, the VM list,
// and how fresh both are.
//
// The core takes messages and the time and returns effects; Task puts sockets
// and timers round it. Others read the current View and never change it.
//
// # Usage
//
//	t := &fleet.Task{Self: self, Config: c, VMs: l, Peers: p, Now: time.Now, Parse: parse}
//	changed := t.Changed()
//	go t.Run(ctx)
//	for range changed {
//		v := t.View()
//	}
package fleet

import (
	"time"

	"jasminewing.dev/jasminewing/pkg/table"
)

// Names and units of the fleet.
type (
	// VMName names a VM of the list.
	VMName string
	// Incarnation is the random id of one run of one process.
	Incarnation string
	// Address is IP:port.
	Address string
	// ListVersion is the version of the VM list; it only grows.
	ListVersion uint64
)

// Role says what runs on a VM.
type Role string

// Roles of VMs.
const (
	Gateway Role = "gateway"
	Sidecar Role = "sidecar"
)

// VMState is a VM's state in the list.
type VMState string

// States of VMs.
const (
	Live    VMState = "live"
	Leaving VMState = "leaving"
)

// VM is an entry of the VM list.
type VM struct {
	Name       VMName               `json:"vm"`
	Role       Role                 `json:"role"`
	DataCentre table.DataCentreName `json:"data_centre"`
	// Upstream is the row of the table that a sidecar stands before.
	Upstream table.UpstreamName `json:"upstream,omitempty"`
	// Address is where the process speaks drpc.
	Address Address `json:"address"`
	State   VMState `json:"state"`
}

// VMList is a version of the VM list. It is never changed once made.
type VMList struct {
	Version ListVersion `json:"version"`
	VMs     []VM        `json:"vms"`
}

// View is what a process knows at one time. It is never changed once made.
type View struct {
	// Table is nil until a first valid table is in force.
	Table *table.Table
	VMs   VMList
	// Ready says that table and VM list are there and that peers were asked.
	Ready bool
	// ConfirmedAt is when the configuration service last confirmed the table,
	// as far as this process has heard.
	ConfirmedAt time.Time
	// Paused says that this process was paused and has heard from nobody since.
	// It neither dispatches nor grants.
	Paused bool
}
