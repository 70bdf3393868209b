package setting

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
)

// maxStopDuration is the maximum of the settings that bound the phases of a stop.
const maxStopDuration = 24 * time.Hour

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// checker validates settings and collects the errors.
type checker struct{ errs []error }

// listener is a setting whose value is an address to listen on.
type listener struct {
	setting string
	address fleet.Address
}

func badSetting(setting, value, expected string) error {
	return result.Errorf(result.BadSetting, "--%s (%s) is %q, expected %s", setting, envName(setting), value, expected)
}

// envName returns the name of the environment variable of a setting.
func envName(setting string) string {
	return "JASMINEWING_" + strings.ToUpper(strings.ReplaceAll(setting, "-", "_"))
}

func (k *checker) reject(setting, value, expected string) {
	k.errs = append(k.errs, badSetting(setting, value, expected))
}

func (k *checker) name(setting, value string) {
	if len(value) > maxNameBytes || !namePattern.MatchString(value) {
		k.reject(setting, value, fmt.Sprintf("a name of up to %d characters from A-Z a-z 0-9 . _ -", maxNameBytes))
	}
}

// secret validates a secret. Its errors do not contain the value.
func (k *checker) secret(setting string, s Secret) {
	if len(s) < minSecretBytes {
		k.errs = append(k.errs, result.Errorf(result.BadSetting, "--%s (%s) is %d bytes long, expected at least %d bytes", setting, envName(setting), len(s), minSecretBytes))
		return
	}
	for _, r := range s {
		if r <= ' ' || r > '~' {
			k.errs = append(k.errs, result.Errorf(result.BadSetting, "--%s (%s) contains a character that is not printable ASCII", setting, envName(setting)))
			return
		}
	}
}

func parseAddress(a fleet.Address) (netip.AddrPort, bool) {
	p, err := netip.ParseAddrPort(string(a))
	return p, err == nil
}

// listen validates an address to listen on. With port 0 the operating system
// chooses a port.
func (k *checker) listen(setting string, a fleet.Address) {
	if _, ok := parseAddress(a); !ok {
		k.reject(setting, string(a), "IP:port, not a host name")
	}
}

// remote validates an address to connect to.
func (k *checker) remote(setting string, a fleet.Address) {
	p, ok := parseAddress(a)
	if !ok {
		k.reject(setting, string(a), "IP:port, not a host name")
		return
	}
	if p.Port() == 0 || p.Addr().IsUnspecified() || p.Addr().IsMulticast() {
		k.reject(setting, string(a), "the IP address and port of a single process")
	}
}

// nonLoopback reports whether a listener on the address can be reached from other
// machines.
func nonLoopback(a fleet.Address) bool {
	p, ok := parseAddress(a)
	return ok && !p.Addr().Unmap().IsLoopback()
}

// distinct rejects listeners that share an address.
func (k *checker) distinct(ls ...listener) {
	for i, l := range ls {
		p, ok := parseAddress(l.address)
		if !ok || p.Port() == 0 {
			continue
		}
		for _, other := range ls[:i] {
			if q, _ := parseAddress(other.address); q == p {
				k.reject(l.setting, string(l.address), "an address that differs from --"+other.setting)
			}
		}
	}
}

func (k *checker) duration(setting string, d Duration, low, high time.Duration) {
	if d.malformed != nil {
		k.reject(setting, *d.malformed, "a duration with a unit, such as 2s")
	} else if d.Duration < low || d.Duration > high {
		k.reject(setting, d.String(), fmt.Sprintf("%v to %v", low, high))
	}
}

func (k *checker) count(setting string, c Count, low, high int) {
	if c.malformed != nil {
		k.reject(setting, *c.malformed, "a whole number")
	} else if c.N < low || c.N > high {
		k.reject(setting, strconv.Itoa(c.N), fmt.Sprintf("%d to %d", low, high))
	}
}

func (k *checker) bytes(setting string, b Bytes, low, high int64) {
	if b.malformed != nil {
		k.reject(setting, *b.malformed, "a number of bytes, such as 4194304 or 4MiB")
	} else if b.N < low || b.N > high {
		k.reject(setting, strconv.FormatInt(b.N, 10), fmt.Sprintf("%d to %d bytes", low, high))
	}
}

func (k *checker) share(setting string, s Share) {
	if s.malformed != nil {
		k.reject(setting, *s.malformed, "a number from 0 to 1")
	} else if s.Fraction < 0 || s.Fraction > 1 {
		k.reject(setting, strconv.FormatFloat(s.Fraction, 'g', -1, 64), "0 to 1")
	}
}
