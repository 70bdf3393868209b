package table

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"

	"jasminewing.dev/jasminewing/pkg/result"
)

// maxCells is the maximum number of cells of a row, which is that of spreadsheets. An empty cell has
// one byte, and takes many times that once it is read.
const maxCells = 16_384

var byteOrderMark = []byte("\xef\xbb\xbf")

// rawSection is a section split into text cells, before any cell is parsed.
type rawSection struct {
	section string
	// headerRow is the row number of the header; zero if there is no header.
	headerRow int
	header    []string
	records   []record
}

// record is a row that is not blank, with its row number.
type record struct {
	row   int
	cells []string
}

// readRawSection splits the CSV of a section into rows and cells. If it returns
// a fault, the rest of the section has not been read.
func readRawSection(s Section) (rawSection, []Fault) {
	raw := rawSection{section: s.Name}
	if len(s.Data) > MaxSectionBytes {
		return raw, raw.fault(0, result.TableTooLarge, "%d bytes, at most %d are held", len(s.Data), MaxSectionBytes)
	}
	if !utf8.Valid(s.Data) {
		return raw, raw.fault(invalidRow(s.Data), result.BadCSV, "the text is not UTF-8")
	}
	if row := longLine(s.Data); row > 0 {
		return raw, raw.fault(row, result.BadCSV, "over %d cells", maxCells)
	}
	r := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(s.Data, byteOrderMark)))
	r.FieldsPerRecord = -1
	// A quoted cell may contain line breaks. Spreadsheets show such a cell in
	// one row, so its extra lines are subtracted from row numbers.
	embeddedBreaks := 0
	for {
		cells, err := r.Read()
		if errors.Is(err, io.EOF) {
			return raw, nil
		}
		var p *csv.ParseError
		if errors.As(err, &p) {
			return raw, raw.fault(p.StartLine-embeddedBreaks, result.BadCSV, "%v", p.Err)
		}
		if err != nil {
			return raw, raw.fault(0, result.BadCSV, "%v", err)
		}
		line, _ := r.FieldPos(0)
		row := line - embeddedBreaks
		embeddedBreaks += lineBreaks(cells)
		if f := raw.add(record{row: row, cells: trimmed(cells)}); f != nil {
			return raw, f
		}
	}
}

// add stores the first row that is not blank as the header and the following
// ones as records.
func (s *rawSection) add(r record) []Fault {
	if strings.Join(r.cells, "") == "" {
		return nil
	}
	if s.headerRow == 0 {
		s.headerRow, s.header = r.row, r.cells
		return nil
	}
	if len(r.cells) < len(s.header) {
		return s.fault(r.row, result.BadCSV, "%d cells under a header of %d; the text may be cut off", len(r.cells), len(s.header))
	}
	if strings.Join(r.cells[len(s.header):], "") != "" {
		return s.fault(r.row, result.BadCSV, "%d cells under a header of %d", len(r.cells), len(s.header))
	}
	s.records = append(s.records, r)
	return nil
}

func (s *rawSection) fault(row int, code result.Code, format string, args ...any) []Fault {
	return []Fault{{Section: s.section, Row: row, Code: code, Detail: fmt.Sprintf(format, args...)}}
}

// longLine returns the number of the first line of over maxCells cells, or 0 if there is none.
func longLine(data []byte) int {
	row := 0
	for line := range bytes.Lines(data) {
		row++
		if len(line) >= maxCells && bytes.Count(line, []byte(",")) >= maxCells {
			return row
		}
	}
	return 0
}

func invalidRow(data []byte) int {
	row := 1
	for len(data) > 0 {
		r, n := utf8.DecodeRune(data)
		if r == utf8.RuneError && n == 1 {
			return row
		}
		if r == '\n' {
			row++
		}
		data = data[n:]
	}
	return row
}

func lineBreaks(cells []string) int {
	n := 0
	for _, c := range cells {
		n += strings.Count(c, "\n")
	}
	return n
}

func trimmed(cells []string) []string {
	for i, c := range cells {
		cells[i] = strings.TrimSpace(c)
	}
	return cells
}
