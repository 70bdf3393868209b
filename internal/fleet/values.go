package fleet

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/pkg/table"
)

// inForcePrefix marks, in messages between peers, the revision in force of a
// value whose newest revision is refused. A new process needs it to build a
// table.
const inForcePrefix = "="

// maxParseFailures bounds the failed parses in one call of combine: after that
// many, the remaining candidates are skipped.
const maxParseFailures = 12

// rewriteDelay is how long after the service was restored from a copy it may lack what is
// written again. A value of the copy doesn't replace a different one in force until the service
// has answered as of the end of this time. What the copy lacks is written again within two
// seconds, and takes up to two more to reach every process.
const rewriteDelay = 4 * time.Second

// Refusal is a value whose newest revision is known but not in force.
type Refusal struct {
	Name     string
	Revision table.Revision
	// InForce is the revision that stays in force; 0 means none.
	InForce table.Revision
	// Err is the error of the parser.
	Err   error
	Since time.Time
}

// values holds every value at its highest known revision, and the values in
// force.
type values struct {
	parse func([]Value) (*table.Table, error)

	newest  map[string]Value
	inForce map[string]Value
	// copies holds values that are in force at peers and older than newest.
	copies  map[string]Value
	table   *table.Table
	highest table.Revision
	digest  uint64
	refused map[string]Refusal
	// reported holds the refused revision that was last logged for each name.
	reported map[string]table.Revision
	// era is the highest era known, and eraSince when the first process that is known
	// of saw it.
	era      table.Era
	eraSince time.Time
	// rewritten holds the latest era in which a value was seen to change, or was sent by a peer
	// that knew the service as of rewriteEnd.
	rewritten map[string]table.Era
	// asOf is the latest time as of which the service is known to have had, in this era, no
	// value that is not held here.
	asOf time.Time
	// heldBack means that resolve has left out a value that may be written again.
	heldBack bool
}

func (s *values) init() {
	if s.newest != nil {
		return
	}
	s.newest = make(map[string]Value)
	s.inForce = make(map[string]Value)
	s.copies = make(map[string]Value)
	s.refused = make(map[string]Refusal)
	s.reported = make(map[string]table.Revision)
	s.rewritten = make(map[string]table.Era)
}

// addIfNewer adds a value if its revision is higher than the one held, and
// reports whether it did. It never replaces a value by a lower or equal revision,
// regardless of the sender.
func (s *values) addIfNewer(v Value) bool {
	s.init()
	if name, ok := strings.CutPrefix(v.Name, inForcePrefix); ok {
		return s.addCopyIfNewer(Value{name, v.Revision, v.Data})
	}
	old, held := s.newest[v.Name]
	if v.Name == "" || held && v.Revision <= old.Revision {
		return false
	}
	if held {
		s.digest ^= hashRevision(old)
		if old.Revision.Era() == v.Revision.Era() {
			s.rewritten[v.Name] = v.Revision.Era()
		}
	}
	s.digest ^= hashRevision(v)
	s.newest[v.Name] = v
	s.highest = max(s.highest, v.Revision)
	return true
}

// addCopyIfNewer adds a value that is in force at a peer if it is newer than the
// one in force here and the copy held.
func (s *values) addCopyIfNewer(v Value) bool {
	if v.Name == "" || v.Revision <= s.heldRevision(inForcePrefix+v.Name) {
		return false
	}
	s.copies[v.Name] = v
	return true
}

// heldRevision returns the newest revision held of a value. For a name with
// inForcePrefix it returns the newest revision that is in force here or at a
// peer.
func (s *values) heldRevision(name string) table.Revision {
	if n, ok := strings.CutPrefix(name, inForcePrefix); ok {
		return max(s.inForce[n].Revision, s.copies[n].Revision)
	}
	return s.newest[name].Revision
}

func isCopy(name string) bool { return strings.HasPrefix(name, inForcePrefix) }

// incomplete reports whether there is a known value without a revision in force.
func (s *values) incomplete() bool {
	for name := range s.newest {
		if s.inForce[name].Revision == 0 {
			return true
		}
	}
	return false
}

// resolve puts the newest values in force. If they do not form a valid table
// together, values are put in force one at a time in the order of their
// revisions, and those that make the table invalid are refused. Thus an invalid
// row in the accounts does not delay an order to take a data centre out.
func (s *values) resolve(now time.Time) {
	wanted := s.wanted(now)
	t, err := s.parse(sortedByName(wanted))
	if err == nil {
		s.putInForce(wanted, t)
		clear(s.copies)
		clear(s.refused)
		return
	}
	base, best, errs := s.combine(wanted)
	if best != nil {
		s.putInForce(base, best)
	}
	s.updateRefused(wanted, errs, err, now)
}

