package fleet

import (
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Serving returns the sidecar VMs whose upstream serves the given model or plain
// service and that are neither leaving nor out, in the order of the VM list. It
// returns none if there is no table.
func (v *View) Serving(kind table.UpstreamKind, s table.ServiceName) []VM {
	if v.Table == nil {
		return nil
	}
	var vms []VM
	for _, vm := range v.VMs.VMs {
		if vm.Role != Sidecar || vm.State == Leaving {
			continue
		}
		row, ok := v.Table.Upstreams[vm.Upstream]
		if ok && row.CanServe(kind, s) && v.Table.RefusalCode(row) == result.OK {
			vms = append(vms, vm)
		}
	}
	return vms
}
