package routing

// HasReceiver reports whether a receiver of a destination is known. It must not iterate: under load it is called for each
// hand-in to be spilled.
func (r *Router) HasReceiver(dst int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sender.KnowsDst(dst)
}
