// Package members holds a sender's view of the fleet it belongs to: who is listed, who answers, and since when.
package members

// State of a member, as one sender sees it.
type State uint8

// The states. Silence alone leads to Gone, which says nothing of the member's folder: it may come back with all it had. Left was
// told by the member itself, which takes its folder along until an operator says that the folder is destroyed.
const (
	Alive State = iota
	Doubted
	Gone
	Left
)

func (s State) String() string { return [...]string{"alive", "doubted", "gone", "left"}[s] }

// Member is one sender of the fleet.
type Member struct {
	Name        string
	State       State
	Incarnation uint64 // grows by one with each start on the same folder; 0 while it was never heard of
	Folder      uint64 // drawn with the folder; another one means that the old folder was lost or put aside; 0 for not known
	Since       int64  // µs of the observer's clock; of the latest change of state, incarnation or folder
}

// View is the fleet as one sender sees it. Members are sorted by name, the observer is among them and alive.
type View struct {
	Self    string
	Epoch   uint64 // grows by one with each change of any member's state, incarnation or folder that this sender takes in
	Members []Member
}

// Alive lists the names of those alive, sorted.
func (v View) Alive() []string {
	var names []string
	for _, m := range v.Members {
		if m.State == Alive {
			names = append(names, m.Name)
		}
	}
	return names
}

// Member finds one by name.
func (v View) Member(name string) (Member, bool) {
	for _, m := range v.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}
