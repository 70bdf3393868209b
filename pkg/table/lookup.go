package table

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"jasminewing.dev/jasminewing/pkg/result"
)

// servingKey is what upstreams are looked up by.
type servingKey struct {
	kind    UpstreamKind
	service ServiceName
}

// index is what a table is looked up by.
type index struct {
	byKey   map[KeyHash]AccountName
	serving map[servingKey][]Upstream
}

// HashKey hashes a client account's bearer key as the table holds it.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String gives the hash in hex.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// AccountByKey finds the client account of a bearer key's hash.
func (t *Table) AccountByKey(h KeyHash) (Account, bool) {
	name, ok := t.index().byKey[h]
	return t.Accounts[name], ok
}

// UpstreamsServing gives the upstreams of a kind that serve a model or service,
// also those that are out, sorted by name. The slice must not be changed.
func (t *Table) UpstreamsServing(kind UpstreamKind, s ServiceName) []Upstream {
	return t.index().serving[servingKey{kind, s}]
}

// RefusalCode says why the table gives an upstream no new work: result.UpstreamOut,
// result.DataCentreOut, or result.OK where it may have some.
func (t *Table) RefusalCode(u Upstream) result.Code {
	if u.State == Out {
		return result.UpstreamOut
	}
	if t.DataCentres[u.DataCentre].State == Out {
		return result.DataCentreOut
	}
	return result.OK
}

// Out says that the upstream or its data centre is out.
func (t *Table) Out(u Upstream) bool { return t.RefusalCode(u) != result.OK }

// ClassFor gives the class of a request: the one that it names, else the
// account's first class of the kind. Its errors are result.UnknownClass and
// result.ClassNotAllowed.
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

// index makes the index at the first use, so that a table written as a literal
// has one too.
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
