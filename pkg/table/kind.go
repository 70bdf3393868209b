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

// maxNameBytes is the longest name that a cell may hold.
const maxNameBytes = 64

var (
	plainName   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	serviceName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]*$`)
	// loadName may name a version after an at sign.
	loadName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@-]*$`)
)

// kind reads and writes one cell of a row.
type kind[T any] struct {
	// unit and span describe the cell for the docs.
	unit string
	span string
	set  func(row *T, cell string) *result.Error
	get  func(row *T) string
}

func nameKind[T any, S ~string](field func(*T) *S, shape *regexp.Regexp) kind[T] {
	return kind[T]{
		unit: "name",
		span: fmt.Sprintf("up to %d of `%s`", maxNameBytes, shapeText(shape)),
		set: func(row *T, cell string) *result.Error {
			*field(row) = S(cell)
			return checkName(cell, shape)
		},
		get: func(row *T) string { return string(*field(row)) },
	}
}

func namesKind[T any, S ~string](field func(*T) *[]S, shape *regexp.Regexp) kind[T] {
	return kind[T]{
		unit: "names, separated by spaces",
		span: fmt.Sprintf("each up to %d of `%s`", maxNameBytes, shapeText(shape)),
		set: func(row *T, cell string) *result.Error {
			seen := make(map[string]bool)
			for _, n := range strings.Fields(cell) {
				if err := checkName(n, shape); err != nil {
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
		get: func(row *T) string {
			var names []string
			for _, n := range *field(row) {
				names = append(names, string(n))
			}
			return strings.Join(names, " ")
		},
	}
}

func checkName(name string, shape *regexp.Regexp) *result.Error {
	if len(name) > maxNameBytes {
		return result.Errorf(result.CellOutOfRange, "a name of %d bytes, at most %d", len(name), maxNameBytes)
	}
	if !shape.MatchString(name) {
		return result.Errorf(result.BadCell, "%q is not a name of %s", name, shapeText(shape))
	}
	return nil
}

func shapeText(shape *regexp.Regexp) string {
	switch shape {
	case serviceName:
		return "A-Z a-z 0-9 . _ - : /"
	case loadName:
		return "A-Z a-z 0-9 . _ - : / @"
	}
	return "A-Z a-z 0-9 . _ -"
}

func numberKind[T any, N ~int](field func(*T) *N, unit string, low, high N) kind[T] {
	return kind[T]{
		unit: unit,
		span: fmt.Sprintf("%d to %d", low, high),
		set: func(row *T, cell string) *result.Error {
			n, err := strconv.Atoi(cell)
			if err != nil {
				return result.Errorf(result.BadCell, "%q is not a whole number", cell)
			}
			*field(row) = N(n)
			return checkRange(N(n), low, high)
		},
		get: func(row *T) string { return strconv.Itoa(int(*field(row))) },
	}
}

// rateKind takes zero for no limit.
func rateKind[T any](field func(*T) *float64, unit string, low, high float64) kind[T] {
	return kind[T]{
		unit: unit,
		span: fmt.Sprintf("0, or %g to %v", low, int(high)),
		set: func(row *T, cell string) *result.Error {
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
		get: func(row *T) string { return strconv.FormatFloat(*field(row), 'g', -1, 64) },
	}
}

func durationKind[T any](field func(*T) *time.Duration, low, high time.Duration) kind[T] {
	return kind[T]{
		unit: "duration with its unit, such as 1.6s or 29ms",
		span: fmt.Sprintf("%v to %v", low, high),
		set: func(row *T, cell string) *result.Error {
			d, err := time.ParseDuration(cell)
			if err != nil {
				return result.Errorf(result.BadCell, "%q is not a duration with its unit, such as 1.6s", cell)
			}
			*field(row) = d
			return checkRange(d, low, high)
		},
		get: func(row *T) string { return field(row).String() },
	}
}

func checkRange[N cmp.Ordered](n, low, high N) *result.Error {
	if n < low || n > high {
		return result.Errorf(result.CellOutOfRange, "%v is not within %v to %v", n, low, high)
	}
	return nil
}

func choiceKind[T any, S ~string](field func(*T) *S, choices ...S) kind[T] {
	words := make([]string, len(choices))
	for i, c := range choices {
		words[i] = string(c)
	}
	return kind[T]{
		unit: "word",
		span: strings.Join(words, " or "),
		set: func(row *T, cell string) *result.Error {
			for _, c := range choices {
				if cell == string(c) {
					*field(row) = c
					return nil
				}
			}
			return result.Errorf(result.BadCell, "%q is not %s", cell, strings.Join(words, " or "))
		},
		get: func(row *T) string { return string(*field(row)) },
	}
}

// yesNoKind also takes the words that spreadsheets make of ticked boxes.
func yesNoKind[T any](field func(*T) *bool) kind[T] {
	return kind[T]{
		unit: "word",
		span: "yes or no (also true, false)",
		set: func(row *T, cell string) *result.Error {
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
		get: func(row *T) string {
			if *field(row) {
				return "yes"
			}
			return "no"
		},
	}
}

func hashKind[T any](field func(*T) *KeyHash) kind[T] {
	return kind[T]{
		unit: "SHA-256 in hex",
		span: "64 digits",
		set: func(row *T, cell string) *result.Error {
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
		get: func(row *T) string { return field(row).String() },
	}
}
