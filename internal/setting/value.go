package setting

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Duration is a setting with a unit, such as 2s.
type Duration struct {
	time.Duration
	malformed *string
}

// Count is a setting that is a whole number.
type Count struct {
	N         int
	malformed *string
}

// Bytes is a setting that is a size in bytes, optionally with the unit KiB, MiB or
// GiB.
type Bytes struct {
	N         int64
	malformed *string
}

// Share is a setting that is a fraction from 0 to 1.
type Share struct {
	Fraction  float64
	malformed *string
}

// UnmarshalFlag parses a duration. It never fails; Validate reports a malformed
// value.
func (d *Duration) UnmarshalFlag(text string) error {
	v, err := time.ParseDuration(text)
	*d = Duration{Duration: v, malformed: malformedText(text, err == nil)}
	return nil
}

// UnmarshalFlag parses a whole number. It never fails; Validate reports a malformed
// value.
func (c *Count) UnmarshalFlag(text string) error {
	v, err := strconv.Atoi(text)
	*c = Count{N: v, malformed: malformedText(text, err == nil)}
	return nil
}

// UnmarshalFlag parses a size. It never fails; Validate reports a malformed value.
func (b *Bytes) UnmarshalFlag(text string) error {
	v, ok := parseBytes(text)
	*b = Bytes{N: v, malformed: malformedText(text, ok)}
	return nil
}

// UnmarshalFlag parses a share. It never fails; Validate reports a malformed value.
func (s *Share) UnmarshalFlag(text string) error {
	v, err := strconv.ParseFloat(text, 64)
	*s = Share{Fraction: v, malformed: malformedText(text, err == nil && !math.IsNaN(v))}
	return nil
}

// malformedText returns the text of a malformed value, nil for a valid one.
func malformedText(text string, ok bool) *string {
	if ok {
		return nil
	}
	return &text
}

var byteUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}}

func parseBytes(text string) (int64, bool) {
	factor := int64(1)
	for _, u := range byteUnits {
		if t, ok := strings.CutSuffix(text, u.suffix); ok {
			text, factor = t, u.bytes
			break
		}
	}
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v > math.MaxInt64/factor || v < math.MinInt64/factor {
		return 0, false
	}
	return v * factor, true
}
