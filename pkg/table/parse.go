package table

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"jasminewing.dev/jasminewing/pkg/result"
)

// maxWaitDivisor divides the deadline to get the default of max_wait.
const maxWaitDivisor = 4

// tableParser holds the rows and faults found while a table is parsed.
type tableParser struct {
	revision Revision
	// upstreamsRevision is the revision of the section upstreams.
	upstreamsRevision Revision
	dataCentres       []row[DataCentre]
	classes           []row[Class]
	upstreams         []row[Upstream]
	accounts          []row[Account]
	// incomplete holds the sections whose rows are not all known, because the
	// section is missing, empty or could not be read. Checks that need all rows skip
	// them.
	incomplete map[string]bool
	faults     []Fault
}

// Parse builds a table from its sections, which may be in any order. If there
// is any fault it returns no table but all faults, sorted by section, row and
// column.
func Parse(sections []Section) (*Table, []Fault) {
	p := &tableParser{incomplete: make(map[string]bool)}
	given := make(map[string]bool)
	for _, s := range sortedSections(sections) {
		if given[s.Name] {
			p.addFault(s.Name, 0, "", result.DuplicateRow, "the section is given twice")
			continue
		}
		given[s.Name] = true
		p.read(s)
	}
	p.checkSections(given)
	p.fillDefaults()
	p.check()
	if len(p.faults) > 0 {
		sortFaults(p.faults)
		return nil, p.faults
	}
	return p.table(), nil
}

// sortedSections returns the sections in a fixed order, so that the result does
// not depend on the order of the input.
func sortedSections(sections []Section) []Section {
	return slices.SortedStableFunc(slices.Values(sections), func(a, b Section) int {
		return cmp.Or(cmp.Compare(sectionRank(a.Name), sectionRank(b.Name)), cmp.Compare(a.Name, b.Name))
	})
}

func (p *tableParser) addFault(section string, row int, column string, code result.Code, format string, args ...any) {
	p.faults = append(p.faults, Fault{section, row, column, code, fmt.Sprintf(format, args...)})
}

func (p *tableParser) read(s Section) {
	p.revision = max(p.revision, s.Revision)
	base := baseSectionName(s.Name)
	if !IsSection(s.Name) {
		p.addFault(s.Name, 0, "", result.MissingSection, "no section has this name; sections are %s", strings.Join(sectionOrder, ", "))
		return
	}
	raw, faults := readRawSection(s)
	if len(faults) > 0 {
		p.incomplete[base] = true
	}
	p.faults = append(p.faults, faults...)
	if raw.headerRow == 0 {
		if len(faults) == 0 {
			p.addFault(s.Name, 0, "", result.MissingColumn, "the section has no header")
		}
		p.incomplete[base] = true
		return
	}
	switch base {
	case DataCentresSection:
		readInto(p, &p.dataCentres, raw, dataCentreColumns)
	case ClassesSection:
		readInto(p, &p.classes, raw, classColumns)
	case UpstreamsSection:
		p.upstreamsRevision = s.Revision
		readInto(p, &p.upstreams, raw, upstreamColumns)
	case AccountsSection:
		readInto(p, &p.accounts, raw, accountColumns)
	}
}

func readInto[T any](p *tableParser, rows *[]row[T], raw rawSection, columns []column[T]) {
	rs, faults := readRows(raw, columns)
	*rows = append(*rows, rs...)
	p.faults = append(p.faults, faults...)
	if !slices.Contains(raw.header, "name") {
		p.incomplete[baseSectionName(raw.section)] = true
	}
}

// checkSections reports sections that are missing or have no rows. An empty
// sheet is treated as a mistake.
func (p *tableParser) checkSections(given map[string]bool) {
	present := make(map[string]bool)
	for name := range given {
		present[baseSectionName(name)] = true
	}
	counts := map[string]int{
		DataCentresSection: len(p.dataCentres),
		ClassesSection:     len(p.classes),
		UpstreamsSection:   len(p.upstreams),
		AccountsSection:    len(p.accounts),
	}
	for _, name := range sectionOrder {
		if p.incomplete[name] {
			continue
		}
		if !present[name] {
			p.incomplete[name] = true
			p.addFault(name, 0, "", result.MissingSection, "the table needs this section")
		} else if counts[name] == 0 {
			p.incomplete[name] = true
			p.addFault(name, 0, "", result.MissingSection, "the section has no rows")
		}
	}
}

// fillDefaults fills empty cells whose default depends on other cells.
func (p *tableParser) fillDefaults() {
	for i := range p.classes {
		c := &p.classes[i].value
		if c.MaxWait == 0 {
			c.MaxWait = c.Deadline / maxWaitDivisor
		}
	}
	for i := range p.accounts {
		a := &p.accounts[i].value
		if a.Burst == 0 {
			a.Burst = max(1, int(math.Ceil(a.RequestsPerSecond)))
		}
	}
}

func (p *tableParser) table() *Table {
	t := &Table{
		Revision:          p.revision,
		UpstreamsRevision: p.upstreamsRevision,
		DataCentres:       make(map[DataCentreName]DataCentre, len(p.dataCentres)),
		Upstreams:         make(map[UpstreamName]Upstream, len(p.upstreams)),
		Classes:           make(map[ClassName]Class, len(p.classes)),
		Accounts:          make(map[AccountName]Account, len(p.accounts)),
	}
	for _, r := range p.dataCentres {
		t.DataCentres[r.value.Name] = r.value
	}
	for _, r := range p.upstreams {
		t.Upstreams[r.value.Name] = r.value
	}
	for _, r := range p.classes {
		t.Classes[r.value.Name] = r.value
	}
	for _, r := range p.accounts {
		t.Accounts[r.value.Name] = r.value
	}
	t.index()
	return t
}
