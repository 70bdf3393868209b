package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
)

// VMs reads the VM list. It is a fleet.VMLister.
type VMs struct {
	Client Client
	// Log may be nil.
	Log *event.Log
}

// List waits up to wait for a VM list newer than after. It returns an empty list if
// there is none.
func (v *VMs) List(ctx context.Context, after fleet.ListVersion, wait time.Duration) (fleet.VMList, error) {
	resp, err := v.Client.get(ctx, "/v1/vms", longPollQuery(uint64(after), wait), wait, http.StatusOK, http.StatusNotModified)
	if err != nil {
		return fleet.VMList{}, asVMListError(err)
	}
	if resp.status == http.StatusNotModified {
		return fleet.VMList{}, nil
	}
	var raw struct {
		Version uint64            `json:"version"`
		VMs     fleet.ListEntries `json:"vms"`
	}
	if err := json.Unmarshal(resp.body, &raw); err != nil {
		return fleet.VMList{}, result.Errorf(result.VMListUnreached, "read VM list: %w", err)
	}
	version, err := resp.join(raw.Version)
	if err != nil {
		return fleet.VMList{}, result.Errorf(result.VMListUnreached, "read VM list: %w", err)
	}
	l := fleet.VMList{Version: fleet.ListVersion(version), VMs: make([]fleet.VM, 0, len(raw.VMs))}
	for n, entry := range raw.VMs {
		var vm fleet.VM
		if err := json.Unmarshal(entry, &vm); err != nil {
			v.Log.WriteThrottled(event.EntrySkipped, strconv.Itoa(n), "key", "vms/"+strconv.Itoa(n), "error", err)
			continue
		}
		l.VMs = append(l.VMs, vm)
	}
	return l, nil
}

// asVMListError replaces the code result.ConfigUnreached, so that the error names
// the VM list instead of the configuration service.
func asVMListError(err error) error {
	if result.CodeOf(err) == result.ConfigUnreached {
		return result.Errorf(result.VMListUnreached, "VM list: %w", err)
	}
	return err
}
