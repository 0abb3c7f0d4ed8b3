package instance

// Difference names what changed between two lists.
type Difference struct {
	Joined, Left, Gone []string // Left began to leave
}

// EntryDifference compares two lists of entry instances, both sorted by name.
func EntryDifference(before, after []Entry) Difference {
	return difference(before, after, func(e *Entry) (string, State) { return e.Name, e.State })
}

// ServerDifference compares two lists of backend servers, both sorted by name.
func ServerDifference(before, after []Server) Difference {
	return difference(before, after, func(s *Server) (string, State) { return s.Name, s.State })
}

func difference[T any](before, after []T, describe func(*T) (string, State)) Difference {
	var out Difference
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
			out.Gone = append(out.Gone, old)
		}
		switch {
		case !known:
			out.Joined = append(out.Joined, name)
		case state == Leaving && !wasLeaving:
			out.Left = append(out.Left, name)
		}
	}
	for ; i < len(before); i++ {
		old, _ := describe(&before[i])
		out.Gone = append(out.Gone, old)
	}
	return out
}
