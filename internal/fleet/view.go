// Package fleet maintains what a process knows about the fleet: the table, the VM
// list, and when the configuration service last confirmed, directly or through a
// peer, that the table is current.
//
// Core processes messages with the current time and returns effects, without
// I/O. Task runs a Core with timers and network calls. Other packages read the
// current View and never modify it.
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

// Identifiers and versions of the fleet.
type (
	// VMName is the name of a VM in the VM list.
	VMName string
	// Incarnation is the random ID of one run of one process.
	Incarnation string
	// Address is IP:port.
	Address string
	// Source is who sent a value: SourceService, or the address of a peer.
	Source string
	// ListVersion is the version of the VM list; it only increases. Its upper bits are
	// the era in which the service gave it.
	ListVersion uint64
)

// SourceService is the source of what the configuration service itself returned.
const SourceService Source = "service"

func (v ListVersion) era() table.Era {
	e, _ := table.Split(uint64(v))
	return e
}

// Role is the kind of process that runs on a VM.
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

// VM is an entry in the VM list.
type VM struct {
	Name       VMName               `json:"vm"`
	Role       Role                 `json:"role"`
	DataCentre table.DataCentreName `json:"data_centre"`
	// Upstream names the table row of the upstream that a sidecar serves.
	Upstream table.UpstreamName `json:"upstream,omitempty"`
	// Address is where the process accepts drpc connections.
	Address Address `json:"address"`
	State   VMState `json:"state"`
}

// VMList is one version of the VM list. It is immutable.
type VMList struct {
	Version ListVersion `json:"version"`
	VMs     []VM        `json:"vms"`
}

// View is an immutable snapshot of what a process knows about the fleet.
type View struct {
	// Table is nil until the first valid table is in force.
	Table *table.Table
	// TableSource is who sent the last value before the table came into force, which was at
	// TableAppliedAt.
	TableSource    Source
	TableAppliedAt time.Time
	VMs            VMList
	// Ready means that the table and the VM list are present and that peers were
	// asked. Once set, it stays set.
	Ready bool
	// ConfirmedAt is when the configuration service last confirmed the table,
	// to this process or to a peer that reported the confirmation.
	ConfirmedAt time.Time
	// Paused means that this process was suspended and has not heard from a
	// peer or the configuration service since. A paused process neither
	// dispatches nor grants.
	Paused bool
}
