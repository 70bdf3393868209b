package fleet

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
)

// maxListBytes is the maximum size of a decompressed VM list in bytes.
const maxListBytes = 1 << 20

// encodedList returns the VM list in the compressed form sent to peers. It is
// encoded once per version.
func (c *Core) encodedList() []byte {
	if c.encoded == nil {
		c.encoded = encodeList(c.list)
	}
	return c.encoded
}

func encodeList(l VMList) []byte {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := json.NewEncoder(z).Encode(l); err != nil {
		return nil
	}
	if err := z.Close(); err != nil {
		return nil
	}
	return b.Bytes()
}

func decodeList(b []byte) (VMList, error) {
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return VMList{}, fmt.Errorf("read VM list: %w", err)
	}
	var l VMList
	if err := json.NewDecoder(io.LimitReader(z, maxListBytes)).Decode(&l); err != nil {
		return VMList{}, fmt.Errorf("read VM list: %w", err)
	}
	return l, nil
}
