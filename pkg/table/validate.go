package table

import (
	"fmt"

	"jasminewing.dev/jasminewing/pkg/result"
)

// check reports faults that involve more than one cell: duplicates, dangling
// references, and cells of a row that contradict each other.
func (p *tableParser) check() {
	p.faults = append(p.faults, duplicates(p.dataCentres, "name", func(r *DataCentre) DataCentreName { return r.Name })...)
	p.faults = append(p.faults, duplicates(p.upstreams, "name", func(r *Upstream) UpstreamName { return r.Name })...)
	p.faults = append(p.faults, duplicates(p.classes, "name", func(r *Class) ClassName { return r.Name })...)
	p.faults = append(p.faults, duplicates(p.accounts, "name", func(r *Account) AccountName { return r.Name })...)
	p.faults = append(p.faults, duplicates(p.accounts, "key_sha256", func(r *Account) KeyHash { return r.KeyHash })...)
	p.checkUpstreams()
	p.checkClasses()
	p.checkAccounts()
}

// duplicates reports rows that share a value that must be unique. Empty cells
// are skipped because they have faults of their own.
func duplicates[T any, K comparable](rows []row[T], column string, key func(*T) K) []Fault {
	var faults []Fault
	var zero K
	first := make(map[K]*row[T], len(rows))
	for i := range rows {
		r := &rows[i]
		k := key(&r.value)
		if k == zero {
			continue
		}
		if f, found := first[k]; found {
			faults = append(faults, r.fault(column, result.DuplicateRow, "%s row %d has the same", f.section, f.number))
			continue
		}
		first[k] = r
	}
	return faults
}

func (p *tableParser) checkUpstreams() {
	centres := make(map[DataCentreName]bool)
	for _, r := range p.dataCentres {
		centres[r.value.Name] = true
	}
	for i := range p.upstreams {
		r := &p.upstreams[i]
		u := r.value
		if !p.incomplete[DataCentresSection] && u.DataCentre != "" && !centres[u.DataCentre] {
			p.faults = append(p.faults, r.fault("data_centre", result.DanglingReference, "no data centre %q", u.DataCentre))
		}
		if !r.valid {
			continue
		}
		if u.Kind == Plain && len(u.Serves) != 1 {
			p.faults = append(p.faults, r.fault("serves", result.InconsistentRow, "a plain upstream serves one service, not %d", len(u.Serves)))
		}
		if u.Kind == Plain && u.Load != "" {
			p.faults = append(p.faults, r.fault("load", result.InconsistentRow, "a plain upstream takes no orders"))
		}
		if u.ColdLimit > u.Limit {
			p.faults = append(p.faults, r.fault("cold_limit", result.InconsistentRow, "%d is above the limit of %d", u.ColdLimit, u.Limit))
		}
	}
}

func (p *tableParser) checkClasses() {
	served := make(map[ServiceName]bool)
	for _, r := range p.upstreams {
		for _, s := range r.value.Serves {
			served[s] = served[s] || r.value.Kind != Engine
		}
	}
	for i := range p.classes {
		r := &p.classes[i]
		c := r.value
		if !p.incomplete[UpstreamsSection] && c.Kind == Plain && c.Service != "" && !served[c.Service] {
			p.faults = append(p.faults, r.fault("service", result.DanglingReference, "no plain upstream serves %q", c.Service))
		}
		if !r.valid {
			continue
		}
		for _, x := range contradictions(c) {
			p.faults = append(p.faults, r.fault(x.column, result.InconsistentRow, "%s", x.detail))
		}
	}
}

// contradiction is a cell that conflicts with other cells of its row.
type contradiction struct {
	column string
	detail string
}

func contradictions(c Class) []contradiction {
	var xs []contradiction
	add := func(wrong bool, column, format string, args ...any) {
		if wrong {
			xs = append(xs, contradiction{column, fmt.Sprintf(format, args...)})
		}
	}
	add(c.Kind == Plain && c.Service == "", "service", "a plain class needs a service")
	add(c.Kind == Engine && c.Service != "", "service", "an engine class has no service; its requests name a model")
	add(c.Kind == Engine && c.TokenGap == 0, "token_gap", "an engine class needs a target between tokens")
	add(c.Kind == Plain && c.TokenGap != 0, "token_gap", "a plain service has no tokens")
	add(c.FirstToken > c.Deadline, "first_token", "%v is above the deadline of %v", c.FirstToken, c.Deadline)
	add(c.MaxWait > c.Deadline, "max_wait", "%v is above the deadline of %v", c.MaxWait, c.Deadline)
	add(!c.Idempotent && c.KeyWindow < c.Deadline, "key_window", "%v is below the deadline of %v; a key would be forgotten while it runs", c.KeyWindow, c.Deadline)
	return xs
}

func (p *tableParser) checkAccounts() {
	if p.incomplete[ClassesSection] {
		return
	}
	classes := make(map[ClassName]bool)
	for _, r := range p.classes {
		classes[r.value.Name] = true
	}
	for i := range p.accounts {
		r := &p.accounts[i]
		for _, c := range r.value.Classes {
			if !classes[c] {
				p.faults = append(p.faults, r.fault("classes", result.DanglingReference, "no class %q", c))
			}
		}
	}
}
