package table

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"jasminewing.dev/jasminewing/pkg/result"
)

// waitsPerDeadline is the part of the deadline that max_wait defaults to.
const waitsPerDeadline = 4

// draft is a table while it is being read.
type draft struct {
	revision Revision
	// upstreamsRevision is that of the section upstreams.
	upstreamsRevision Revision
	dataCentres       []row[DataCentre]
	classes           []row[Class]
	upstreams         []row[Upstream]
	accounts          []row[Account]
	// unread holds the sections of which not all rows are known.
	unread map[string]bool
	faults []Fault
}

// Parse makes a table of its sections, in any order. With any fault there is no
// table, and all faults are given, sorted by section, row and column.
func Parse(sections []Section) (*Table, []Fault) {
	d := &draft{unread: make(map[string]bool)}
	given := make(map[string]bool)
	for _, s := range inOrder(sections) {
		if given[s.Name] {
			d.addFault(s.Name, 0, "", result.DuplicateRow, "the section is given twice")
			continue
		}
		given[s.Name] = true
		d.read(s)
	}
	d.checkSections(given)
	d.fillDefaults()
	d.check()
	if len(d.faults) > 0 {
		sortFaults(d.faults)
		return nil, d.faults
	}
	return d.table(), nil
}

// inOrder sorts the sections, so that the order in which they came changes
// nothing.
func inOrder(sections []Section) []Section {
	return slices.SortedStableFunc(slices.Values(sections), func(a, b Section) int {
		return cmp.Or(cmp.Compare(sectionRank(a.Name), sectionRank(b.Name)), cmp.Compare(a.Name, b.Name))
	})
}

func (d *draft) addFault(section string, row int, column string, code result.Code, format string, args ...any) {
	d.faults = append(d.faults, Fault{section, row, column, code, fmt.Sprintf(format, args...)})
}

func (d *draft) read(s Section) {
	d.revision = max(d.revision, s.Revision)
	whole := wholeName(s.Name)
	if !IsSection(s.Name) {
		d.addFault(s.Name, 0, "", result.MissingSection, "no section has this name; sections are %s", strings.Join(sectionOrder, ", "))
		return
	}
	sh, faults := readSheet(s)
	if len(faults) > 0 {
		d.unread[whole] = true
	}
	d.faults = append(d.faults, faults...)
	if sh.headerRow == 0 {
		if len(faults) == 0 {
			d.addFault(s.Name, 0, "", result.MissingColumn, "the section has no header")
		}
		d.unread[whole] = true
		return
	}
	switch whole {
	case DataCentresSection:
		readInto(d, &d.dataCentres, sh, dataCentreColumns)
	case ClassesSection:
		readInto(d, &d.classes, sh, classColumns)
	case UpstreamsSection:
		d.upstreamsRevision = s.Revision
		readInto(d, &d.upstreams, sh, upstreamColumns)
	case AccountsSection:
		readInto(d, &d.accounts, sh, accountColumns)
	}
}

func readInto[T any](d *draft, rows *[]row[T], sh sheet, columns []column[T]) {
	rs, faults := readRows(sh, columns)
	*rows = append(*rows, rs...)
	d.faults = append(d.faults, faults...)
	if !slices.Contains(sh.header, "name") {
		d.unread[wholeName(sh.section)] = true
	}
}

// checkSections refuses a table of which a section is missing or has no rows:
// an emptied sheet is taken for a mistake.
func (d *draft) checkSections(given map[string]bool) {
	held := make(map[string]bool)
	for name := range given {
		held[wholeName(name)] = true
	}
	counts := map[string]int{
		DataCentresSection: len(d.dataCentres),
		ClassesSection:     len(d.classes),
		UpstreamsSection:   len(d.upstreams),
		AccountsSection:    len(d.accounts),
	}
	for _, name := range sectionOrder {
		if d.unread[name] {
			continue
		}
		if !held[name] {
			d.unread[name] = true
			d.addFault(name, 0, "", result.MissingSection, "the table needs this section")
		} else if counts[name] == 0 {
			d.unread[name] = true
			d.addFault(name, 0, "", result.MissingSection, "the section has no rows")
		}
	}
}

// fillDefaults fills cells whose default depends on others.
func (d *draft) fillDefaults() {
	for i := range d.classes {
		c := &d.classes[i].value
		if c.MaxWait == 0 {
			c.MaxWait = c.Deadline / waitsPerDeadline
		}
	}
	for i := range d.accounts {
		a := &d.accounts[i].value
		if a.Burst == 0 {
			a.Burst = max(1, int(math.Ceil(a.RequestsPerSecond)))
		}
	}
}

func (d *draft) table() *Table {
	t := &Table{
		Revision:          d.revision,
		UpstreamsRevision: d.upstreamsRevision,
		DataCentres:       make(map[DataCentreName]DataCentre, len(d.dataCentres)),
		Upstreams:         make(map[UpstreamName]Upstream, len(d.upstreams)),
		Classes:           make(map[ClassName]Class, len(d.classes)),
		Accounts:          make(map[AccountName]Account, len(d.accounts)),
	}
	for _, r := range d.dataCentres {
		t.DataCentres[r.value.Name] = r.value
	}
	for _, r := range d.upstreams {
		t.Upstreams[r.value.Name] = r.value
	}
	for _, r := range d.classes {
		t.Classes[r.value.Name] = r.value
	}
	for _, r := range d.accounts {
		t.Accounts[r.value.Name] = r.value
	}
	t.index()
	return t
}
