package fleet

// InForce returns the values from which the table in force was built, sorted by
// name, or nil if there is no table. Their data must not be modified.
func (t *Task) InForce() []Value {
	t.init()
	vs := t.inForce.Load()
	if vs == nil || t.View().Table == nil {
		return nil
	}
	return sortedByName(*vs)
}
