package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
)

// VMs reads the VM list. It is a fleet.VMLister.
type VMs struct {
	Client Client
}

// List waits up to wait for a VM list newer than after. It returns an empty list if
// there is none.
func (v *VMs) List(ctx context.Context, after fleet.ListVersion, wait time.Duration) (fleet.VMList, error) {
	resp, err := v.Client.get(ctx, "/v1/vms", longPollQuery(uint64(after), wait), wait, http.StatusOK, http.StatusNotModified)
	if err != nil {
		return fleet.VMList{}, asVMListError(err)
	}
	var l fleet.VMList
	if resp.status == http.StatusNotModified {
		return l, nil
	}
	if err := json.Unmarshal(resp.body, &l); err != nil {
		return fleet.VMList{}, result.Errorf(result.VMListUnreached, "read VM list: %w", err)
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
