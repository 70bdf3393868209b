package direct

import (
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEventReader(t *testing.T) {
	tests := []struct {
		name  string
		parts []string
		want  []string
		last  string
		rest  string
	}{
		{"one event per chunk", []string{eventText(1), eventText(2)}, []string{eventText(1), eventText(2)}, "2", ""},
		{"event split over chunks", []string{"id: 1\nda", "ta: x\n", "\nid: 2"}, []string{eventText(1)}, "1", "id: 2"},
		{"several events in one chunk", []string{eventText(1) + eventText(2) + "id"}, []string{eventText(1) + eventText(2)}, "2", "id"},
		{"CRLF", []string{"id:9\r\ndata: x\r\n\r\n"}, []string{"id:9\r\ndata: x\r\n\r\n"}, "9", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &eventReader{source: &chunkReader{tt.parts}}
			var got []string
			for {
				whole, err := e.next()
				if len(whole) > 0 {
					got = append(got, string(whole))
				}
				if errors.Is(err, io.EOF) {
					break
				}
				assert.NilError(t, err)
			}
			assert.DeepEqual(t, got, tt.want)
			assert.Equal(t, e.sequence.lastID, tt.last)
			assert.Equal(t, string(e.pending), tt.rest)
		})
	}
}

// chunkReader returns one chunk per read.
type chunkReader struct{ left []string }

func (p *chunkReader) Read(b []byte) (int, error) {
	if len(p.left) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.left[0])
	p.left = p.left[1:]
	return n, nil
}
