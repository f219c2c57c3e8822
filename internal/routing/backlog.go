package routing

// Lists tells whether a receiver of a destination is known. It walks over all: it is for what a sender does now and then.
func (r *Router) Lists(dst int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, to := range r.receivers {
		if to.dst == dst {
			return true
		}
	}
	return false
}
