package table

import (
	"regexp"
	"slices"
)

// MaxSectionBytes is the most that one section may hold, for the configuration
// service holds no larger value.
const MaxSectionBytes = 1_000_000

// Names of sections. Accounts may also be split over accounts_00, accounts_01
// and so on.
const (
	DataCentresSection = "data_centres"
	ClassesSection     = "classes"
	UpstreamsSection   = "upstreams"
	AccountsSection    = "accounts"
)

var sectionOrder = []string{DataCentresSection, ClassesSection, UpstreamsSection, AccountsSection}

var accountsPart = regexp.MustCompile(`^accounts_[0-9]{1,4}$`)

// Section is a value of the configuration service: one sheet as CSV.
type Section struct {
	Name     string
	Revision Revision
	Data     []byte
}

// IsSection says whether name is the name of a section or of a part of one.
func IsSection(name string) bool {
	return slices.Contains(sectionOrder, baseSectionName(name))
}

// baseSectionName is the name of the section that a part belongs to.
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
