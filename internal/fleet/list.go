package fleet

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
)

const (
	// maxListBytes is the maximum size of a decompressed VM list in bytes.
	maxListBytes = 1 << 20
	// MaxVMs is the maximum number of entries of a VM list. An empty entry has 3 bytes in a list,
	// and takes many times that once decoded.
	MaxVMs = 10_000
)

// ListEntries are the entries of a VM list in JSON.
type ListEntries []json.RawMessage

// UnmarshalJSON decodes a list of at most MaxVMs entries.
func (e *ListEntries) UnmarshalJSON(data []byte) error {
	*e = nil
	d := json.NewDecoder(bytes.NewReader(data))
	start, err := d.Token()
	if err != nil || start == nil {
		return err
	}
	if start != json.Delim('[') {
		return fmt.Errorf("entries of the VM list: not an array")
	}
	for d.More() {
		if len(*e) == MaxVMs {
			return fmt.Errorf("more than %d entries", MaxVMs)
		}
		var entry json.RawMessage
		if err := d.Decode(&entry); err != nil {
			return err
		}
		*e = append(*e, entry)
	}
	return nil
}

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
	var raw struct {
		Version ListVersion `json:"version"`
		VMs     ListEntries `json:"vms"`
	}
	if err := json.NewDecoder(io.LimitReader(z, maxListBytes)).Decode(&raw); err != nil {
		return VMList{}, fmt.Errorf("read VM list: %w", err)
	}
	l := VMList{Version: raw.Version}
	if raw.VMs != nil {
		l.VMs = make([]VM, len(raw.VMs))
	}
	for n, entry := range raw.VMs {
		if err := json.Unmarshal(entry, &l.VMs[n]); err != nil {
			return VMList{}, fmt.Errorf("read VM list: %w", err)
		}
	}
	return l, nil
}
