package instance

// Diff holds the names of the instances that changed between two lists.
type Diff struct {
	Joined, Draining, Departed []string // Draining are listed in both and changed to Leaving; Departed are no longer listed
}

// DiffEntries returns the changes between two lists of entry instances, both sorted by name.
func DiffEntries(before, after []Entry) Diff {
	return diff(before, after, func(e *Entry) (string, State) { return e.Name, e.State })
}

// DiffServers returns the changes between two lists of backend servers, both sorted by name.
func DiffServers(before, after []Server) Diff {
	return diff(before, after, func(s *Server) (string, State) { return s.Name, s.State })
}

func diff[T any](before, after []T, describe func(*T) (string, State)) Diff {
	var out Diff
	i := 0
	for j := range after {
		name, state := describe(&after[j])
		known, wasLeaving := false, false
		for ; i < len(before); i++ {
			old, oldState := describe(&before[i])
			if old > name {
				break
			}
			if known = old == name; known {
				wasLeaving = oldState == Leaving
				continue
			}
			out.Departed = append(out.Departed, old)
		}
		switch {
		case !known:
			out.Joined = append(out.Joined, name)
		case state == Leaving && !wasLeaving:
			out.Draining = append(out.Draining, name)
		}
	}
	for ; i < len(before); i++ {
		old, _ := describe(&before[i])
		out.Departed = append(out.Departed, old)
	}
	return out
}