// observeEra records that a process saw an era at the given time.
func (s *values) observeEra(e table.Era, at time.Time) {
	if e > s.era {
		s.asOf = time.Time{}
	}
	if e > s.era || e == s.era && at.Before(s.eraSince) {
		s.era, s.eraSince = e, at
	}
}

// confirm records that at time t the service, in era e, had no values that are not held here.
func (s *values) confirm(t time.Time, e table.Era) {
	if e >= s.era && t.After(s.asOf) {
		s.asOf = t
	}
}

// addRewritten records that a peer that knew the service as of rewriteEnd sent this value.
func (s *values) addRewritten(v Value) {
	s.init()
	if v.Revision.Era() == s.era && v.Revision >= s.newest[v.Name].Revision {
		s.rewritten[v.Name] = s.era
	}
}

// rewriteEnd returns the time at which everything that the latest copy lacks is written again.
func (s *values) rewriteEnd() time.Time { return s.eraSince.Add(rewriteDelay) }

// settled reports whether the service is known as of rewriteEnd. The clock alone doesn't tell what
// was written again.
func (s *values) settled() bool {
	return s.era == 0 || !s.asOf.Before(s.rewriteEnd())
}

// releaseHeldBack puts the values in force that were held back, once the service is known as of
// rewriteEnd. It reports whether there were any.
func (s *values) releaseHeldBack(now time.Time) bool {
	if !s.heldBack || !s.settled() {
		return false
	}
	s.resolve(now)
	return true
}

// wanted returns the newest values, except that until the service is known as of rewriteEnd it
// returns the value in force instead of a different one that may only be older.
func (s *values) wanted(now time.Time) map[string]Value {
	s.heldBack = false
	s.observeEra(s.highest.Era(), now)
	if s.settled() {
		return s.newest
	}
	wanted := make(map[string]Value, len(s.newest))
	for name, v := range s.newest {
		era, old := v.Revision.Era(), s.inForceCopy(name)
		if old.Revision > 0 && old.Revision.Era() < era && s.rewritten[name] != era && !bytes.Equal(old.Data, v.Data) {
			s.heldBack = true
			v = old
		}
		wanted[name] = v
	}
	return wanted
}

// combine starts from the base values and adds wanted values one at a time, keeping
// those that leave the table valid. It returns the resulting values, their table,
// and the parse errors of the rejected values by name. The table is nil if no
// combination was valid.
func (s *values) combine(wanted map[string]Value) (base map[string]Value, best *table.Table, errs map[string]error) {
	base = s.base(wanted)
	best, _ = s.parse(sortedByName(base))
	errs = make(map[string]error)
	for _, v := range s.candidates(base, wanted) {
		if len(errs) >= maxParseFailures {
			continue
		}
		old, held := base[v.Name]
		base[v.Name] = v
		t, err := s.parse(sortedByName(base))
		if err == nil {
			best = t
			continue
		}
		errs[v.Name] = err
		delete(base, v.Name)
		if held {
			base[v.Name] = old
		}
	}
	return base, best, errs
}

// base returns the values in force. If there is no table yet, it returns the
// copies from peers, and the wanted value for each name without a copy.
func (s *values) base(wanted map[string]Value) map[string]Value {
	base := make(map[string]Value, len(s.newest))
	for name, v := range s.inForce {
		base[name] = v
	}
	if s.table != nil {
		return base
	}
	for name, v := range wanted {
		base[name] = v
	}
	for name, v := range s.copies {
		base[name] = v
	}
	return base
}

// candidates returns the copies and wanted values that are newer than base,
// sorted by revision.
func (s *values) candidates(base, wanted map[string]Value) []Value {
	var vs []Value
	for name, v := range s.copies {
		if v.Revision > base[name].Revision {
			vs = append(vs, v)
		}
	}
	for name, v := range wanted {
		if v.Revision > base[name].Revision && v.Revision != s.copies[name].Revision {
			vs = append(vs, v)
		}
	}
	slices.SortFunc(vs, func(a, b Value) int {
		if a.Revision != b.Revision {
			return cmp.Compare(a.Revision, b.Revision)
		}
		return strings.Compare(a.Name, b.Name)
	})
	return vs
}

