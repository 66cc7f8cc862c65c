package job

// maxNames bounds the names that are kept.
const maxNames = 4096

// interner keeps one copy of the names that many jobs share.
type interner map[string]string

// name returns the kept copy of a name, or the name if too many are kept.
func (n interner) name(s string) string {
	if kept, ok := n[s]; ok {
		return kept
	}
	if len(n) < maxNames {
		n[s] = s
	}
	return s
}

// spec replaces the names of a specification by the kept copies.
func (n interner) spec(s *Spec) {
	for _, field := range []*string{&s.Organisation, &s.Queue, &s.Team, &s.Template} {
		*field = n.name(*field)
	}
}
