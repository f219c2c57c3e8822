package routing

// Lists tells whether a receiver of a destination is known. It walks over nothing: under load each hand-in that is to rest asks it.
func (r *Router) Lists(dst int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sender.Lists(dst)
}
