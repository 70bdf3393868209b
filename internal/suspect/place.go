package suspect

import (
	"crypto/sha256"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/table"
)

// fingerprintBytes is the length of a Fingerprint in bytes.
const fingerprintBytes = 16

// Fingerprint identifies a request across retries. It holds raw bytes, not
// text.
type Fingerprint string

// FingerprintOf returns the fingerprint of a request from the client account and
// the hash of the body.
func FingerprintOf(a table.AccountName, bodyHash []byte) Fingerprint {
	h := sha256.New()
	_, _ = h.Write([]byte(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(bodyHash)
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}

// Place returns the only VM that may run a suspect: the one with the highest
// rendezvous hash for the fingerprint. It returns false if vms is empty.
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
