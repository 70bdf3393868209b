// Package setting holds the settings of the programs, given as flags or as
// environment variables named JASMINEWING_ and the flag's name.
//
// Reading them never fails on a value: a value that is no duration or number is
// kept, and Validate tells all faults at once. Nothing may listen before
// Validate and, once there is a table, ValidateAgainst found none.
//
// # Usage
//
//	var s setting.Gateway
//	if _, err := flags.Parse(&s); err != nil {
//		return err
//	}
//	for _, err := range s.Validate() {
//		// each names the setting, its value and what is expected
//	}
package setting

import (
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Bounds of common settings.
const (
	// minSecretBytes is the least length of the fleet's secret and of the
	// administration token.
	minSecretBytes = 16
	// maxNameBytes is the most bytes of a name.
	maxNameBytes = 64
	minBodySize  = 1 << 10
	maxBodySize  = 1 << 30
)

// Secret is a value that is never printed.
type Secret string

// String hides the secret.
func (s Secret) String() string { return "(hidden)" }

// GoString hides the secret.
func (s Secret) GoString() string { return "(hidden)" }

// Common are the settings that all long-running programs have.
type Common struct {
	Name       fleet.VMName         `long:"name" env:"JASMINEWING_NAME" value-name:"NAME" description:"name of this VM, as the VM list has it"`
	DataCentre table.DataCentreName `long:"data-centre" env:"JASMINEWING_DATA_CENTRE" value-name:"NAME" description:"data centre this VM stands in, a row of the table"`

	AdminListen fleet.Address `long:"admin-listen" env:"JASMINEWING_ADMIN_LISTEN" value-name:"IP:PORT" default:"127.0.0.1:9401" description:"where to listen for operators and metrics; loopback only, unless a token is set"`
	AdminToken  Secret        `long:"admin-token" env:"JASMINEWING_ADMIN_TOKEN" value-name:"TOKEN" default-mask:"-" description:"bearer token of the administration API; better given in the environment"`
	FleetSecret Secret        `long:"fleet-secret" env:"JASMINEWING_FLEET_SECRET" value-name:"SECRET" default-mask:"-" description:"secret that all processes of the fleet share, at least 16 bytes; better given in the environment"`

	ConfigAddress fleet.Address   `long:"config-address" env:"JASMINEWING_CONFIG_ADDRESS" value-name:"IP:PORT" description:"the platform's configuration service"`
	VMListAddress fleet.Address   `long:"vm-list-address" env:"JASMINEWING_VM_LIST_ADDRESS" value-name:"IP:PORT" description:"the platform's VM list"`
	Peers         []fleet.Address `long:"peer" env:"JASMINEWING_PEER" env-delim:"," value-name:"IP:PORT" description:"a process of the fleet to ask at the start; may be repeated, in the environment separated by commas"`

	LogFormat LogFormat `long:"log-format" env:"JASMINEWING_LOG_FORMAT" value-name:"text|json" default:"text" description:"format of log lines"`
	LogLevel  LogLevel  `long:"log-level" env:"JASMINEWING_LOG_LEVEL" value-name:"LEVEL" default:"info" description:"least level that is logged: debug, info, warn or error"`

	MaxBody   Bytes    `long:"max-body" env:"JASMINEWING_MAX_BODY" value-name:"BYTES" default:"4MiB" description:"most bytes of a request's body"`
	MaxAnswer Bytes    `long:"max-answer" env:"JASMINEWING_MAX_ANSWER" value-name:"BYTES" default:"16MiB" description:"most bytes of an answer"`
	StopLimit Duration `long:"stop-limit" env:"JASMINEWING_STOP_LIMIT" value-name:"DURATION" default:"0s" description:"most time that a graceful stop may take; 0s for until all in flight has ended"`
}

func (c *Common) check(k *checker) {
	k.name("name", string(c.Name))
	k.name("data-centre", string(c.DataCentre))
	k.listen("admin-listen", c.AdminListen)
	c.checkSecrets(k)
	k.remote("config-address", c.ConfigAddress)
	k.remote("vm-list-address", c.VMListAddress)
	for _, p := range c.Peers {
		k.remote("peer", p)
	}
	c.checkLog(k)
	k.bytes("max-body", c.MaxBody, minBodySize, maxBodySize)
	k.bytes("max-answer", c.MaxAnswer, minBodySize, maxBodySize)
	k.duration("stop-limit", c.StopLimit, 0, maxStopDuration)
}

func (c *Common) checkSecrets(k *checker) {
	if c.AdminToken != "" {
		k.secret("admin-token", c.AdminToken)
	} else if nonLoopback(c.AdminListen) {
		k.reject("admin-listen", string(c.AdminListen), "a loopback address, or a setting admin-token")
	}
	k.secret("fleet-secret", c.FleetSecret)
}

// ValidateAgainst holds the settings against a table. Its errors have the code
// result.BadSetting.
func (c *Common) ValidateAgainst(t *table.Table) error {
	if _, ok := t.DataCentres[c.DataCentre]; !ok {
		return badSetting("data-centre", string(c.DataCentre), "a row of the table's section data_centres")
	}
	return nil
}
