// Package setting defines the settings of the programs, given as flags or as
// environment variables whose names are JASMINEWING_ and the name of the flag.
//
// Parsing never fails on a value: a malformed duration or number is kept, and
// Validate reports all errors at once. No listener may be opened before Validate
// and, once there is a table, ValidateAgainst have returned no error.
//
// # Usage
//
//	var s setting.Gateway
//	if _, err := flags.Parse(&s); err != nil {
//		return err
//	}
//	for _, err := range s.Validate() {
//		// each names the setting, its value and the expected form
//	}
package setting

import (
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Bounds of common settings.
const (
	// minSecretBytes is the minimum length of the fleet's secret and of the
	// administration token.
	minSecretBytes = 16
	// maxNameBytes is the maximum length of a name.
	maxNameBytes = 64
	minBodySize  = 1 << 10
	maxBodySize  = 1 << 30
	// minAnswerMemory is the least memory in which answers of ordinary size find room beside
	// large ones.
	minAnswerMemory = 4 << 20
	maxAnswerMemory = 1 << 40
)

// Secret is a string that formatting never prints.
type Secret string

// String returns a placeholder, so that the secret is not printed.
func (s Secret) String() string { return "(hidden)" }

// GoString returns a placeholder, so that the secret is not printed.
func (s Secret) GoString() string { return "(hidden)" }

// Common contains the settings that all long-running programs share.
type Common struct {
	Name       fleet.VMName         `long:"name" env:"JASMINEWING_NAME" value-name:"NAME" description:"name of this VM in the VM list"`
	DataCentre table.DataCentreName `long:"data-centre" env:"JASMINEWING_DATA_CENTRE" value-name:"NAME" description:"data centre of this VM, a row of the table"`

	AdminListen fleet.Address `long:"admin-listen" env:"JASMINEWING_ADMIN_LISTEN" value-name:"IP:PORT" default:"127.0.0.1:9401" description:"address to listen on for the administration API and metrics; loopback only, unless a token is set"`
	AdminToken  Secret        `long:"admin-token" env:"JASMINEWING_ADMIN_TOKEN" value-name:"TOKEN" default-mask:"-" description:"bearer token of the administration API; better given in the environment"`
	FleetSecret Secret        `long:"fleet-secret" env:"JASMINEWING_FLEET_SECRET" value-name:"SECRET" default-mask:"-" description:"secret shared by all processes of the fleet, at least 16 bytes; better given in the environment"`

	ConfigAddress fleet.Address   `long:"config-address" env:"JASMINEWING_CONFIG_ADDRESS" value-name:"IP:PORT" description:"address of the platform's configuration service"`
	VMListAddress fleet.Address   `long:"vm-list-address" env:"JASMINEWING_VM_LIST_ADDRESS" value-name:"IP:PORT" description:"address of the platform's VM list"`
	Peers         []fleet.Address `long:"peer" env:"JASMINEWING_PEER" env-delim:"," value-name:"IP:PORT" description:"process of the fleet to contact at startup; may be repeated, in the environment separated by commas"`

	LogFormat LogFormat `long:"log-format" env:"JASMINEWING_LOG_FORMAT" value-name:"text|json" default:"text" description:"format of log lines"`
	LogLevel  LogLevel  `long:"log-level" env:"JASMINEWING_LOG_LEVEL" value-name:"LEVEL" default:"info" description:"minimum level that is logged: debug, info, warn or error"`

	MaxBody      Bytes    `long:"max-body" env:"JASMINEWING_MAX_BODY" value-name:"BYTES" default:"4MiB" description:"maximum size of a request body"`
	MaxAnswer    Bytes    `long:"max-answer" env:"JASMINEWING_MAX_ANSWER" value-name:"BYTES" default:"16MiB" description:"maximum size of an answer"`
	AnswerMemory Bytes    `long:"answer-memory" env:"JASMINEWING_ANSWER_MEMORY" value-name:"BYTES" default:"256MiB" description:"maximum size of all parts of answers that are held at a time; an answer that finds no room fails with 4021"`
	StopLimit    Duration `long:"stop-limit" env:"JASMINEWING_STOP_LIMIT" value-name:"DURATION" default:"0s" description:"maximum duration of a graceful stop; 0s waits until all requests in flight have ended"`
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
	k.bytes("answer-memory", c.AnswerMemory, minAnswerMemory, maxAnswerMemory)
	k.duration("stop-limit", c.StopLimit, 0, maxStopDuration)
}

func (c *Common) checkSecrets(k *checker) {
	if c.AdminToken != "" {
		k.secret("admin-token", c.AdminToken)
	} else if nonLoopback(c.AdminListen) {
		k.reject("admin-listen", string(c.AdminListen), "a loopback address, unless --admin-token is set")
	}
	k.secret("fleet-secret", c.FleetSecret)
}

// ValidateAgainst checks the settings against a table. Its errors have the code
// result.BadSetting.
func (c *Common) ValidateAgainst(t *table.Table) error {
	if _, ok := t.DataCentres[c.DataCentre]; !ok {
		return badSetting("data-centre", string(c.DataCentre), "a row of the table's section data_centres")
	}
	return nil
}