func (s *values) putInForce(vs map[string]Value, t *table.Table) {
	if s.table != nil && sameRevisions(s.inForce, vs) {
		return
	}
	s.table = t
	s.inForce = make(map[string]Value, len(vs))
	for name, v := range vs {
		s.inForce[name] = v
	}
}

// updateRefused updates the list of refused values. If there is no table, the
// error cannot be attributed to a single value, so every wanted value without
// an error of its own is listed with tableErr, the error of the whole table.
func (s *values) updateRefused(wanted map[string]Value, errs map[string]error, tableErr error, now time.Time) {
	for name, r := range s.refused {
		if wanted[name].Revision != r.Revision || s.inForce[name].Revision == r.Revision && s.table != nil {
			delete(s.refused, name)
		}
	}
	for name, v := range wanted {
		if s.table != nil && s.inForce[name].Revision == v.Revision {
			continue
		}
		err, since := errs[name], now
		if err == nil {
			err = tableErr
		}
		if r, known := s.refused[name]; known {
			since = r.Since
		}
		s.refused[name] = Refusal{name, v.Revision, s.inForceRevision(name), err, since}
	}
}

func (s *values) inForceRevision(name string) table.Revision {
	if s.table == nil {
		return 0
	}
	return s.inForce[name].Revision
}

func (s *values) refusals() []Refusal {
	rs := make([]Refusal, 0, len(s.refused))
	for _, r := range s.refused {
		rs = append(rs, r)
	}
	slices.SortFunc(rs, func(a, b Refusal) int { return strings.Compare(a.Name, b.Name) })
	return rs
}

// takeUnreported returns each refused revision once, after it has been refused for
// refusalReportDelay. Without a table it returns nothing unless complete is set,
// because values may still be missing.
func (s *values) takeUnreported(now time.Time, complete bool) []Refusal {
	if !complete && s.table == nil {
		return nil
	}
	var rs []Refusal
	for _, r := range s.refusals() {
		if s.reported[r.Name] == r.Revision || now.Sub(r.Since) < refusalReportDelay {
			continue
		}
		s.reported[r.Name] = r.Revision
		rs = append(rs, r)
	}
	return rs
}

// vector returns the version vector: the newest revision of every value, and the
// revision in force where it differs.
func (s *values) vector() []ValueRevision {
	vs := make([]ValueRevision, 0, len(s.newest))
	for _, v := range sortedByName(s.newest) {
		vs = append(vs, ValueRevision{v.Name, v.Revision})
		if name := inForcePrefix + v.Name; s.heldRevision(name) > 0 && s.heldRevision(name) < v.Revision {
			vs = append(vs, ValueRevision{name, s.heldRevision(name)})
		}
	}
	return vs
}

// newer returns the values that a peer with this version vector lacks, up to size
// bytes but at least one value.
func (s *values) newer(have map[string]table.Revision, size int) []Value {
	var vs []Value
	for _, v := range sortedByName(s.newest) {
		if v.Revision > have[v.Name] {
			vs = append(vs, v)
		}
		f, name := s.inForceCopy(v.Name), inForcePrefix+v.Name
		if f.Revision < v.Revision && f.Revision > have[name] {
			vs = append(vs, Value{name, f.Revision, f.Data})
		}
	}
	for i, v := range vs {
		size -= len(v.Data)
		if size < 0 && i > 0 {
			return vs[:i]
		}
	}
	return vs
}

func (s *values) inForceCopy(name string) Value {
	if f := s.inForce[name]; f.Revision >= s.copies[name].Revision {
		return f
	}
	return s.copies[name]
}

func sortedByName(m map[string]Value) []Value {
	vs := make([]Value, 0, len(m))
	for _, v := range m {
		vs = append(vs, v)
	}
	slices.SortFunc(vs, func(a, b Value) int { return strings.Compare(a.Name, b.Name) })
	return vs
}

func sameRevisions(a, b map[string]Value) bool {
	if len(a) != len(b) {
		return false
	}
	for name, v := range a {
		if b[name].Revision != v.Revision {
			return false
		}
	}
	return true
}

// hashRevision hashes the name and revision of a value. The hashes are combined
// with XOR, so the digest does not depend on the order of values.
func hashRevision(v Value) uint64 {
	b := binary.BigEndian.AppendUint64([]byte(v.Name), uint64(v.Revision))
	return xxhash.Sum64(b)
}
