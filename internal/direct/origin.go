package direct

import "time"

// originFields returns the log fields for a request whose route or key was refused: the version of
// the routing table, where it comes from, and how long before the request it came into force and was
// last confirmed. It returns nil for other requests.
func (p *proxiedRequest) originFields() []any {
	v := p.unresolved
	if v == nil {
		return nil
	}
	var fields []any
	if p.call.route == nil {
		fields = append(fields, "version", int64(v.Table.Version))
	}
	o := v.Origin
	return append(fields, "era", o.Era, "revision", o.Revision, "source", o.Source,
		"applied_ms", p.millisSince(o.AppliedAt), "confirmed_ms", p.millisSince(o.ConfirmedAt))
}

// millisSince returns the time from t to the arrival of the request in milliseconds. It is 0 if t is
// later, and -1 if it is not known.
func (p *proxiedRequest) millisSince(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return max(p.receivedAt.Sub(t).Milliseconds(), 0)
}
