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

// Bytes is a size in bytes; it may be written with KiB, MiB or GiB.
type Bytes struct {
	N         int64
	malformed *string
}

// Share is a part of a whole, from 0 to 1.
type Share struct {
	Fraction  float64
	malformed *string
}

// UnmarshalFlag reads a duration. It never fails: Validate tells the fault.
func (d *Duration) UnmarshalFlag(text string) error {
	v, err := time.ParseDuration(text)
	*d = Duration{Duration: v, malformed: malformedText(text, err == nil)}
	return nil
}

// UnmarshalFlag reads a whole number. It never fails: Validate tells the fault.
func (c *Count) UnmarshalFlag(text string) error {
	v, err := strconv.Atoi(text)
	*c = Count{N: v, malformed: malformedText(text, err == nil)}
	return nil
}

// UnmarshalFlag reads a size. It never fails: Validate tells the fault.
func (b *Bytes) UnmarshalFlag(text string) error {
	v, ok := parseBytes(text)
	*b = Bytes{N: v, malformed: malformedText(text, ok)}
	return nil
}

// UnmarshalFlag reads a share. It never fails: Validate tells the fault.
func (s *Share) UnmarshalFlag(text string) error {
	v, err := strconv.ParseFloat(text, 64)
	*s = Share{Fraction: v, malformed: malformedText(text, err == nil && !math.IsNaN(v))}
	return nil
}

// malformedText is the text of a malformed value, nil for a good one.
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
