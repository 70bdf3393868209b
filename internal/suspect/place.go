package suspect

import (
	"crypto/sha256"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/table"
)

// fingerprintBytes is the length of a Fingerprint.
const fingerprintBytes = 16

// Fingerprint names a request across repeats. It is a string of bytes, not of
// text.
type Fingerprint string

// FingerprintOf gives the fingerprint of a body of an account.
func FingerprintOf(a table.AccountName, bodyHash []byte) Fingerprint {
	h := sha256.New()
	_, _ = h.Write([]byte(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(bodyHash)
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}

// Place gives the only VM at which a suspect may run: the first of its
// rendezvous order. It is false for no VMs.
func Place(f Fingerprint, vms []fleet.VM) (fleet.VM, bool) {
	var (
		first fleet.VM
		best  uint64
	)
	for i, vm := range vms {
		score := xxhash.Sum64String(string(vm.Name) + "\x00" + string(f))
		if i == 0 || score > best || score == best && vm.Name < first.Name {
			first, best = vm, score
		}
	}
	return first, len(vms) > 0
}
