package setting

import (
	"errors"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Sidecar contains the settings of a sidecar.
type Sidecar struct {
	Common

	Listen fleet.Address `long:"listen" env:"JASMINEWING_LISTEN" value-name:"IP:PORT" description:"address to listen on for other processes of the fleet"`

	UpstreamName    table.UpstreamName `long:"upstream-name" env:"JASMINEWING_UPSTREAM_NAME" value-name:"NAME" description:"upstream of this sidecar, a row of the table"`
	UpstreamAddress fleet.Address      `long:"upstream-address" env:"JASMINEWING_UPSTREAM_ADDRESS" value-name:"IP:PORT" description:"address of the upstream"`

	MaxParked Count `long:"max-parked" env:"JASMINEWING_MAX_PARKED" value-name:"N" default:"1024" description:"maximum number of offers waiting at this sidecar"`
	MaxKeys   Count `long:"max-keys" env:"JASMINEWING_MAX_KEYS" value-name:"N" default:"50000" description:"maximum number of idempotency keys that are kept"`

	WeightLoadsPerMinute Count `long:"weight-loads-per-minute" env:"JASMINEWING_WEIGHT_LOADS_PER_MINUTE" value-name:"N" default:"60" description:"number of loads from the weight store that all sidecars together may start per minute; must be the same for all sidecars"`
}

// Bounds of a sidecar's settings.
const (
	maxParked = 1_000_000
	maxKeys   = 10_000_000
	// maxWeightLoads is low enough that a time slot is longer than the interval of a
	// sidecar's ticks.
	maxWeightLoads = 600
)

// Validate returns all errors, in the order of the settings. Each is a *result.Error
// with the code result.BadSetting.
func (s *Sidecar) Validate() []error {
	var k checker
	s.check(&k)
	k.listen("listen", s.Listen)
	k.distinct(listener{"admin-listen", s.AdminListen}, listener{"listen", s.Listen})
	k.name("upstream-name", string(s.UpstreamName))
	k.remote("upstream-address", s.UpstreamAddress)
	k.count("max-parked", s.MaxParked, 1, maxParked)
	k.count("max-keys", s.MaxKeys, 1, maxKeys)
	k.count("weight-loads-per-minute", s.WeightLoadsPerMinute, 1, maxWeightLoads)
	return k.errs
}

// ValidateAgainst checks the settings against a table. Its errors have the code
// result.BadSetting.
func (s *Sidecar) ValidateAgainst(t *table.Table) error {
	return errors.Join(s.Common.ValidateAgainst(t), s.checkUpstream(t))
}

func (s *Sidecar) checkUpstream(t *table.Table) error {
	u, ok := t.Upstreams[s.UpstreamName]
	if !ok {
		return badSetting("upstream-name", string(s.UpstreamName), "a row of the table's section upstreams")
	}
	if u.DataCentre != s.DataCentre {
		return badSetting("data-centre", string(s.DataCentre), "the data centre of the upstream's row, "+string(u.DataCentre))
	}
	return nil
}
