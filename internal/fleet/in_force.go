package fleet

// InForce gives the values that the table in force was made of, in the order of
// names; none without a table. Their data must not be changed.
func (t *Task) InForce() []Value {
	t.init()
	vs := t.inForce.Load()
	if vs == nil || t.View().Table == nil {
		return nil
	}
	return sortedByName(*vs)
}
