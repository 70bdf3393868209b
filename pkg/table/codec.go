package table

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
)

// maxNameBytes is the maximum length of a name in a cell.
const maxNameBytes = 64

var (
	namePattern        = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	serviceNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]*$`)
	// loadNamePattern also allows a version after an at sign.
	loadNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@-]*$`)
)

// cellCodec parses and formats one cell of a row.
type cellCodec[T any] struct {
	// unit and allowed describe the unit and the allowed values of the cell for
	// the docs.
	unit    string
	allowed string
	parse   func(row *T, cell string) *result.Error
	format  func(row *T) string
}

func nameCodec[T any, S ~string](field func(*T) *S, pattern *regexp.Regexp) cellCodec[T] {
	return cellCodec[T]{
		unit:    "name",
		allowed: fmt.Sprintf("up to %d of `%s`", maxNameBytes, patternText(pattern)),
		parse: func(row *T, cell string) *result.Error {
			*field(row) = S(cell)
			return checkName(cell, pattern)
		},
		format: func(row *T) string { return string(*field(row)) },
	}
}

func namesCodec[T any, S ~string](field func(*T) *[]S, pattern *regexp.Regexp) cellCodec[T] {
	return cellCodec[T]{
		unit:    "names, separated by spaces",
		allowed: fmt.Sprintf("each up to %d of `%s`", maxNameBytes, patternText(pattern)),
		parse: func(row *T, cell string) *result.Error {
			seen := make(map[string]bool)
			for _, n := range strings.Fields(cell) {
				if err := checkName(n, pattern); err != nil {
					return err
				}
				if seen[n] {
					return result.Errorf(result.BadCell, "%q is there twice", n)
				}
				seen[n] = true
				*field(row) = append(*field(row), S(n))
			}
			return nil
		},
		format: func(row *T) string {
			var names []string
			for _, n := range *field(row) {
				names = append(names, string(n))
			}
			return strings.Join(names, " ")
		},
	}
}

func checkName(name string, pattern *regexp.Regexp) *result.Error {
	if len(name) > maxNameBytes {
		return result.Errorf(result.CellOutOfRange, "a name of %d bytes, at most %d", len(name), maxNameBytes)
	}
	if !pattern.MatchString(name) {
		return result.Errorf(result.BadCell, "%q is not a name of %s", name, patternText(pattern))
	}
	return nil
}

func patternText(pattern *regexp.Regexp) string {
	switch pattern {
	case serviceNamePattern:
		return "A-Z a-z 0-9 . _ - : /"
	case loadNamePattern:
		return "A-Z a-z 0-9 . _ - : / @"
	}
	return "A-Z a-z 0-9 . _ -"
}

func numberCodec[T any, N ~int](field func(*T) *N, unit string, low, high N) cellCodec[T] {
	return cellCodec[T]{
		unit:    unit,
		allowed: fmt.Sprintf("%d to %d", low, high),
		parse: func(row *T, cell string) *result.Error {
			n, err := strconv.Atoi(cell)
			if err != nil {
				return result.Errorf(result.BadCell, "%q is not a whole number", cell)
			}
			*field(row) = N(n)
			return checkRange(N(n), low, high)
		},
		format: func(row *T) string { return strconv.Itoa(int(*field(row))) },
	}
}

// rateCodec accepts zero, which means no limit, or a value from low to high.
func rateCodec[T any](field func(*T) *float64, unit string, low, high float64) cellCodec[T] {
	return cellCodec[T]{
		unit:    unit,
		allowed: fmt.Sprintf("0, or %g to %v", low, int(high)),
		parse: func(row *T, cell string) *result.Error {
			n, err := strconv.ParseFloat(cell, 64)
			if err != nil || math.IsNaN(n) {
				return result.Errorf(result.BadCell, "%q is not a number", cell)
			}
			*field(row) = n
			if n != 0 && (n < low || n > high) {
				return result.Errorf(result.CellOutOfRange, "%s is neither 0 nor within %g to %v", cell, low, int(high))
			}
			return nil
		},
		format: func(row *T) string { return strconv.FormatFloat(*field(row), 'g', -1, 64) },
	}
}

func durationCodec[T any](field func(*T) *time.Duration, low, high time.Duration) cellCodec[T] {
	return cellCodec[T]{
		unit:    "duration with its unit, such as 1.6s or 29ms",
		allowed: fmt.Sprintf("%v to %v", low, high),
		parse: func(row *T, cell string) *result.Error {
			d, err := time.ParseDuration(cell)
			if err != nil {
				return result.Errorf(result.BadCell, "%q is not a duration with its unit, such as 1.6s", cell)
			}
			*field(row) = d
			return checkRange(d, low, high)
		},
		format: func(row *T) string { return field(row).String() },
	}
}

func checkRange[N cmp.Ordered](n, low, high N) *result.Error {
	if n < low || n > high {
		return result.Errorf(result.CellOutOfRange, "%v is not within %v to %v", n, low, high)
	}
	return nil
}

func choiceCodec[T any, S ~string](field func(*T) *S, choices ...S) cellCodec[T] {
	words := make([]string, len(choices))
	for i, c := range choices {
		words[i] = string(c)
	}
	return cellCodec[T]{
		unit:    "word",
		allowed: strings.Join(words, " or "),
		parse: func(row *T, cell string) *result.Error {
			for _, c := range choices {
				if cell == string(c) {
					*field(row) = c
					return nil
				}
			}
			return result.Errorf(result.BadCell, "%q is not %s", cell, strings.Join(words, " or "))
		},
		format: func(row *T) string { return string(*field(row)) },
	}
}

// yesNoCodec also accepts true and false, which spreadsheets write for check
// boxes.
func yesNoCodec[T any](field func(*T) *bool) cellCodec[T] {
	return cellCodec[T]{
		unit:    "word",
		allowed: "yes or no (also true, false)",
		parse: func(row *T, cell string) *result.Error {
			switch strings.ToLower(cell) {
			case "yes", "true":
				*field(row) = true
			case "no", "false":
				*field(row) = false
			default:
				return result.Errorf(result.BadCell, "%q is not yes or no", cell)
			}
			return nil
		},
		format: func(row *T) string {
			if *field(row) {
				return "yes"
			}
			return "no"
		},
	}
}

func hashCodec[T any](field func(*T) *KeyHash) cellCodec[T] {
	return cellCodec[T]{
		unit:    "SHA-256 in hex",
		allowed: "64 digits",
		parse: func(row *T, cell string) *result.Error {
			b, err := hex.DecodeString(cell)
			if err != nil || len(b) != len(KeyHash{}) {
				return result.Errorf(result.BadCell, "not the 64 hex digits of a SHA-256")
			}
			*field(row) = KeyHash(b)
			if *field(row) == HashKey("") {
				return result.Errorf(result.CellOutOfRange, "the hash of an empty key")
			}
			return nil
		},
		format: func(row *T) string { return field(row).String() },
	}
}
