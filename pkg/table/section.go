package table

import (
	"regexp"
	"slices"
)

// MaxSectionBytes is the maximum size of a section. The configuration service
// cannot store a larger value.
const MaxSectionBytes = 1_000_000

// Names of sections. Accounts may be split into parts named accounts_00,
// accounts_01 and so on.
const (
	DataCentresSection = "data_centres"
	ClassesSection     = "classes"
	UpstreamsSection   = "upstreams"
	AccountsSection    = "accounts"
)

var sectionOrder = []string{DataCentresSection, ClassesSection, UpstreamsSection, AccountsSection}

var accountsPart = regexp.MustCompile(`^accounts_[0-9]{1,4}$`)

// Section is a value of the configuration service that holds one sheet as CSV.
type Section struct {
	Name     string
	Revision Revision
	Data     []byte
}

// IsSection reports whether name is the name of a section or of a part of one.
func IsSection(name string) bool {
	return slices.Contains(sectionOrder, baseSectionName(name))
}

// baseSectionName returns the name of the section that a part belongs to, and
// any other name unchanged.
func baseSectionName(name string) string {
	if accountsPart.MatchString(name) {
		return AccountsSection
	}
	return name
}

func sectionRank(name string) int {
	i := slices.Index(sectionOrder, baseSectionName(name))
	if i < 0 {
		return len(sectionOrder)
	}
	return i
}
