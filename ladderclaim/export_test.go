package ladderclaim

// Holder returns the holder of a worker's claim as of the worker's last answer,
// or an empty string if there is none.
func (b *Book) Holder(worker string) string {
	if c, ok := b.claims[worker]; ok {
		return c.holder
	}
	return ""
}
