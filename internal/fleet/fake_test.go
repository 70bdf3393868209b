package fleet

import (
	"errors"
	"fmt"
	"strings"

	"jasminewing.dev/jasminewing/pkg/table"
)

// fakeParse builds a table with only a revision and data centres. It fails for a
// value that contains "bad", and if the value classes is missing.
func fakeParse(vs []Value) (*table.Table, error) {
	t := &table.Table{DataCentres: make(map[table.DataCentreName]table.DataCentre)}
	classes := false
	for _, v := range vs {
		text := string(v.Data)
		if strings.Contains(text, "bad") {
			return nil, fmt.Errorf("%s row 1: bad", v.Name)
		}
		classes = classes || v.Name == "classes"
		t.Revision = max(t.Revision, v.Revision)
		if v.Name == "data_centres" {
			name := table.DataCentreName(text)
			t.DataCentres[name] = table.DataCentre{Name: name}
		}
	}
	if !classes {
		return nil, errors.New("section classes is missing")
	}
	return t, nil
}
