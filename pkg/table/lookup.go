package table

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"jasminewing.dev/jasminewing/pkg/result"
)

// servingKey is the index key of the upstreams that serve one model or service.
type servingKey struct {
	kind    UpstreamKind
	service ServiceName
}

// index speeds up lookups in a table.
type index struct {
	byKey   map[KeyHash]AccountName
	serving map[servingKey][]Upstream
}

// HashKey returns the hash of a client account's bearer key as it is stored in
// the table.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the hash in hex.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// AccountByKey returns the client account whose bearer key has the given hash.
// It returns false if there is none.
func (t *Table) AccountByKey(h KeyHash) (Account, bool) {
	name, ok := t.index().byKey[h]
	return t.Accounts[name], ok
}

// UpstreamsServing returns the upstreams of a kind that serve a model or
// service, sorted by name. Upstreams that are out are included. The caller must
// not modify the slice.
func (t *Table) UpstreamsServing(kind UpstreamKind, s ServiceName) []Upstream {
	return t.index().serving[servingKey{kind, s}]
}

// RefusalCode returns the reason why the table gives an upstream no new work:
// result.UpstreamOut or result.DataCentreOut. It returns result.OK if the
// upstream may get new work.
func (t *Table) RefusalCode(u Upstream) result.Code {
	if u.State == Out {
		return result.UpstreamOut
	}
	if t.DataCentres[u.DataCentre].State == Out {
		return result.DataCentreOut
	}
	return result.OK
}

// Out reports whether the upstream or its data centre is out.
func (t *Table) Out(u Upstream) bool { return t.RefusalCode(u) != result.OK }

// ClassFor returns the class of a request: the class that the request names in
// explicit, or else the account's first class of the kind. Errors have the code
// result.UnknownClass or result.ClassNotAllowed.
func (t *Table) ClassFor(a Account, kind UpstreamKind, explicit ClassName) (Class, error) {
	if explicit != "" {
		return t.namedClass(a, kind, explicit)
	}
	for _, n := range a.Classes {
		if c := t.Classes[n]; c.Kind == kind {
			return c, nil
		}
	}
	return Class{}, result.Errorf(result.ClassNotAllowed, "account %q has no class of kind %s", a.Name, kind)
}

func (t *Table) namedClass(a Account, kind UpstreamKind, name ClassName) (Class, error) {
	c, ok := t.Classes[name]
	if !ok {
		return Class{}, result.Errorf(result.UnknownClass, "no class %q", name)
	}
	if !slices.Contains(a.Classes, name) {
		return Class{}, result.Errorf(result.ClassNotAllowed, "account %q may not use class %q", a.Name, name)
	}
	if c.Kind != kind {
		return Class{}, result.Errorf(result.UnknownClass, "class %q is of kind %s, not %s", name, c.Kind, kind)
	}
	return c, nil
}

// index builds the index on first use, so that it also exists for a table that
// was written as a literal.
func (t *Table) index() *index {
	t.once.Do(func() { t.indexed = makeIndex(t) })
	return t.indexed
}

func makeIndex(t *Table) *index {
	x := &index{
		byKey:   make(map[KeyHash]AccountName, len(t.Accounts)),
		serving: make(map[servingKey][]Upstream),
	}
	for n, a := range t.Accounts {
		x.byKey[a.KeyHash] = n
	}
	for _, u := range t.Upstreams {
		for _, s := range u.Serves {
			k := servingKey{u.Kind, s}
			x.serving[k] = append(x.serving[k], u)
		}
	}
	for _, us := range x.serving {
		slices.SortFunc(us, func(a, b Upstream) int { return cmp.Compare(a.Name, b.Name) })
	}
	return x
}
